// Package store keeps a planner's state, or an edge's view of it, on disk (bbolt): tenure, generation and items, each change one
// transaction. Killed at any moment it holds the state before or after.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// FormatVersion of the file; a program that knows a lower one sets it aside.
const FormatVersion = 1

// ErrLocked is returned where another program has the file open.
var ErrLocked = errors.New("another program has this store open; each planner and edge needs one of its own")

var (
	metaBucket, itemBucket              = []byte("meta"), []byte("items")
	formatKey, tenureKey, generationKey = []byte("format"), []byte("tenure"), []byte("generation")
)

// Saved is what a store holds.
type Saved struct {
	Term       *pb.Tenure // nil: nothing was kept
	Generation uint64
	Records    []*pb.Item
}

// Store is one open file. It may be used by one goroutine at a time.
type Store struct{ db *bbolt.DB }

// Open opens or makes a file. One that can't be read is set aside under another name, which is told, and never deleted.
func Open(file string) (s *Store, saved Saved, aside string, err error) {
	s, saved, err = open(file)
	if err == nil || errors.Is(err, ErrLocked) || errors.Is(err, os.ErrPermission) {
		return s, saved, "", err
	}
	if _, serr := os.Stat(file); serr != nil {
		return nil, saved, "", err
	}
	why := err
	aside = fmt.Sprintf("%s.aside-%d", file, time.Now().UnixNano())
	if err := os.Rename(file, aside); err != nil {
		return nil, saved, "", fmt.Errorf("store %s can't be read (%w) nor set aside: %w", file, why, err)
	}
	s, saved, err = open(file)
	return s, saved, fmt.Sprintf("%s (%v)", aside, why), err
}

func open(file string) (s *Store, saved Saved, err error) {
	var db *bbolt.DB
	defer func() {
		if p := recover(); p != nil { // bbolt panics on some torn pages
			s, err = nil, fmt.Errorf("store %s is torn: %v", file, p)
		}
		if err != nil && db != nil {
			db.Close()
		}
	}()
	db, err = bbolt.Open(file, 0o600, &bbolt.Options{Timeout: 200 * time.Millisecond})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, saved, fmt.Errorf("store %s: %w", file, ErrLocked)
	}
	if err != nil {
		return nil, saved, fmt.Errorf("store %s: %w", file, err)
	}
	err = db.View(func(tx *bbolt.Tx) error {
		m := tx.Bucket(metaBucket)
		if m == nil {
			if k, _ := tx.Cursor().First(); k != nil {
				return errors.New("the file is the store of something else")
			}
			return nil
		}
		f := m.Get(formatKey)
		if len(f) != 8 {
			return errors.New("the file is the store of something else")
		}
		if n := binary.BigEndian.Uint64(f); n > FormatVersion {
			return fmt.Errorf("the file has form %d, this program knows %d; it was written by a later one", n, FormatVersion)
		}
		t := &pb.Tenure{}
		if err := proto.Unmarshal(m.Get(tenureKey), t); err != nil {
			return fmt.Errorf("the tenure can't be read: %w", err)
		}
		g := m.Get(generationKey)
		if len(g) != 8 {
			return errors.New("the generation can't be read")
		}
		saved.Term, saved.Generation = t, binary.BigEndian.Uint64(g)
		return tx.Bucket(itemBucket).ForEach(func(k, v []byte) error {
			x := &pb.Item{}
			if err := proto.Unmarshal(v, x); err != nil || string(key(x)) != string(k) {
				return fmt.Errorf("the item %q can't be read", k)
			}
			saved.Records = append(saved.Records, x)
			return nil
		})
	})
	if err != nil {
		return nil, Saved{}, fmt.Errorf("store %s: %w", file, err)
	}
	return &Store{db}, saved, nil
}

func key(x *pb.Item) []byte { return fmt.Appendf(nil, "%d/%s", x.Kind, x.Name) }

// Persist writes a change in one transaction. Items that are gone are kept where they say something still: a drain, or, for a planner,
// that they are gone.
func (s *Store) Persist(tenure *pb.Tenure, generation uint64, changed []*pb.Item) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		items, err := tx.CreateBucketIfNotExists(itemBucket)
		if err != nil {
			return err
		}
		t, err := proto.Marshal(tenure)
		if err != nil {
			return err
		}
		err = errors.Join(m.Put(formatKey, binary.BigEndian.AppendUint64(nil, FormatVersion)), m.Put(tenureKey, t),
			m.Put(generationKey, binary.BigEndian.AppendUint64(nil, generation)))
		for _, x := range changed {
			v, merr := proto.Marshal(x)
			err = errors.Join(err, merr, items.Put(key(x), v))
		}
		return err
	})
}

// Copy writes the file's present state elsewhere, whole, while it is in use.
func (s *Store) Copy(file string) error {
	return s.db.View(func(tx *bbolt.Tx) error { return tx.CopyFile(file, 0o600) })
}

// Close ends it.
func (s *Store) Close() error { return s.db.Close() }
