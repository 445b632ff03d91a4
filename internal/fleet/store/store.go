// Package store keeps on disk what a gateway believes of the fleet: its endpoint beliefs, the generation of the endpoint list and the
// members. One bbolt file belongs to one gateway.
//
// Each save is one transaction, so a gateway that is killed at any moment finds the state before it or after it. A file that
// can't be read is set aside under another name, never deleted. The package decides nothing about what it keeps.
package store

import (
	"errors"

	"go.etcd.io/bbolt"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
)

// FormatVersion of the file; a program that knows a lower one only sets it aside.
const FormatVersion = 1

// Errors that callers tell apart.
var (
	// ErrLocked is returned where another gateway has the file open.
	ErrLocked = errors.New("another gateway has this store open; each gateway needs one of its own (setting store)")
	// ErrReadOnly is returned by saves where the disk takes no writes. What is stored there is read all the same.
	ErrReadOnly = errors.New("the disk is read-only: the next start finds what was stored before, no more")
	// ErrNotAStore is returned for a file of something else.
	ErrNotAStore = errors.New("the file is not a gateway's store")
	// ErrNewerFormat is returned for a file of a later version of the program.
	ErrNewerFormat = errors.New("the file was written by a later version of the program")
	// ErrOtherGateway is returned for the store of a gateway of another name.
	ErrOtherGateway = errors.New("the file is another gateway's store")
)

// The buckets of the file.
var (
	metaBucket     = []byte("meta")
	endpointBucket = []byte("bricks")
	memberBucket   = []byte("hosts")

	metaKey = []byte("meta") // the only key of metaBucket
)

// Store is one open file. It is not safe for concurrent use.
type Store struct {
	db       *bbolt.DB
	gateway  string // whose store it is
	readOnly bool   // the disk takes no writes
	// update runs a transaction: db.Update, but in tests.
	update func(func(*bbolt.Tx) error) error

	// What is on disk. A save that failed may have reached it all the same, so what it wrote is uncertain until the next
	// one has succeeded.
	beliefs          map[string]endpointstate.Belief // by name
	uncertain        map[string]bool                 // names of beliefs
	members          []membership.Member
	membersUncertain bool
}

// Close closes the file. The store is of no use afterwards.
func (s *Store) Close() error { return s.db.Close() }
