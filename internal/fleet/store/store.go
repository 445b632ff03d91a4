// Package store keeps a host's beliefs of the fleet on disk (bbolt). Each save is one transaction: a host killed at any moment finds
// the state before it or after it. A file that can't be read is set aside, never deleted.
package store

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
)

// Format of the file; a program that knows a lower one sets it aside.
const Format = 1

// ErrLocked is returned where another host has the file open.
var ErrLocked = errors.New("another host has this store open; each host needs one of its own (setting store)")

var (
	metaBucket, brickBucket, hostBucket = []byte("meta"), []byte("bricks"), []byte("hosts")
	metaKey                             = []byte("meta")
)

// Store is one open file. It is not safe for concurrent use.
type Store struct {
	db   *bbolt.DB
	host string
	held map[string]endpointstate.Belief // as written
	// Lines of a save that failed: the disk may hold them as before it or after.
	unsure map[string]bool
	// hosts as written
	hosts       []membership.Member
	hostsUnsure bool // a save of them failed
	fixed       bool // the disk is read-only
	// update runs a transaction; db.Update, but in tests.
	update func(func(*bbolt.Tx) error) error
}

// opener opens files; os.OpenFile is one.
type opener func(name string, flag int, perm os.FileMode) (*os.File, error)

// ErrReadOnly is returned by saves where the disk takes no writes. What was kept there is read all the same.
var ErrReadOnly = errors.New("the disk is read-only: the next start finds what was kept before, no more")

// Open opens or makes a file. What can't be read is moved to a name of its own, which aside tells; the store is then empty.
func Open(file, host string) (s *Store, aside string, err error) {
	return openWith(os.OpenFile, file, host)
}

func openWith(f opener, file, host string) (s *Store, aside string, err error) {
	s, err = open(f, file, host, false)
	if errors.Is(err, syscall.EROFS) || errors.Is(err, os.ErrPermission) {
		if s, rerr := open(f, file, host, true); rerr == nil {
			return s, "", nil
		}
	}
	if err == nil || errors.Is(err, ErrLocked) || errors.Is(err, os.ErrPermission) {
		return s, "", err
	}
	if _, serr := os.Stat(file); serr != nil { // nothing there to set aside: the folder is missing, the disk is full
		return nil, "", err
	}
	why := err
	aside = fmt.Sprintf("%s.aside-%d", file, time.Now().UnixNano())
	if err := os.Rename(file, aside); err != nil {
		return nil, "", fmt.Errorf("store %s can't be read (%w) nor set aside: %w", file, why, err)
	}
	if s, err = open(f, file, host, false); err != nil {
		return nil, aside, err
	}
	return s, fmt.Sprintf("%s (%v)", aside, why), nil
}

func open(f opener, file, host string, fixed bool) (s *Store, err error) {
	defer func() {
		if p := recover(); p != nil { // bbolt panics on some torn pages
			err = fmt.Errorf("store %s is torn: %v", file, p)
		}
	}()
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: 200 * time.Millisecond, OpenFile: f, ReadOnly: fixed})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("store %s: %w", file, ErrLocked)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", file, err)
	}
	s = &Store{db: db, host: host, held: map[string]endpointstate.Belief{}, unsure: map[string]bool{}, fixed: fixed, update: db.Update}
	all, _, err := s.Load()
	if err != nil {
		db.Close()
		return nil, err
	}
	for _, b := range all {
		s.held[b.Name] = b
	}
	if s.hosts, err = s.Hosts(); err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// Dump reads a file that no host has open; it changes nothing and sets nothing aside.
func Dump(file, host string) (all []endpointstate.Belief, hosts []membership.Member, last endpointstate.Generation, err error) {
	s, err := open(os.OpenFile, file, host, false)
	if err != nil {
		return nil, nil, last, err
	}
	defer s.Close()
	all, last, err = s.Load()
	return all, s.hosts, last, err
}

// Close ends it.
func (s *Store) Close() error { return s.db.Close() }

// Load reads all that is kept.
func (s *Store) Load() (all []endpointstate.Belief, last endpointstate.Generation, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if b == nil {
			return nil // new
		}
		meta := &pb.SavedMeta{}
		if err := proto.Unmarshal(b.Get(metaKey), meta); err != nil || meta.Format == 0 {
			return errors.New("the file is not a host's store")
		}
		if meta.Format > Format {
			return fmt.Errorf("the file has form %d, this program knows %d; it was written by a later one", meta.Format, Format)
		}
		if meta.Host != s.host {
			return fmt.Errorf("the file is the store of host %q, this is %q", meta.Host, s.host)
		}
		last = endpointstate.Generation{Epoch: meta.Epoch, Number: meta.Number}
		bricks := tx.Bucket(brickBucket)
		if bricks == nil {
			return nil
		}
		return bricks.ForEach(func(k, v []byte) error {
			x := &pb.SavedBrick{}
			if err := proto.Unmarshal(v, x); err != nil || x.Name != string(k) {
				return fmt.Errorf("the line of brick %q can't be read", k)
			}
			all = append(all, endpointstate.Belief{Source: endpointstate.Source(x.From), DrainedUpTo: time.Duration(x.Drained), DrainKnownAt: time.Duration(x.Since), Reason: x.Why,
				Report: endpointstate.Report{Name: x.Name, Address: x.Address, Zone: x.Zone, Shard: int(x.Cell), Serving: x.Serving, Gone: x.Gone,
					Started: time.Duration(x.Started), ObservedAt: time.Duration(x.At)}})
			return nil
		})
	})
	return all, last, err
}

// Save writes what has changed since the last save, in one transaction. It returns how many lines that were. A line that only
// grew older by less than Grain is no change.
func (s *Store) Save(all []endpointstate.Belief, last endpointstate.Generation) (written int, err error) {
	now := map[string]endpointstate.Belief{}
	var put []endpointstate.Belief
	for _, b := range all {
		now[b.Name] = b
		if h, ok := s.held[b.Name]; !ok || differ(h, b) || s.unsure[b.Name] {
			put = append(put, b)
		}
	}
	var drop []string
	for name := range s.held {
		if _, ok := now[name]; !ok {
			drop = append(drop, name)
		}
	}
	for name := range s.unsure {
		if _, ok := now[name]; !ok && !slices.Contains(drop, name) {
			drop = append(drop, name)
		}
	}
	if len(put)+len(drop) == 0 {
		return 0, nil
	}
	if s.fixed {
		return 0, fmt.Errorf("save the fleet: %w", ErrReadOnly)
	}
	err = s.update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		meta, err := proto.Marshal(&pb.SavedMeta{Format: Format, Host: s.host, Epoch: last.Epoch, Number: last.Number})
		if err != nil {
			return err
		}
		if err := m.Put(metaKey, meta); err != nil {
			return err
		}
		bricks, err := tx.CreateBucketIfNotExists(brickBucket)
		if err != nil {
			return err
		}
		for _, b := range put {
			v, err := proto.Marshal(&pb.SavedBrick{Name: b.Name, Address: b.Address, Zone: b.Zone, Cell: int64(b.Shard), Serving: b.Serving,
				Gone: b.Gone, Started: int64(b.Started), At: int64(b.ObservedAt), From: int32(b.Source), Drained: int64(b.DrainedUpTo), Since: int64(b.DrainKnownAt), Why: b.Reason})
			if err != nil {
				return err
			}
			if err := bricks.Put([]byte(b.Name), v); err != nil {
				return err
			}
		}
		for _, name := range drop {
			if err := bricks.Delete([]byte(name)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		s.distrust(put, drop)
		return 0, fmt.Errorf("save the fleet: %w", err)
	}
	clear(s.unsure)
	for _, b := range put {
		s.held[b.Name] = b
	}
	for _, name := range drop {
		delete(s.held, name)
	}
	return len(put) + len(drop), nil
}

// distrust notes lines of a save that failed: the disk may hold them as they were before it or after, so that the next save
// has to write them whatever they are then.
func (s *Store) distrust(put []endpointstate.Belief, drop []string) {
	for _, b := range put {
		s.unsure[b.Name] = true
	}
	for _, name := range drop {
		s.unsure[name] = true
	}
}

// Hosts reads the members kept.
func (s *Store) Hosts() (all []membership.Member, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(hostBucket)
		if b == nil {
			return nil
		}
		return b.ForEach(func(k, v []byte) error {
			h := &pb.Gossip_Host{}
			if err := proto.Unmarshal(v, h); err != nil || h.Name != string(k) {
				return fmt.Errorf("the line of host %q can't be read", k)
			}
			all = append(all, membership.Member{Name: h.Name, Ordinal: int(h.Ordinal), Address: h.Address, Planned: int(h.Planned),
				Incarnation: h.Incarnation, State: membership.State(h.State)})
			return nil
		})
	})
	return all, err
}

// SaveHosts keeps the members, if they have changed.
func (s *Store) SaveHosts(all []membership.Member) error {
	if slices.Equal(all, s.hosts) && !s.hostsUnsure {
		return nil
	}
	if s.fixed {
		return fmt.Errorf("save the hosts: %w", ErrReadOnly)
	}
	err := s.update(func(tx *bbolt.Tx) error {
		if tx.Bucket(hostBucket) != nil {
			if err := tx.DeleteBucket(hostBucket); err != nil {
				return err
			}
		}
		b, err := tx.CreateBucket(hostBucket)
		if err != nil {
			return err
		}
		for _, m := range all {
			v, err := proto.Marshal(&pb.Gossip_Host{Name: m.Name, Ordinal: int64(m.Ordinal), Address: m.Address, Planned: int64(m.Planned),
				Incarnation: m.Incarnation, State: int32(m.State)})
			if err == nil {
				err = b.Put([]byte(m.Name), v)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
	s.hostsUnsure = err != nil
	if err != nil {
		return fmt.Errorf("save the hosts: %w", err)
	}
	s.hosts = slices.Clone(all)
	return nil
}

// Grain is how much older a line may be on disk than it is.
const Grain = 30 * time.Second

func differ(a, b endpointstate.Belief) bool {
	return a.Address != b.Address || a.Zone != b.Zone || a.Shard != b.Shard || a.Serving != b.Serving || a.Gone != b.Gone ||
		a.Started != b.Started || a.DrainedUpTo != b.DrainedUpTo || b.ObservedAt-a.ObservedAt >= Grain || b.ObservedAt < a.ObservedAt
}
