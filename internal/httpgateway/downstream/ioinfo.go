package downstream

import (
	"strconv"
	"strings"

	"weirhaven/internal/http1"
)

// Bounds of what a client may claim.
const (
	maxUnits    = 1e6
	maxShard    = 1 << 20
	maxGateways = 10000
)

// ioInfo is how large a request is, where its data lies and how many gateways its volume uses.
type ioInfo struct {
	units    float64
	shard    int // -1: a new object
	gateways int

	hasUnits, hasShard, hasGateways bool
}

// parseIOInfo reads "units=U,shard=S,hosts=G" in any order; each stands there once, other names are skipped.
func parseIOInfo(text string) (info ioInfo, ok bool) {
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !info.set(name, value) {
			return info, false
		}
	}
	return info, info.hasUnits && info.hasShard && info.hasGateways
}

func (i *ioInfo) set(name, value string) bool {
	switch name {
	case "units":
		return i.setUnits(value)
	case "shard":
		return i.setShard(value)
	case "hosts":
		return i.setGateways(value)
	}
	return true
}

func (i *ioInfo) setUnits(value string) bool {
	units, err := strconv.ParseFloat(value, 64)
	if i.hasUnits || err != nil || !(units > 0 && units <= maxUnits) { // NaN fails too
		return false
	}
	i.units, i.hasUnits = units, true
	return true
}

func (i *ioInfo) setShard(value string) bool {
	shard, err := strconv.Atoi(value)
	if i.hasShard || err != nil || shard < -1 || shard > maxShard {
		return false
	}
	i.shard, i.hasShard = shard, true
	return true
}

func (i *ioInfo) setGateways(value string) bool {
	gateways, ok := http1.ParseDigits(value)
	if i.hasGateways || !ok || gateways < 1 || gateways > maxGateways {
		return false
	}
	i.gateways, i.hasGateways = int(gateways), true
	return true
}
