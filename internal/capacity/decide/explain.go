package decide

import (
	"fmt"
	"strings"

	"weirhaven/internal/capacity/bounds"
)

// maxNamedVolumes is the maximum number of volumes that an explanation names.
const maxNamedVolumes = 3

// ExplainUnmet explains why no number of servers meets a goal: the value measured with many servers, and the exceeded limits that more
// endpoints don't raise. singleShard names the volumes that lie on one endpoint.
func ExplainUnmet(g Goal, value float64, limits []bounds.Limit, singleShard []string) string {
	var reasons []string
	for _, l := range limits {
		if l.Factor >= 1 {
			continue
		}
		switch {
		case l.Kind == bounds.KindPlanQuota && (g.Plan == "" || strings.HasSuffix(l.Unit, " "+g.Plan)):
			reasons = append(reasons, fmt.Sprintf("volume %s requests %.3g of %.3g %s: its plan's limit rejects the rest, whatever the size of the fleet", l.Subject, l.Used, l.Capacity, l.Unit))
		case l.Kind == bounds.KindGateway:
			reasons = append(reasons, fmt.Sprintf("gateway %s needs %.3g of %.3g %s: more gateways help, more endpoints don't", l.Subject, l.Used, l.Capacity, l.Unit))
		case l.Kind == bounds.KindEndpoint && len(singleShard) > 0:
			named := singleShard[:min(len(singleShard), maxNamedVolumes)]
			reasons = append(reasons, fmt.Sprintf("endpoint %s needs %.3g of %.3g %s with volumes that lie on one endpoint (%s): spread them over several shards",
				l.Subject, l.Used, l.Capacity, l.Unit, strings.Join(named, ", ")))
			singleShard = nil // one endpoint is enough as an example
		}
	}
	if len(reasons) == 0 {
		reasons = append(reasons, "the work of single requests, or the behaviour of clients, misses the goal even with idle endpoints")
	}
	return fmt.Sprintf("goal %q: with many servers the measure is %.4g: %s", g.Text, value, strings.Join(reasons, "; "))
}
