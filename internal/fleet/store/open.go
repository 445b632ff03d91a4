package store

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
)

// lockTimeout is the time to wait for a file that another process has open. It covers only the exit of a process that is being
// replaced: two gateways with one store would count as one.
const lockTimeout = 200 * time.Millisecond

// openFile opens a file. It is os.OpenFile except in tests.
type openFile func(name string, flag int, perm os.FileMode) (*os.File, error)

// Open opens or creates the store of a gateway. An unreadable file is renamed and the store is then empty; aside gives the new name
// and the reason. On a read-only disk, the store can be loaded, but its saves return ErrReadOnly. Open fails with ErrLocked, or if
// the file can be neither opened nor set aside.
func Open(file, gateway string) (s *Store, aside string, err error) {
	return openWith(os.OpenFile, file, gateway)
}

func openWith(openFile openFile, file, gateway string) (s *Store, aside string, err error) {
	s, err = open(openFile, file, gateway, false)
	if errors.Is(err, syscall.EROFS) || errors.Is(err, os.ErrPermission) {
		if s, readOnlyErr := open(openFile, file, gateway, true); readOnlyErr == nil {
			return s, "", nil
		}
	}
	if err == nil || errors.Is(err, ErrLocked) || errors.Is(err, os.ErrPermission) {
		return s, "", err
	}
	if _, statErr := os.Stat(file); statErr != nil { // no file to set aside: the directory is missing, or the disk is full
		return nil, "", err
	}
	unreadable := err
	aside = fmt.Sprintf("%s.aside-%d", file, time.Now().UnixNano())
	if err := os.Rename(file, aside); err != nil {
		return nil, "", fmt.Errorf("store %s can neither be read (%w) nor set aside: %w", file, unreadable, err)
	}
	if s, err = open(openFile, file, gateway, false); err != nil {
		return nil, aside, err
	}
	return s, fmt.Sprintf("%s (%v)", aside, unreadable), nil
}

// open opens and reads a file. bbolt panics on some corrupted pages; open turns that into an error, so that the file is set aside.
func open(openFile openFile, file, gateway string, readOnly bool) (s *Store, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("store %s is corrupted: %v", file, p)
		}
	}()
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: lockTimeout, OpenFile: openFile, ReadOnly: readOnly})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("store %s: %w", file, ErrLocked)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", file, err)
	}
	s = &Store{db: db, gateway: gateway, readOnly: readOnly, update: db.Update,
		beliefs: map[string]endpointstate.Belief{}, uncertain: map[string]bool{}}
	if err := s.readAll(); err != nil {
		_ = db.Close() // the read error is more useful
		return nil, err
	}
	return s, nil
}

// readAll reads the contents of the file.
func (s *Store) readAll() error {
	beliefs, _, err := s.Load()
	if err != nil {
		return err
	}
	for _, b := range beliefs {
		s.beliefs[b.Name] = b
	}
	s.members, err = s.Members()
	return err
}

// Dump reads the store of a gateway that is not running, and never sets the file aside. It fails like Open, and with ErrNotAStore,
// ErrNewerFormat or ErrOtherGateway.
func Dump(file, gateway string) (beliefs []endpointstate.Belief, members []membership.Member, last endpointstate.Generation, err error) {
	s, err := open(os.OpenFile, file, gateway, false)
	if err != nil {
		return nil, nil, last, err
	}
	defer func() { _ = s.Close() }() // nothing was written
	beliefs, last, err = s.Load()
	return beliefs, s.members, last, err
}
