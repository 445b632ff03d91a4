package place

import (
	"cmp"
	"slices"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/pb"
)

// Relocate returns the load laid out over another fleet; the argument stays as it is. speed gives an endpoint's capacity in core
// seconds a second.
//
//   - A volume whose shards the other fleet states lies there.
//   - A volume that lay on several shards lies on as many more as there are more endpoints, its requests by their objects.
//   - A volume that lay on one shard stays whole on one endpoint.
//
// The largest parts are placed first, each on the endpoint that is least loaded with it, no two parts of a volume on one shard
// while there is another.
func Relocate(load []demand.Request, from, to *pb.CapacityFleet, cost Cost, speed func(endpoint *pb.Server) float64) []demand.Request {
	p := placer{from: from, to: to, cost: cost, parts: map[string][]*part{}, current: VolumeShards(load, from)}
	if from != to {
		p.stated = statedShards(to)
	}
	relocated := slices.Clone(load)
	assigned := make([]*part, len(relocated)) // nil: it has its shard already
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

// part is what of a volume lies on one shard of the other fleet.
type part struct {
	volume string
	index  int
	work   float64 // core seconds at speed 1
	shard  int
}

type placer struct {
	from, to *pb.CapacityFleet
	cost     Cost
	current  map[string][]int // shards of each volume in the load
	stated   map[string][]int // shards of each volume, as the other fleet states them
	parts    map[string][]*part
	order    []*part // all parts; by work once they are placed
}

// assign gives a request its part, or at once its shard where that is stated; nil: there is nothing to place.
func (p *placer) assign(request *demand.Request) *part {
	n := p.partCount(request.Volume)
	if request.Shard < 0 || n == 0 {
		return nil
	}
	if stated := p.stated[request.Volume]; len(stated) > 0 {
		request.Shard = stated[partOf(request, len(stated))]
		return nil
	}
	if p.parts[request.Volume] == nil {
		p.addVolume(request.Volume, n)
	}
	assigned := p.parts[request.Volume][partOf(request, n)]
	assigned.work += p.cost(request)
	return assigned
}

// partCount keeps the share of the fleet that a volume lies on, rounded; a volume on one shard stays on one.
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

// place gives each part its shard, the largest first.
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

// leastLoaded is the endpoint that takes least time for what it has and the part, of those that don't hold the volume yet.
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
