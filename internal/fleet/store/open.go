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

// lockTimeout is how long to wait for a file that another process has open. It covers the end of a process that is being
// replaced, and no more: two gateways with one store would count as one.
const lockTimeout = 200 * time.Millisecond

// openFile is os.OpenFile, but in tests.
type openFile func(name string, flag int, perm os.FileMode) (*os.File, error)

// Open opens or creates the store of a gateway. A file that can't be read is renamed, and aside says to what and why; the
// store is then empty. A disk that takes no writes gives a store that can be loaded, whose saves return ErrReadOnly. Errors:
// ErrLocked, or that the file can be neither opened nor set aside.
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
	if _, statErr := os.Stat(file); statErr != nil { // nothing there to set aside: the folder is missing, or the disk full
		return nil, "", err
	}
	unreadable := err
	aside = fmt.Sprintf("%s.aside-%d", file, time.Now().UnixNano())
	if err := os.Rename(file, aside); err != nil {
		return nil, "", fmt.Errorf("store %s can't be read (%w) nor set aside: %w", file, unreadable, err)
	}
	if s, err = open(openFile, file, gateway, false); err != nil {
		return nil, aside, err
	}
	return s, fmt.Sprintf("%s (%v)", aside, unreadable), nil
}

// open opens a file and reads it. Some torn pages make bbolt panic; that becomes an error, so that the file is set aside.
func open(openFile openFile, file, gateway string, readOnly bool) (s *Store, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("store %s is torn: %v", file, p)
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
		_ = db.Close() // the error before it says more
		return nil, err
	}
	return s, nil
}

// readAll reads what is on disk.
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

// Dump reads the store of a gateway that is not running. It sets nothing aside. Errors: as of Open, and ErrNotAStore,
// ErrNewerFormat, ErrOtherGateway.
func Dump(file, gateway string) (beliefs []endpointstate.Belief, members []membership.Member, last endpointstate.Generation, err error) {
	s, err := open(os.OpenFile, file, gateway, false)
	if err != nil {
		return nil, nil, last, err
	}
	defer func() { _ = s.Close() }() // nothing was written
	beliefs, last, err = s.Load()
	return beliefs, s.members, last, err
}
