package endpointstate

import (
	"fmt"
	"net/netip"
)

// Rule 6: a report with an address outside the allowed networks is rejected.
//
// Inputs: the address of a report (host:port), Rules.Networks.
//
// A forged or mistyped list must not make the gateway send requests to hosts that are not endpoints. Reports are checked one by
// one, so a bad entry does not affect the others.

// maxLoggedAddresses limits how many rejected reports are remembered, each of which is logged once. It keeps a source that sends
// ever new addresses from filling the memory and the log.
const maxLoggedAddresses = 1024

// addressAllowed reports whether a report's address is in the allowed networks. It logs the first rejection of each name and
// address.
func (f *Fleet) addressAllowed(r Report, source Source) bool {
	if f.rules.Networks == nil {
		return true
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err == nil && f.rules.Networks.Contains(address.Addr().Unmap()) {
		return true
	}
	if key := r.Name + " " + r.Address; !f.loggedAddresses[key] && len(f.loggedAddresses) < maxLoggedAddresses {
		f.loggedAddresses[key] = true
		f.log(fmt.Sprintf("rejected a report of %s at %s (source: %s): outside the allowed networks", r.Name, r.Address, source))
	}
	return false
}
