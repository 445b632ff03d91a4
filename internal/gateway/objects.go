package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/object/api"
	"weirhaven/internal/object/gate"
	"weirhaven/internal/object/index"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/internal/tlskeys"
)

// objects is this host's object API.
type objects struct {
	edge   *Edge
	index  *index.Index
	gate   *gate.Gate
	server *http.Server
	listen net.Listener
	cells  atomic.Pointer[[]uint32] // of bricks that serve
}

// openObjects listens, if settings say so.
func (e *Edge) openObjects(ctx context.Context) (*objects, error) {
	c := e.conf.Objects
	if c == nil {
		return nil, nil
	}
	var access api.Keys
	var err error
	if c.Access != "" {
		if access, err = api.ReadKeys(c.Access); err != nil {
			return nil, err
		}
	} else if !tlskeys.Loopback(c.Listen) {
		return nil, fmt.Errorf("objects.access: no access keys; without them objects are served on loopback only (objects.listen: %s)", c.Listen)
	}
	o := &objects{edge: e}
	if o.index, err = index.Open(c.Index); err != nil {
		return nil, err
	}
	or := func(x, usual uint32) int64 {
		if x == 0 {
			x = usual
		}
		return int64(x)
	}
	extent := or(c.Extent, 256<<10)
	if extent > int64(e.limits.Body) {
		o.index.Close()
		return nil, fmt.Errorf("objects.extent: %d bytes are more than bounds.body allows a message (%d)", extent, e.limits.Body)
	}
	o.gate = gate.New(gate.Config{Commands: o, Index: o.index, ReadType: c.ReadType, WriteType: c.WriteType, Extent: extent, Unit: or(c.Unit, 64<<10),
		Window: int(or(c.Window, 8)), UploadAge: settings.Duration(c.UploadAge, 24*time.Hour), LooseAge: settings.Duration(c.LooseAge, time.Hour), Log: e.log,
		Now: e.loop.Now})
	var config net.ListenConfig
	if o.listen, err = config.Listen(ctx, "tcp", c.Listen); err != nil {
		o.index.Close()
		return nil, fmt.Errorf("listen for objects: %w", err)
	}
	o.server = &http.Server{Handler: api.Handler(api.Config{Gate: o.gate, Keys: access, Skew: settings.Duration(c.Skew, 15*time.Minute), Requests: int(or(c.Requests, 256)), Stall: e.limits.Stall, Log: e.log}),
		ReadHeaderTimeout: e.limits.Stall, IdleTimeout: e.limits.Idle, MaxHeaderBytes: 64 << 10, Protocols: &http.Protocols{}}
	o.server.Protocols.SetHTTP1(true)
	o.server.Protocols.SetUnencryptedHTTP2(true)
	o.learn(nil)
	return o, nil
}

// run serves until ctx ends.
func (o *objects) run(ctx context.Context) {
	o.edge.log.Info("serving objects", "address", o.listen.Addr().String())
	served := make(chan error, 1)
	go func() { served <- o.server.Serve(o.listen) }()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	defer o.index.Close()
	o.look()
	for turn := 1; ; turn++ {
		select {
		case <-tick.C:
			o.look()
			if turn%10 == 0 {
				if removed, left, err := o.gate.Sweep(ctx); err != nil {
					o.edge.log.Warn("the sweep of loose extents failed", "err", err)
				} else if removed > 0 {
					o.edge.log.Info("loose extents were removed", "removed", removed, "left", left)
				}
			}
		case <-ctx.Done():
			o.server.Close()
			<-served
			return
		case err := <-served:
			if !errors.Is(err, http.ErrServerClosed) {
				o.edge.log.Error("objects are served no more", "err", err)
			}
			<-ctx.Done() // what is under way still uses the index
			o.server.Close()
			return
		}
	}
}

// drain takes nothing new and lets what is under way end.
func (o *objects) drain(longest time.Duration) {
	if o == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), longest)
	defer stop()
	o.server.Shutdown(ctx)
}

// look takes the cells of bricks that serve from what the loop believes.
func (o *objects) look() {
	all, _, _, ok := o.edge.beliefs()
	if ok {
		o.learn(all)
	}
}

func (o *objects) learn(all []endpointstate.Belief) {
	cells := []uint32{}
	for _, b := range all {
		if b.Serving && !b.Gone && b.Trust != endpointstate.Barred && b.Shard >= 0 && !slices.Contains(cells, uint32(b.Shard)) {
			cells = append(cells, uint32(b.Shard))
		}
	}
	slices.Sort(cells)
	o.cells.Store(&cells)
}

// Take, Gone and Cells are the gate's way to the loop.
func (o *objects) Take(t *engine.Request) bool {
	return !o.edge.stopping.Load() && o.edge.loop.TryPost(func(c *engine.Core) { c.Submit(t) })
}

func (o *objects) Gone(t *engine.Request) {
	o.edge.loop.PostUrgent(func(c *engine.Core) { c.ClientDisconnected(t) })
}

// Cells are those that the planner names for the volume, of them the ones that serve; else all that serve.
func (o *objects) Cells(volume string) ([]uint32, bool) {
	if _, _, ok := o.edge.volumeTable.of(volume); !ok {
		return nil, false
	}
	all := *o.cells.Load()
	if f := o.edge.planner.follower; f != nil {
		if v := f.Get(snapshot.Key{Kind: pb.Item_VOLUME, Name: volume}).GetVolume(); len(v.GetCell()) > 0 {
			return slices.DeleteFunc(slices.Clone(all), func(c uint32) bool { return !slices.Contains(v.Cell, c) }), true
		}
	}
	return all, true
}
