package place

import (
	"cmp"
	"slices"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/pb"
)

// Relocate returns the load distributed over another fleet. It doesn't modify load. speed returns an endpoint's capacity in core seconds per
// second.
//
//   - A volume whose shards the other fleet configures is placed on these.
//   - A volume on several shards is spread over a number of shards in proportion to the number of endpoints; its requests are divided by object.
//   - A volume on one shard stays whole on one endpoint.
//
// The largest parts are placed first, each on the endpoint that is least loaded once it has the part. Two parts of a volume share an endpoint
// only if every endpoint has one already.
func Relocate(load []demand.Request, from, to *pb.CapacityFleet, cost Cost, speed func(endpoint *pb.Server) float64) []demand.Request {
	p := placer{from: from, to: to, cost: cost, parts: map[string][]*part{}, current: VolumeShards(load, from)}
	if from != to {
		p.configured = configuredShards(to)
	}
	relocated := slices.Clone(load)
	assigned := make([]*part, len(relocated)) // nil: the request keeps the shard it has
	for i := range relocated {
		assigned[i] = p.assign(&relocated[i])
	}
	p.place(speed)
	for i, assignedPart := range assigned {
		if assignedPart != nil {
			relocated[i].Shard = assignedPart.shard
		}
	}
	return relocated
}

// part is the part of a volume on one shard of the other fleet.
type part struct {
	volume string
	index  int
	work   float64 // core seconds at speed 1
	shard  int
}

type placer struct {
	from, to   *pb.CapacityFleet
	cost       Cost
	current    map[string][]int // shards of each volume in the load
	configured map[string][]int // shards of each volume that the other fleet configures
	parts      map[string][]*part
	order      []*part // all parts; sorted by work in place
}

// assign adds a request to its part and returns the part. It returns nil if there is nothing to place; if the other fleet configures the
// shards of the volume, it sets the request's shard.
func (p *placer) assign(request *demand.Request) *part {
	n := p.partCount(request.Volume)
	if request.Shard < 0 || n == 0 {
		return nil
	}
	if configured := p.configured[request.Volume]; len(configured) > 0 {
		request.Shard = configured[partOf(request, len(configured))]
		return nil
	}
	if p.parts[request.Volume] == nil {
		p.addVolume(request.Volume, n)
	}
	assigned := p.parts[request.Volume][partOf(request, n)]
	assigned.work += p.cost(request)
	return assigned
}

// partCount returns the number of parts that keeps a volume on the same share of the fleet, rounded. A volume on one shard has one part.
func (p *placer) partCount(volume string) int {
	n := len(p.current[volume])
	if n <= 1 {
		return n
	}
	before, after := len(p.from.Brick), len(p.to.Brick)
	return max(1, min(after, (n*after+before/2)/before))
}

func (p *placer) addVolume(volume string, n int) {
	for index := range n {
		added := &part{volume: volume, index: index}
		p.parts[volume], p.order = append(p.parts[volume], added), append(p.order, added)
	}
}

// place assigns a shard to each part, the largest first.
func (p *placer) place(speed func(endpoint *pb.Server) float64) {
	slices.SortStableFunc(p.order, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.volume, b.volume), cmp.Compare(a.index, b.index))
	})
	load := make([]float64, len(p.to.Brick))
	used := map[string][]int{} // endpoints of each volume, by index
	for _, placed := range p.order {
		best := p.leastLoaded(placed, load, used[placed.volume], speed)
		load[best] += placed.work
		used[placed.volume] = append(used[placed.volume], best)
		placed.shard = int(p.to.Brick[best].Cell)
	}
}

// leastLoaded returns the index of the endpoint that needs the least time for its load and the part, among endpoints that don't hold the volume
// yet.
func (p *placer) leastLoaded(placed *part, load []float64, used []int, speed func(endpoint *pb.Server) float64) int {
	best := -1
	for i, endpoint := range p.to.Brick {
		if slices.Contains(used, i) && len(used) < len(p.to.Brick) {
			continue
		}
		if best < 0 || (load[i]+placed.work)/speed(endpoint) < (load[best]+placed.work)/speed(p.to.Brick[best]) {
			best = i
		}
	}
	return best
}
