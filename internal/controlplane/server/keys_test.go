package server

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"weirhaven/internal/controlplane/client"
	"weirhaven/internal/pb"
	"weirhaven/internal/tlskeys"
)

// TestMutualTLS checks that a gateway cannot connect, and logs the reason, if its certificate's signer is not trusted, if its name
// is not in its certificate, or if the controller's certificate does not contain the configured server name. It also checks that
// expired certificates are not loaded, and that a running controller uses replaced key files of another signer without a restart.
func TestMutualTLS(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	const controllerName = tlskeys.DefaultServerName
	if err := errors.Join(tlskeys.Make(dir, []string{controllerName, "e0", "e1"}, time.Hour), tlskeys.Make(other, []string{controllerName, "e0"}, time.Hour)); err != nil {
		t.Fatal(err)
	}
	conf := testConf(t, "a", "127.0.0.1:0", 1, "")
	conf.Plain, conf.Keys = false, keysOf(dir, controllerName, "e*")
	_, address, _ := start(t, conf, Options{})
	controllersWith := func(keys *pb.Keys) *pb.Planner { return &pb.Planner{Address: []string{address}, Keys: keys} }

	g := startGatewayWith(t, "e0", filepath.Join(t.TempDir(), "e"), controllersWith(keysOf(dir, "e0")))
	waitFor(t, "a snapshot with the first keys", func() bool { return g.holds(pb.Item_VOLUME, "v") != nil })
	g.stop()

	checkRefused(t, "e0", controllersWith(keysOf(other, "e0")), "not trusted")
	checkRefused(t, "e1", controllersWith(keysOf(dir, "e0")), "does not let it speak for")
	wrongName := controllersWith(keysOf(dir, "e0"))
	wrongName.ServerName = "somebody"
	checkRefused(t, "e0", wrongName, "somebody")
	if err := tlskeys.Make(dir, []string{"e1"}, -30*time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := tlskeys.Load(keysOf(dir, "e1"), discardLog); !errors.Is(err, tlskeys.ErrOutOfDate) {
		t.Error(err)
	}

	for _, file := range []string{controllerName + ".key", controllerName + ".pem", "trusted.pem"} {
		content, err := os.ReadFile(filepath.Join(other, file))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, file), content, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	changed := startGatewayWith(t, "e0", filepath.Join(t.TempDir(), "e"), controllersWith(keysOf(other, "e0")))
	waitFor(t, "a snapshot with the replaced keys", func() bool { return changed.holds(pb.Item_VOLUME, "v") != nil })

	conf = testConf(t, "a", "0.0.0.0:0", 1, "")
	if err := Run(context.Background(), conf, Options{Log: discardLog}); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Error(err)
	}
}

// keysOf returns the settings for a name's keys in a folder written by tlskeys.Make.
func keysOf(dir, name string, allowed ...string) *pb.Keys {
	return &pb.Keys{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), Trusted: filepath.Join(dir, "trusted.pem"), Peer: allowed}
}

// checkRefused fails unless the gateway logs the given reason why it cannot follow the controllers.
func checkRefused(t *testing.T, name string, controllers *pb.Planner, reason string) {
	t.Helper()
	log := &lockedBuilder{}
	follower, err := client.Open(client.Config{Controllers: controllers, Gateway: name, ClientAddress: "x", SnapshotFile: filepath.Join(t.TempDir(), "e"), Sink: newTestGateway(t),
		Seed: 1, MinBackoff: 5 * time.Millisecond, MaxBackoff: 20 * time.Millisecond, Log: slog.New(slog.NewTextHandler(log, nil))})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	waitFor(t, reason, func() bool { return strings.Contains(log.String(), reason) })
	cancel()
	<-done
}

// lockedBuilder is a strings.Builder that is safe for concurrent use.
type lockedBuilder struct {
	mu      sync.Mutex
	builder strings.Builder
}

func (l *lockedBuilder) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.builder.Write(text)
}

func (l *lockedBuilder) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.builder.String()
}
