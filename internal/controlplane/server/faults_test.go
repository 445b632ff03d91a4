package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"weirhaven/internal/controlplane/client"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/pb"
)

// TestControllerKilledBetweenWriteAndSend repeatedly kills the controller after it has written a change and before it sends it, and
// restarts it from its disk. The gateway's generation must never decrease, and the gateway must finally hold all written records.
func TestControllerKilledBetweenWriteAndSend(t *testing.T) {
	address := freeAddress(t)
	conf := testConf(t, "a", address, 1, "")
	for i := range 6 {
		conf.Volume = append(conf.Volume, &pb.PlannedVolume{Name: fmt.Sprint("w", i), Plan: "basic", Hosts: 1})
	}
	g := startGateway(t, "e", filepath.Join(t.TempDir(), "e"), address)
	for restart := range 4 {
		conf.Volume = append(conf.Volume, &pb.PlannedVolume{Name: fmt.Sprint("x", restart), Plan: "basic", Hosts: 1})
		process, _ := startProcess(t, conf, 1)
		process.Wait() // the process kills itself after its first write
		g.checkMonotonic()
		if g.holds(pb.Item_VOLUME, fmt.Sprint("x", restart)) != nil {
			t.Error("the change was sent before the controller was killed, so the test does not cover the fault")
		}
	}
	startProcess(t, conf, 0)
	waitFor(t, "all written records", func() bool {
		g.checkMonotonic()
		return g.holds(pb.Item_VOLUME, "x3") != nil && g.holds(pb.Item_VOLUME, "w0") != nil && g.holds(pb.Item_VOLUME, "x0") != nil
	})
	g.checkMonotonic() // the last snapshot may have arrived after the check in the condition
	if g.highestGeneration < 4 {
		t.Errorf("generation %d", g.highestGeneration)
	}
}

// TestControllerRestartsFromOlderOrEmptyStore restarts the controller with an older copy of its store, as from a backup, and then
// without a store. The controller must learn the missing records, in particular drains and placements, from the gateways and
// continue above their generation.
func TestControllerRestartsFromOlderOrEmptyStore(t *testing.T) {
	conf := testConf(t, "a", "127.0.0.1:0", 2, "")
	c, address, stop := start(t, conf, Options{})
	conf.Listen = address
	dir := t.TempDir()
	gateways := []*testGateway{startGateway(t, "e0", filepath.Join(dir, "0"), address), startGateway(t, "e1", filepath.Join(dir, "1"), address)}
	changeList(c, 1, true, endpoint(0, true), endpoint(1, true))
	waitFor(t, "the first snapshot", func() bool {
		return gateways[0].holds(pb.Item_BRICK, "b1") != nil && gateways[1].holds(pb.Item_BRICK, "b1") != nil
	})
	olderDisk := filepath.Join(dir, "old.db")
	copyStore(t, c, olderDisk)
	changeList(c, 2, false, endpoint(0, false))
	shard := placeWithLease(t, gateways[0], "v", "object")
	drained := func() bool {
		for _, g := range gateways {
			g.checkMonotonic()
			if record := g.holds(pb.Item_BRICK, "b0"); record == nil || record.Brick.Serving {
				return false
			}
		}
		return true
	}
	waitFor(t, "the drain", drained)
	for _, disk := range []string{olderDisk, ""} {
		stop()
		os.Remove(conf.Store)
		if disk != "" {
			if err := os.Rename(disk, conf.Store); err != nil {
				t.Fatal(err)
			}
		}
		c, _, stop = start(t, conf, Options{})
		changeList(c, 9, true, endpoint(0, true), endpoint(1, true)) // the list does not contain the drain
		waitFor(t, "the lease", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.state.Phase() == statemachine.HoldingLease
		})
		waitFor(t, "a snapshot that both hold", func() bool {
			_, _, a, _ := gateways[0].follower.State()
			_, _, b, _ := gateways[1].follower.State()
			c.mu.Lock()
			defer c.mu.Unlock()
			return a == b && a == c.state.Generation()
		})
		if !drained() {
			t.Errorf("disk %q: the drain was lost", disk)
		}
		if again, err := gateways[1].follower.Place(context.Background(), "v", "object", ""); err != nil || again != shard {
			t.Errorf("disk %q: object in shard %d, previously in %d: %v", disk, again, shard, err)
		}
	}
}

// placeWithLease places a new object. It repeats the request until the controller holds the lease, since the controller can lose
// its short lease on a machine that stalls, which is not under test. Every other error fails the test.
func placeWithLease(t *testing.T, g *testGateway, volume, name string) (shard uint32) {
	t.Helper()
	waitFor(t, "a placement", func() bool {
		placed, err := g.follower.Place(context.Background(), volume, name, "")
		if errors.Is(err, client.ErrNoController) || status.Code(err) == codes.Unavailable && strings.Contains(err.Error(), statemachine.ErrNoLease.Error()) {
			return false
		}
		if err != nil {
			t.Fatal(err)
		}
		shard = placed
		return true
	})
	return shard
}

// copyStore copies the controller's store file. It holds the controller's mutex to prevent writes to the file.
func copyStore(t *testing.T, c *Controller, file string) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	content, err := os.ReadFile(c.conf.Store)
	if err == nil {
		err = os.WriteFile(file, content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestResumedControllerOfLowerTermIsIgnored stops a controller for longer than every timeout, as when a virtual machine is paused,
// until another one has taken over. After the first controller resumes and sends its messages, the gateway must still follow the
// second one.
func TestResumedControllerOfLowerTermIsIgnored(t *testing.T) {
	a, b := testConf(t, "a", freeAddress(t), 1, ""), testConf(t, "b", freeAddress(t), 1, "")
	a.Volume = append(a.Volume, &pb.PlannedVolume{Name: "of-a", Plan: "basic", Hosts: 1})
	b.Volume = append(b.Volume, &pb.PlannedVolume{Name: "of-b", Plan: "basic", Hosts: 1})
	g := startGateway(t, "e", filepath.Join(t.TempDir(), "e"), a.Listen, b.Listen)
	first, _ := startProcess(t, a, 0)
	waitFor(t, "the snapshot of a", func() bool { return g.holds(pb.Item_VOLUME, "of-a") != nil })
	first.Process.Signal(syscall.SIGSTOP)
	startProcess(t, b, 0)
	waitFor(t, "the snapshot of b", func() bool { g.checkMonotonic(); return g.holds(pb.Item_VOLUME, "of-b") != nil })
	address, term, generation, _ := g.follower.State()
	first.Process.Signal(syscall.SIGCONT)
	for deadline := time.Now().Add(1500 * time.Millisecond); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		g.checkMonotonic()
	}
	addressNow, termNow, generationNow, _ := g.follower.State()
	if addressNow != address || snapshot.CompareTerms(termNow, term) != 0 || generationNow != generation || address != b.Listen {
		t.Errorf("followed %s %v at %d, now %s %v at %d", address, term, generation, addressNow, termNow, generationNow)
	}
}

// fullDisk is a Persister whose writes fail while isFull is set.
type fullDisk struct {
	statemachine.Persister
	mu     sync.Mutex
	isFull bool
}

func (d *fullDisk) set(isFull bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isFull = isFull
}

func (d *fullDisk) Persist(term *pb.Tenure, generation uint64, changed []*pb.Item) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isFull {
		return syscall.ENOSPC
	}
	return d.Persister.Persist(term, generation, changed)
}

// TestControllerDiskFull checks that a controller with a full disk sends no changes and no placements, since a restart would lose
// them, that gateways keep their records, and that the controller continues once there is space.
func TestControllerDiskFull(t *testing.T) {
	disk := &fullDisk{}
	c, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 1, ""), Options{WrapPersister: func(p statemachine.Persister) statemachine.Persister {
		disk.Persister = p
		return disk
	}})
	g := startGateway(t, "e", filepath.Join(t.TempDir(), "e"), address)
	changeList(c, 1, true, endpoint(0, true))
	waitFor(t, "the first snapshot", func() bool { return g.holds(pb.Item_BRICK, "b0") != nil })
	disk.set(true)
	changeList(c, 2, false, endpoint(1, true))
	if _, err := g.follower.Place(context.Background(), "v", "object", ""); err == nil || !strings.Contains(err.Error(), "no space left") {
		t.Error(err)
	}
	if g.holds(pb.Item_BRICK, "b1") != nil {
		t.Error("a change was sent although it was not written")
	}
	disk.set(false)
	waitFor(t, "the change", func() bool { return g.holds(pb.Item_BRICK, "b1") != nil })
	if _, err := g.follower.Place(context.Background(), "v", "object", ""); err != nil {
		t.Error(err)
	}
}
