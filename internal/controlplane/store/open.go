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

// lockTimeout is how long Open waits for another program to close the file, for example one that is just exiting.
const lockTimeout = 200 * time.Millisecond

// ErrUnreadable is wrapped by the error for a file that is damaged, has a later format version or is not a store. Open returns it
// only if the file cannot be renamed.
var ErrUnreadable = errors.New("unreadable")

// Open opens or creates a file and returns its content. An unreadable file is renamed, never deleted, and a new one is created;
// setAside then contains the file's new name and the reason. The error wraps ErrLocked, os.ErrPermission or another reason why the
// file could not be opened.
func Open(file string) (s *Store, saved Saved, setAside string, err error) {
	s, saved, err = open(file)
	if err == nil || errors.Is(err, ErrLocked) || errors.Is(err, os.ErrPermission) {
		return s, saved, "", err
	}
	if _, statErr := os.Stat(file); statErr != nil {
		return nil, saved, "", err
	}
	reason := err
	newName := fmt.Sprintf("%s.aside-%d", file, time.Now().UnixNano())
	if err := os.Rename(file, newName); err != nil {
		return nil, saved, "", fmt.Errorf("store %s can't be read (%w) nor set aside: %w", file, reason, err)
	}
	s, saved, err = open(file)
	return s, saved, fmt.Sprintf("%s (%v)", newName, reason), err
}

// open opens a file without renaming it. bbolt panics on some torn pages, which can result from a power failure; such a file also
// counts as unreadable.
func open(file string) (s *Store, saved Saved, err error) {
	var db *bbolt.DB
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("store %s: %w, torn page: %v", file, ErrUnreadable, p)
		}
		if err != nil && db != nil {
			_ = db.Close() // the close error is irrelevant, since the file is not used
		}
	}()
	db, err = bbolt.Open(file, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, saved, fmt.Errorf("store %s: %w", file, ErrLocked)
	}
	if err != nil {
		return nil, saved, fmt.Errorf("store %s: %w", file, err)
	}
	err = db.View(func(tx *bbolt.Tx) error {
		saved, err = read(tx)
		return err
	})
	if err != nil {
		return nil, Saved{}, fmt.Errorf("store %s: %w: %w", file, ErrUnreadable, err)
	}
	return &Store{db}, saved, nil
}

// read returns the content of the file, which is the zero value for an empty file.
func read(tx *bbolt.Tx) (saved Saved, err error) {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		if key, _ := tx.Cursor().First(); key != nil {
			return saved, errors.New("the file is not a control plane store")
		}
		return saved, nil
	}
	format, ok := decodeNumber(meta.Get(formatKey))
	if !ok {
		return saved, errors.New("the file is not a control plane store")
	}
	if format > FormatVersion {
		return saved, fmt.Errorf("unsupported format version %d, at most %d is supported", format, FormatVersion)
	}
	saved.Term = &pb.Tenure{}
	if err := proto.Unmarshal(meta.Get(termKey), saved.Term); err != nil {
		return saved, fmt.Errorf("term: %w", err)
	}
	if saved.Generation, ok = decodeNumber(meta.Get(generationKey)); !ok {
		return saved, errors.New("generation: malformed number")
	}
	err = tx.Bucket(recordBucket).ForEach(func(key, value []byte) error {
		record := &pb.Item{}
		if err := proto.Unmarshal(value, record); err != nil {
			return fmt.Errorf("record %q: %w", key, err)
		}
		if string(recordKey(record)) != string(key) {
			return fmt.Errorf("record under key %q has key %q", key, recordKey(record))
		}
		saved.Records = append(saved.Records, record)
		return nil
	})
	return saved, err
}

func decodeNumber(value []byte) (n uint64, ok bool) {
	if len(value) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(value), true
}
