package settings

import (
	"fmt"
	"net/netip"
	"time"

	"go4.org/netipx"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
)

// Defaults for the settings of endpoint reports.
const (
	DefaultReportFresh = 5 * time.Minute     // list_fresh
	defaultListExpire  = 90 * 24 * time.Hour // list_dead
)

// Fixed parameters of endpoint reports.
const (
	startTolerance = 500 * time.Millisecond
	greetingValid  = 5 * time.Second
)

// EndpointRules converts a gateway's settings into the rules for endpoint reports. It fails if a network is malformed, which validated
// settings rule out.
func EndpointRules(conf *pb.Edge) (endpointstate.Rules, error) {
	rules := endpointstate.Rules{Fresh: Duration(conf.ListFresh, DefaultReportFresh), Expire: Duration(conf.ListDead, defaultListExpire),
		StartTolerance: startTolerance, GreetingValid: greetingValid}
	if len(conf.Network) == 0 {
		return rules, nil
	}
	var networks netipx.IPSetBuilder
	for i, network := range conf.Network {
		prefix, err := netip.ParsePrefix(network)
		if err != nil {
			return rules, fmt.Errorf("network[%d]: %q is not a network such as 127.0.0.0/8", i, network)
		}
		networks.AddPrefix(prefix)
	}
	var err error
	rules.Networks, err = networks.IPSet()
	return rules, err
}
