package gateway

import (
	"cmp"
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

// Defaults of the settings in objects.
const (
	defaultExtent    = 256 << 10 // bytes
	defaultUnit      = 64 << 10  // bytes
	defaultWindow    = 8         // extents in flight per request
	defaultRequests  = 256       // concurrent requests
	defaultUploadAge = 24 * time.Hour
	defaultLooseAge  = time.Hour
	defaultSkew      = 15 * time.Minute
)

const maxHeaderBytes = 64 << 10

// The set of serving shards is read from the loop every objectTick; orphaned extents are removed every sweepTicks ticks.
const (
	objectTick = time.Second
	sweepTicks = 10
)

// objectServer is the object API of a gateway.
type objectServer struct {
	gateway  *Gateway
	index    *index.Index
	gate     *gate.Gate
	server   *http.Server
	listener net.Listener
	shards   atomic.Pointer[[]uint32] // shards with a serving endpoint, ascending
}

// openObjects opens the index and listens for object requests. It returns nil without an error if the settings enable no object
// API.
func (g *Gateway) openObjects(ctx context.Context) (*objectServer, error) {
	conf := g.conf.Objects
	if conf == nil {
		return nil, nil
	}
	keys, err := readAccessKeys(conf)
	if err != nil {
		return nil, err
	}
	o := &objectServer{gateway: g}
	if o.index, err = index.Open(conf.Index); err != nil {
		return nil, err
	}
	if err := o.listen(ctx, conf, keys); err != nil {
		return nil, errors.Join(err, o.index.Close())
	}
	o.setShards(nil)
	return o, nil
}

// readAccessKeys reads the access keys. Without a key file, the object API may listen on loopback only.
func readAccessKeys(conf *pb.ObjectApi) (api.Keys, error) {
	if conf.Access != "" {
		return api.ReadKeys(conf.Access)
	}
	if !tlskeys.Loopback(conf.Listen) {
		return nil, fmt.Errorf("objects.access: no access keys; without them objects are served on loopback only (objects.listen: %s)", conf.Listen)
	}
	return nil, nil
}

// listen creates the gate and the HTTP server, and opens the listener.
func (o *objectServer) listen(ctx context.Context, conf *pb.ObjectApi, keys api.Keys) error {
	g := o.gateway
	extent := int64(cmp.Or(conf.Extent, defaultExtent))
	if extent > int64(g.limits.MaxBody) {
		return fmt.Errorf("objects.extent: %d bytes are more than bounds.body allows a message (%d)", extent, g.limits.MaxBody)
	}
	o.gate = gate.New(gate.Config{Engine: o, Index: o.index, ReadClass: conf.ReadType, WriteClass: conf.WriteType,
		ExtentBytes: extent, UnitBytes: int64(cmp.Or(conf.Unit, defaultUnit)), MaxInFlight: int(cmp.Or(conf.Window, defaultWindow)),
		UploadIdleTimeout: settings.Duration(conf.UploadAge, defaultUploadAge), IntentTimeout: settings.Duration(conf.LooseAge, defaultLooseAge),
		Log: g.log, Now: g.loop.Now})
	var config net.ListenConfig
	var err error
	if o.listener, err = config.Listen(ctx, "tcp", conf.Listen); err != nil {
		return fmt.Errorf("listen for objects: %w", err)
	}
	handler := api.Handler(api.Config{Gate: o.gate, Keys: keys, MaxClockSkew: settings.Duration(conf.Skew, defaultSkew),
		MaxRequests: int(cmp.Or(conf.Requests, defaultRequests)), StallTimeout: g.limits.StallTimeout, Log: g.log})
	o.server = &http.Server{Handler: handler, ReadHeaderTimeout: g.limits.StallTimeout, IdleTimeout: g.limits.IdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, Protocols: &http.Protocols{}}
	o.server.Protocols.SetHTTP1(true)
	o.server.Protocols.SetUnencryptedHTTP2(true)
	return nil
}

// run serves until ctx ends. If the server fails earlier, the index stays open until ctx ends, since requests in flight still use
// it.
func (o *objectServer) run(ctx context.Context) {
	o.gateway.log.Info("serving objects", "address", o.listener.Addr().String())
	defer func() { _ = o.index.Close() }() // every change is already durable
	served := make(chan error, 1)
	go func() { served <- o.server.Serve(o.listener) }() // returns on the server's Close or Shutdown
	tick := time.NewTicker(objectTick)
	defer tick.Stop()
	o.refreshShards()
	for ticks := 1; ; ticks++ {
		select {
		case <-tick.C:
			o.refreshShards()
			if ticks%sweepTicks == 0 {
				o.sweep(ctx)
			}
		case <-ctx.Done():
			_ = o.server.Close() // the gateway is stopping: an error has no effect
			o.logServed(<-served)
			return
		case err := <-served:
			o.logServed(err)
			<-ctx.Done()
			_ = o.server.Close()
			return
		}
	}
}

// logServed logs why the server ended, unless it was closed on purpose.
func (o *objectServer) logServed(err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		o.gateway.log.Error("object server failed; objects are not served any more", "err", err)
	}
}

// sweep removes extents that no object refers to.
func (o *objectServer) sweep(ctx context.Context) {
	removed, remaining, err := o.gate.Sweep(ctx)
	if err != nil {
		o.gateway.log.Warn("sweep of orphaned extents failed", "err", err)
	} else if removed > 0 {
		o.gateway.log.Info("orphaned extents removed", "removed", removed, "remaining", remaining)
	}
}

// drain stops accepting requests and waits up to timeout for those in flight to complete.
func (o *objectServer) drain(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = o.server.Shutdown(ctx) // Close ends the requests that remain
}

// refreshShards updates the set of serving shards from the loop's beliefs.
func (o *objectServer) refreshShards() {
	if view, ok := o.gateway.fleetView(); ok {
		o.setShards(view.beliefs)
	}
}

func (o *objectServer) setShards(beliefs []endpointstate.Belief) {
	shards := []uint32{}
	for _, b := range beliefs {
		if b.Serving && !b.Removed && b.Trust != endpointstate.Barred && b.Shard >= 0 && !slices.Contains(shards, uint32(b.Shard)) {
			shards = append(shards, uint32(b.Shard))
		}
	}
	slices.Sort(shards)
	o.shards.Store(&shards)
}

// Submit, ClientDisconnected and Shards implement gate.Engine.

// Submit submits a request; false: it was not accepted and did not reach the scheduler.
func (o *objectServer) Submit(request *engine.Request) bool {
	return !o.gateway.shuttingDown.Load() && o.gateway.loop.TryPost(func(c *engine.Core) { c.Submit(request) })
}

// ClientDisconnected notifies the engine that the client of a request has disconnected.
func (o *objectServer) ClientDisconnected(request *engine.Request) {
	o.gateway.loop.PostUrgent(func(c *engine.Core) { c.ClientDisconnected(request) })
}

// Shards returns the shards on which new data of a volume may be placed: the serving ones among those that the control plane assigns
// to the volume, or all serving ones if it assigns none. false: unknown volume.
func (o *objectServer) Shards(volume string) ([]uint32, bool) {
	if _, _, ok := o.gateway.volumes.lookup(volume); !ok {
		return nil, false
	}
	serving := *o.shards.Load()
	follower := o.gateway.controlPlane.follower
	if follower == nil {
		return serving, true
	}
	allowed := follower.Get(snapshot.Key{Kind: pb.Item_VOLUME, Name: volume}).GetVolume().GetCell()
	if len(allowed) == 0 {
		return serving, true
	}
	return slices.DeleteFunc(slices.Clone(serving), func(shard uint32) bool { return !slices.Contains(allowed, shard) }), true
}
