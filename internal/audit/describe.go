package audit

import (
	"fmt"
	"time"

	"weirhaven/internal/pb"
)

// Describe formats an observation as a line of text. It uses the record's name for the kind of observation.
func Describe(s *pb.Seen) string {
	line := fmt.Sprintf("%9.3f ms  %-10s", time.Duration(s.At).Seconds()*1000, s.What)
	if s.Command != 0 {
		line += fmt.Sprintf(" request %d", s.Command)
	}
	line += where(s)
	if s.How != "" {
		line += " " + s.How
	}
	if s.Units > 0 {
		line += fmt.Sprintf(" %v units", s.Units)
	}
	if s.Timeout > 0 {
		line += " within " + time.Duration(s.Timeout).Round(time.Millisecond).String()
	}
	return line
}

// where formats the attempt, gateway or endpoint that an observation concerns.
func where(s *pb.Seen) string {
	switch s.What {
	case pb.Seen_REACHED, pb.Seen_REPLIED, pb.Seen_CALLED_OFF, pb.Seen_EFFECT:
		return fmt.Sprintf(".%d at %s", s.Dispatch, s.Brick)
	case pb.Seen_ASKED, pb.Seen_ANSWERED, pb.Seen_UNANSWERED, pb.Seen_GIVEN_UP, pb.Seen_HOST_UP, pb.Seen_HOST_DOWN:
		return fmt.Sprintf(" gateway %d", s.Host)
	case pb.Seen_LISTED:
		return fmt.Sprintf(" %s to gateway %d", s.Brick, s.Host)
	default:
		return " " + s.Brick
	}
}
