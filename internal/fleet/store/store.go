// Package store persists a gateway's view of the fleet: its endpoint beliefs, the generation of the endpoint list and the members.
// Each gateway has one bbolt file of its own.
//
// Each save is one transaction, so a gateway that is killed at any moment finds the state before or after that save. An unreadable
// file is set aside (renamed), never deleted. The package does not interpret what it stores.
package store

import (
	"errors"

	"go.etcd.io/bbolt"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
)

// FormatVersion is the version of the file format. A program that supports only lower versions sets the file aside.
const FormatVersion = 1

// Errors that callers distinguish.
var (
	// ErrLocked is returned if another gateway has the file open.
	ErrLocked = errors.New("another gateway has this store open; each gateway needs one of its own (setting store)")
	// ErrReadOnly is returned by saves if the disk is read-only. The stored data can still be loaded.
	ErrReadOnly = errors.New("the disk is read-only: changes are not saved, and the next start loads the last saved state")
	// ErrNotAStore is returned if the file is not a store.
	ErrNotAStore = errors.New("the file is not a gateway's store")
	// ErrNewerFormat is returned if a later version of the program wrote the file.
	ErrNewerFormat = errors.New("the file was written by a later version of the program")
	// ErrOtherGateway is returned if the store belongs to a gateway of another name.
	ErrOtherGateway = errors.New("the file is another gateway's store")
)

// The buckets of the file.
var (
	metaBucket     = []byte("meta")
	endpointBucket = []byte("bricks")
	memberBucket   = []byte("hosts")

	metaKey = []byte("meta") // the only key of metaBucket
)

// Store is an open file. It is not safe for concurrent use.
type Store struct {
	db       *bbolt.DB
	gateway  string // name of the gateway that owns the store
	readOnly bool   // whether the disk is read-only
	// update runs a transaction. It is db.Update except in tests.
	update func(func(*bbolt.Tx) error) error

	// Contents of the file. A failed save may still have reached the disk, so its entries are uncertain until the next save
	// succeeds.
	beliefs          map[string]endpointstate.Belief // by name
	uncertain        map[string]bool                 // names of beliefs whose entry on disk is unknown
	members          []membership.Member
	membersUncertain bool
}

// Close closes the file. The store must not be used afterwards.
func (s *Store) Close() error { return s.db.Close() }
