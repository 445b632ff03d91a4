package decide

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"weirhaven/internal/capacity/bounds"
)

// Share is one kind of work that a fleet carries: of a plan and a queue type.
type Share struct {
	Plan, Type string
	Work       float64 // cores, in the worst stretch
	Reserved   float64 // of it, what reservations promise, at most Work
	Worth      float64 // importance of plan times queue type, a command
	Commands   float64 // a second
}

// Given is a share to be given up, and how much of it.
type Given struct {
	Share
	Part float64 // of its work
	Work float64 // cores it frees
}

// GiveUp tells what to give up first, so that the work left over fits: what earns least for its work goes first, and nothing
// reserved goes while anything unreserved is left. The rest tells how much of the reserved must go too; then reserves can't
// be met.
func GiveUp(shares []Share, capacity float64) (given []Given, reservesMet bool) {
	over := -capacity
	for _, s := range shares {
		over += s.Work
	}
	if over <= 0 {
		return nil, true
	}
	order := slices.Clone(shares)
	slices.SortStableFunc(order, func(a, b Share) int {
		return cmp.Or(cmp.Compare(gain(a), gain(b)), cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Type, b.Type))
	})
	take := func(free func(s Share) float64) {
		for _, s := range order {
			if x := math.Min(free(s), over); x > 1e-9 {
				given = append(given, Given{Share: s, Part: x / s.Work, Work: x})
				over -= x
			}
		}
	}
	take(func(s Share) float64 { return s.Work - s.Reserved })
	if over <= 1e-9 {
		return given, true
	}
	take(func(s Share) float64 { return s.Reserved })
	return given, false
}

func gain(s Share) float64 { return s.Worth * s.Commands / math.Max(s.Work, 1e-12) }

// Reasons tell why no number of servers meets a goal: what was found with many servers, and which bounds adding bricks does not move.
func Reasons(g Goal, value float64, limits []bounds.Limit, lone []string) string {
	var why []string
	for _, l := range limits {
		if l.Kind == "plan limit" && l.Factor < 1 && (g.Plan == "" || strings.HasSuffix(l.Unit, " "+g.Plan)) {
			why = append(why, fmt.Sprintf("volume %s asks for %.3g of %.3g %s: its plan's limit refuses the rest, whatever the fleet", l.Subject, l.Used, l.Capacity, l.Unit))
		}
		if l.Kind == "host" && l.Factor < 1 {
			why = append(why, fmt.Sprintf("host %s is asked for %.3g of %.3g %s: more bricks don't help, more hosts do", l.Subject, l.Used, l.Capacity, l.Unit))
		}
		if l.Kind == "brick" && l.Factor < 1 && len(lone) > 0 {
			why = append(why, fmt.Sprintf("brick %s is asked for %.3g of %.3g %s with volumes that lie on one brick (%s): spread them over several cells", l.Subject, l.Used,
				l.Capacity, l.Unit, strings.Join(lone[:min(len(lone), 3)], ", ")))
			lone = nil
		}
	}
	if len(why) == 0 {
		why = append(why, "the work of single commands, or what clients do, is too much for it even on idle bricks")
	}
	return fmt.Sprintf("goal %q: with many servers the measure is %.4g: %s", g.Text, value, strings.Join(why, "; "))
}
