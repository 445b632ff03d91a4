package decide

import (
	"fmt"
	"strings"

	"weirhaven/internal/capacity/bounds"
)

// maxNamedVolumes bounds how many volumes an explanation names.
const maxNamedVolumes = 3

// ExplainUnmet says why no number of servers meets a goal: the value found with many servers, and the limits that further
// endpoints don't move. singleShard names the volumes that lie on one endpoint.
func ExplainUnmet(g Goal, value float64, limits []bounds.Limit, singleShard []string) string {
	var reasons []string
	for _, l := range limits {
		if l.Factor >= 1 {
			continue
		}
		switch {
		case l.Kind == bounds.KindPlanQuota && (g.Plan == "" || strings.HasSuffix(l.Unit, " "+g.Plan)):
			reasons = append(reasons, fmt.Sprintf("volume %s asks for %.3g of %.3g %s: its plan's limit refuses the rest, whatever the fleet", l.Subject, l.Used, l.Capacity, l.Unit))
		case l.Kind == bounds.KindGateway:
			reasons = append(reasons, fmt.Sprintf("host %s is asked for %.3g of %.3g %s: more bricks don't help, more hosts do", l.Subject, l.Used, l.Capacity, l.Unit))
		case l.Kind == bounds.KindEndpoint && len(singleShard) > 0:
			named := singleShard[:min(len(singleShard), maxNamedVolumes)]
			reasons = append(reasons, fmt.Sprintf("brick %s is asked for %.3g of %.3g %s with volumes that lie on one brick (%s): spread them over several cells",
				l.Subject, l.Used, l.Capacity, l.Unit, strings.Join(named, ", ")))
			singleShard = nil // one endpoint is enough as an example
		}
	}
	if len(reasons) == 0 {
		reasons = append(reasons, "the work of single commands, or what clients do, is too much for it even on idle bricks")
	}
	return fmt.Sprintf("goal %q: with many servers the measure is %.4g: %s", g.Text, value, strings.Join(reasons, "; "))
}
