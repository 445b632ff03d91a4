package lineproto

import (
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

// maxVerb is the maximum length of a verb, in bytes.
const maxVerb = 16

// parseStartLine parses a verb in capitals and an optional id.
func parseStartLine(text string) (*Message, error) {
	if len(text) > maxLine {
		return nil, fmt.Errorf("%w: start line", ErrTooLong)
	}
	verb, id, _ := strings.Cut(text, " ")
	if verb == "" || len(verb) > maxVerb {
		return nil, fmt.Errorf("start line %q: no verb", clip(text))
	}
	for _, r := range verb {
		if r < 'A' || r > 'Z' {
			return nil, fmt.Errorf("start line %q: a verb is written in capitals", clip(text))
		}
	}
	m := &Message{Verb: verb}
	if id != "" {
		n, err := strconv.ParseUint(id, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("start line %q: id is not a whole number", clip(text))
		}
		m.ID = n
	}
	return m, nil
}

// checkFields rejects fields that exceed the bounds or contain control characters.
func checkFields(fields textproto.MIMEHeader) error {
	count, size := 0, 0
	for name, values := range fields {
		for _, value := range values {
			count++
			size += len(name) + len(value)
			if len(value) > maxLine {
				return fmt.Errorf("%w: field %s", ErrTooLong, clip(name))
			}
			if strings.ContainsFunc(value, isControl) {
				return fmt.Errorf("field %s: control character", clip(name))
			}
		}
	}
	if count > maxFields || size > maxHead {
		return fmt.Errorf("%w: %d header fields of %d bytes", ErrTooLong, count, size)
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
