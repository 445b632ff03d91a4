package downstream

import (
	"strconv"
	"strings"

	"weirhaven/internal/http1"
)

// Upper bounds of the values that a client may send.
const (
	maxUnits    = 1e6
	maxShard    = 1 << 20
	maxGateways = 10000
)

// ioInfo is the content of the Io-Info field.
type ioInfo struct {
	units    float64 // size of the request
	shard    int     // shard of the data; -1: a new object
	gateways int     // number of gateways that the volume uses

	hasUnits, hasShard, hasGateways bool
}

// parseIOInfo parses "units=U,shard=S,hosts=G" in any order. Each name must occur exactly once; other names are ignored.
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
