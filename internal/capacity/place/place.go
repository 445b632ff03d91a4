// Package place lays a load out over a fleet other than the one it was captured on: which cell holds which part of which volume. It
// has no I/O, clock or goroutine.
package place

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/capacity/model"
	"weirhaven/internal/capacity/wants"
	"weirhaven/internal/pb"
)

// Cost is the mean work of a want on a core of speed 1, in seconds.
type Cost func(w *wants.Want) float64

// CostOf reads it off a model: by the first kind that knows the queue type.
func CostOf(m *pb.CapacityModel, _ *pb.CapacityFleet) Cost {
	mean, n := 0.0, 0.0
	for _, k := range m.Kind {
		for _, w := range k.Work {
			mean, n = mean+(w.Unit+w.Base)*float64(w.Samples), n+float64(w.Samples)
		}
	}
	if n > 0 {
		mean /= n
	}
	return func(w *wants.Want) float64 {
		for _, k := range m.Kind {
			if x := model.Work(k, w.Type, w.Units, -1); x > 0 {
				return x
			}
		}
		return mean * w.Units
	}
}

// Cells are those where a load shows each volume, in order; volumes that the fleet places itself are as it says.
func Cells(all []wants.Want, f *pb.CapacityFleet) map[string][]int {
	cells := map[string][]int{}
	stated := map[string]bool{}
	for _, v := range f.Volume {
		for _, c := range v.Cell {
			cells[v.Name] = append(cells[v.Name], int(c))
		}
		stated[v.Name] = len(v.Cell) > 0
	}
	for i := range all {
		w := &all[i]
		if w.Cell >= 0 && !stated[w.Volume] && !slices.Contains(cells[w.Volume], w.Cell) {
			cells[w.Volume] = append(cells[w.Volume], w.Cell)
		}
	}
	for _, c := range cells {
		slices.Sort(c)
	}
	return cells
}

// With is the fleet with so many bricks of a kind: more are copies of those there, in their zones by turns, each with a cell of
// its own; fewer leave out the last.
func With(f *pb.CapacityFleet, kind string, n int) (*pb.CapacityFleet, error) {
	g := proto.Clone(f).(*pb.CapacityFleet)
	var own []*pb.Server
	top := uint32(0)
	for _, b := range f.Brick {
		if top = max(top, b.Cell); b.Kind == kind {
			own = append(own, b)
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("the fleet has no brick of kind %q", kind)
	}
	if n < len(own) {
		g.Brick = slices.DeleteFunc(g.Brick, func(b *pb.Server) bool {
			return slices.ContainsFunc(own[n:], func(o *pb.Server) bool { return o.Name == b.Name })
		})
		if len(g.Brick) == 0 {
			return nil, fmt.Errorf("no brick would be left")
		}
	}
	for i := len(own); i < n; i++ {
		like := own[i%len(own)]
		top++
		g.Brick = append(g.Brick, &pb.Server{Name: fmt.Sprintf("more-%s-%d", kind, i), Kind: kind, Zone: like.Zone, Cell: top})
	}
	return g, nil
}

// Spread lays a load out over another fleet. Volumes whose cells the other fleet states lie there. A volume that lay on several cells lies on as many more as there are more bricks, its
// commands by their objects; one that lay on one cell stays whole on one brick. The largest parts are placed first, each where
// there is most room for what it asks for, no two of a volume on one cell while there is another.
func Spread(all []wants.Want, from, to *pb.CapacityFleet, cost Cost, speed func(b *pb.Server) float64) []wants.Want {
	cells := Cells(all, from)
	stated := map[string][]int{}
	if from != to {
		for _, v := range to.Volume {
			for _, c := range v.Cell {
				stated[v.Name] = append(stated[v.Name], int(c))
			}
		}
	}
	type part struct {
		volume string
		no     int
		work   float64
		cell   int
	}
	count := func(volume string) int {
		n := len(cells[volume])
		if n <= 1 {
			return n
		}
		return max(1, min(len(to.Brick), (n*len(to.Brick)+len(from.Brick)/2)/len(from.Brick)))
	}
	parts := map[string][]*part{}
	var order []*part
	out := slices.Clone(all)
	at := make([]*part, len(out))
	for i := range out {
		w := &out[i]
		n := count(w.Volume)
		if w.Cell < 0 || n == 0 {
			continue
		}
		if at := stated[w.Volume]; len(at) > 0 {
			w.Cell = at[int((w.Object*0x9E3779B97F4A7C15>>20)+uint64(w.Cell)*7)%len(at)]
			continue
		}
		if parts[w.Volume] == nil {
			for no := range n {
				p := &part{volume: w.Volume, no: no}
				parts[w.Volume], order = append(parts[w.Volume], p), append(order, p)
			}
		}
		// An object stays on one part; a cell's objects share out over the parts that the cell becomes.
		p := parts[w.Volume][int((w.Object*0x9E3779B97F4A7C15>>20)+uint64(w.Cell)*7)%n]
		p.work += cost(w)
		at[i] = p
	}
	slices.SortStableFunc(order, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.volume, b.volume), cmp.Compare(a.no, b.no))
	})
	load := make([]float64, len(to.Brick))
	held := map[string][]int{}
	for _, p := range order {
		best := -1
		for i, b := range to.Brick {
			if slices.Contains(held[p.volume], i) && len(held[p.volume]) < len(to.Brick) {
				continue
			}
			if best < 0 || (load[i]+p.work)/speed(b) < (load[best]+p.work)/speed(to.Brick[best]) {
				best = i
			}
		}
		load[best] += p.work
		held[p.volume] = append(held[p.volume], best)
		p.cell = int(to.Brick[best].Cell)
	}
	for i, p := range at {
		if p != nil {
			out[i].Cell = p.cell
		}
	}
	return out
}
