package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
)

func servingBeliefs(n int, at time.Duration) (all []endpointstate.Belief) {
	for i := range n {
		all = append(all, endpointstate.Belief{Source: endpointstate.List, Report: endpointstate.Report{Name: fmt.Sprint("b", i), Address: fmt.Sprint("127.0.0.1:", 1000+i),
			Zone: "north", Shard: i, Serving: true, Started: time.Duration(i), ObservedAt: at}})
	}
	return all
}

func mustOpen(t testing.TB, file, gateway string) (*Store, string) {
	t.Helper()
	s, aside, err := Open(file, gateway)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, aside
}

// A restart must load what was saved, and a save must write only the entries that have changed.
func TestSaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.db")
	s, _ := mustOpen(t, file, "h")
	all := servingBeliefs(5, time.Hour)
	all[2].DrainedUpTo, all[2].Reason, all[2].Serving = 7, "draining, told by list", false
	gen := endpointstate.Generation{Epoch: "e", Number: 9}
	if n, err := s.Save(all, gen); n != 5 || err != nil {
		t.Fatal(n, err)
	}
	older := servingBeliefs(5, time.Hour+AgeGranularity/2)
	older[2] = all[2]
	if n, err := s.Save(older, gen); n != 0 || err != nil {
		t.Errorf("wrote %d entries though nothing changed: %v", n, err)
	}
	if n, err := s.Save(all[1:], gen); n != 1 || err != nil {
		t.Errorf("%d %v", n, err)
	}
	s.Close()
	s, aside := mustOpen(t, file, "h")
	got, last, err := s.Load()
	if err != nil || aside != "" || last != gen || len(got) != 4 || got[1].DrainedUpTo != 7 || got[0].Report != all[1].Report {
		t.Errorf("%v %q %v %+v", err, aside, last, got)
	}
	if n, err := s.Save(all[2:], gen); n != 1 || err != nil { // a belief saved by an earlier process can be deleted
		t.Errorf("%d %v", n, err)
	}
}

// Members must survive a restart and be written only when they change.
func TestMembers(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.db")
	s, _ := mustOpen(t, file, "h")
	all := []membership.Member{{Name: "a", Ordinal: 1, Address: "127.0.0.1:1", Planned: 3, Incarnation: 9}, {Name: "b", State: membership.Faulty}}
	if err := errors.Join(s.SaveMembers(all), s.SaveMembers(all[:1]), s.SaveMembers(all)); err != nil {
		t.Fatal(err)
	}
	before := s.db.Stats()
	s.SaveMembers(all)
	if after := s.db.Stats(); after.TxStats.GetWrite() != before.TxStats.GetWrite() {
		t.Error("the same members were written again")
	}
	s.Close()
	s, _ = mustOpen(t, file, "h")
	if got, err := s.Members(); err != nil || !slices.Equal(got, all) {
		t.Errorf("%v %+v", err, got)
	}
}

// Two gateways with the same store would count as one, so opening a store that is already open must fail.
func TestOpenFailsIfLocked(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.db")
	mustOpen(t, file, "h")
	if _, _, err := Open(file, "h"); !errors.Is(err, ErrLocked) {
		t.Errorf("a second gateway opened the store: %v", err)
	}
}

// A file that is corrupted, truncated, of a later version, of another gateway or not a store at all must be set aside completely, and
// the gateway must start with an empty store.
func TestUnreadableFileIsSetAside(t *testing.T) {
	for name, spoil := range map[string]func(file string){
		"foreign": func(file string) { os.WriteFile(file, []byte(strings.Repeat("not a store\n", 1000)), 0o600) },
		"corrupted": func(file string) {
			s, _ := mustOpen(t, file, "h")
			s.Save(servingBeliefs(200, 1), endpointstate.Generation{})
			s.Close()
			b, _ := os.ReadFile(file)
			copy(b[4096*2:], make([]byte, len(b)-4096*2)) // bbolt's meta pages stay valid, but the pages they point to are zeroed
			os.WriteFile(file, b, 0o600)
		},
		"truncated": func(file string) {
			s, _ := mustOpen(t, file, "h")
			s.Save(servingBeliefs(200, 1), endpointstate.Generation{})
			s.Close()
			os.Truncate(file, 4096+100)
		},
		"later version": func(file string) {
			db, _ := bbolt.Open(file, 0o600, nil)
			db.Update(func(tx *bbolt.Tx) error {
				b, _ := tx.CreateBucket(metaBucket)
				v, _ := proto.Marshal(&pb.SavedMeta{Format: FormatVersion + 1, Host: "h"})
				return b.Put(metaKey, v)
			})
			db.Close()
		},
		"another gateway's": func(file string) {
			s, _ := mustOpen(t, file, "g")
			s.Save(servingBeliefs(1, 1), endpointstate.Generation{})
			s.Close()
		},
	} {
		dir := t.TempDir()
		file := filepath.Join(dir, "fleet.db")
		spoil(file)
		before, _ := os.ReadFile(file)
		s, aside := mustOpen(t, file, "h")
		if all, _, err := s.Load(); err != nil || len(all) != 0 || aside == "" {
			t.Errorf("%s: %v %d entries, aside %q", name, err, len(all), aside)
		}
		kept, _ := filepath.Glob(file + ".aside-*")
		if len(kept) != 1 {
			t.Fatalf("%s: the file was not set aside exactly once", name)
		}
		if after, _ := os.ReadFile(kept[0]); name != "later version" && len(after) != len(before) {
			t.Errorf("%s: the file had %d bytes, %d after it was set aside", name, len(before), len(after))
		}
	}
	if _, _, err := Open(filepath.Join(t.TempDir(), "none", "fleet.db"), "h"); err == nil {
		t.Error("opened a file in a directory that does not exist")
	}
}

// If a save fails because the disk is full, the data of the previous save must still be readable, and the next save must write what
// is missing.
func TestFullDisk(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.db")
	s, _ := mustOpen(t, file, "h")
	if _, err := s.Save(servingBeliefs(3, 1), endpointstate.Generation{Number: 1}); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(file)
	if err != nil {
		t.Fatal(err)
	}
	var previous syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &previous); err != nil {
		t.Fatal(err)
	}
	full := syscall.Rlimit{Cur: uint64(info.Size()), Max: previous.Max} // no file of this process can grow beyond this size
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &full); err != nil {
		t.Fatal(err)
	}
	_, err = s.Save(servingBeliefs(5000, 2), endpointstate.Generation{Number: 2})
	if rerr := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &previous); rerr != nil {
		t.Fatal(rerr)
	}
	if err == nil {
		t.Error("a save to a full disk did not fail")
	}
	if all, last, err := s.Load(); err != nil || len(all) != 3 || last.Number != 1 {
		t.Errorf("%v, %d entries of list %d", err, len(all), last.Number)
	}
	if n, err := s.Save(servingBeliefs(5000, 2), endpointstate.Generation{Number: 2}); err != nil || n != 4997 { // three are unchanged
		t.Errorf("%d %v", n, err)
	}
}

// On a disk remounted read-only, the gateway must start from the saved data, saves must fail with ErrReadOnly, and the file must stay
// unchanged.
func TestReadOnlyDisk(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.db")
	s, _ := mustOpen(t, file, "h")
	if _, err := s.Save(servingBeliefs(3, 1), endpointstate.Generation{Number: 4}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	before, _ := os.ReadFile(file)
	s, aside, err := openWith(func(name string, flag int, perm os.FileMode) (*os.File, error) {
		if flag&(os.O_RDWR|os.O_WRONLY) != 0 {
			return nil, &os.PathError{Op: "open", Path: name, Err: syscall.EROFS}
		}
		return os.OpenFile(name, flag, perm)
	}, file, "h")
	if err != nil || aside != "" {
		t.Fatal(err, aside)
	}
	defer s.Close()
	if all, last, err := s.Load(); err != nil || len(all) != 3 || last.Number != 4 {
		t.Errorf("%v, %d entries of list %d", err, len(all), last.Number)
	}
	if _, err := s.Save(servingBeliefs(4, 2), endpointstate.Generation{Number: 5}); !errors.Is(err, ErrReadOnly) {
		t.Error(err)
	}
	if err := s.SaveMembers([]membership.Member{{Name: "x"}}); !errors.Is(err, ErrReadOnly) {
		t.Error(err)
	}
	if after, _ := os.ReadFile(file); string(after) != string(before) {
		t.Error("the file changed")
	}
}

// BenchmarkSave measures a save of one changed belief for growing fleets.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, _ := mustOpen(b, filepath.Join(b.TempDir(), "fleet.db"), "h")
			all := servingBeliefs(n, 1)
			s.Save(all, endpointstate.Generation{})
			before := s.db.Stats().TxStats
			for i := 0; b.Loop(); i++ {
				all[i%n].Started += time.Second
				if _, err := s.Save(all, endpointstate.Generation{}); err != nil {
					b.Fatal(err)
				}
			}
			after := s.db.Stats().TxStats
			b.ReportMetric(float64(after.GetWrite()-before.GetWrite())/float64(b.N), "writes/op")
			b.ReportMetric(float64(after.GetPageAlloc()-before.GetPageAlloc())/float64(b.N), "bytes/op")
		})
	}
}

// A failed save may still have reached the disk. If the beliefs then return to their state before it, the next save must not assume
// that the disk is up to date.
func TestSaveAfterFailedSave(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.db")
	s, _ := mustOpen(t, file, "h")
	before, gen := servingBeliefs(2, time.Hour), endpointstate.Generation{Epoch: "e", Number: 1}
	members := []membership.Member{{Name: "h", Address: "127.0.0.1:1"}}
	if _, err := s.Save(before, gen); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveMembers(members); err != nil {
		t.Fatal(err)
	}
	s.update = func(f func(*bbolt.Tx) error) error { return errors.Join(s.db.Update(f), syscall.EIO) }
	after := servingBeliefs(3, time.Hour)
	after[0].Serving = false
	if _, err := s.Save(after, gen); !errors.Is(err, syscall.EIO) {
		t.Fatal(err)
	}
	if err := s.SaveMembers(nil); !errors.Is(err, syscall.EIO) {
		t.Fatal(err)
	}
	s.update = s.db.Update
	if _, err := s.Save(before, gen); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveMembers(members); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s, _ = mustOpen(t, file, "h")
	all, _, err := s.Load()
	if err != nil || len(all) != 2 || !all[0].Serving {
		t.Errorf("%v: the disk still has the entries of a failed save: %v", err, all)
	}
	if len(s.members) != 1 {
		t.Errorf("%d members, wanted 1", len(s.members))
	}
}
