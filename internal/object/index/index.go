// Package index keeps which objects there are and which extents hold their bytes (bbolt).
//
// What it promises. An extent is written down as loose before any of its bytes leave; an object that was answered is in one
// transaction with all its extents, which are then held by it. Killed at any moment, a name stands for the object before or the one
// after, whole; every extent that may exist on a brick is held or loose, so that a sweep finds what nothing holds, and never removes
// what is.
package index

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/pb"
)

var (
	objects, uploads, parts, held, loose = []byte("objects"), []byte("uploads"), []byte("parts"), []byte("held"), []byte("loose")
)

// Index is one open file; it may be used by many goroutines.
type Index struct{ db *bbolt.DB }

// Open opens or makes a file.
func Open(file string) (*Index, error) {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: 200 * time.Millisecond})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("index %s: another program has it open; each host needs one of its own", file)
	}
	if err != nil {
		return nil, fmt.Errorf("index %s: %w; objects can't be served without it", file, err)
	}
	db.MaxBatchDelay = 500 * time.Microsecond // requests that end together share a sync
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{objects, uploads, parts, held, loose} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		_ = db.Close() // nothing was written
		return nil, fmt.Errorf("index %s: %w", file, err)
	}
	return &Index{db}, nil
}

// Close ends it.
func (x *Index) Close() error { return x.db.Close() }

func key(volume, name string) []byte { return []byte(volume + "\x00" + name) }

func put(b *bbolt.Bucket, k []byte, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(k, v)
}

func read(b *bbolt.Bucket, k []byte, m proto.Message) (bool, error) {
	v := b.Get(k)
	if v == nil {
		return false, nil
	}
	if err := proto.Unmarshal(v, m); err != nil {
		return false, fmt.Errorf("the entry %q can't be read: %w", k, err)
	}
	return true, nil
}

// Intend writes extents down before their bytes leave.
func (x *Index) Intend(volume string, extents []*pb.ExtentRecord, now time.Duration) error {
	return x.db.Batch(func(tx *bbolt.Tx) error {
		for _, e := range extents {
			if err := put(tx.Bucket(loose), []byte(e.Id), &pb.LooseRecord{Extent: e, Volume: volume, Since: int64(now)}); err != nil {
				return err
			}
		}
		return nil
	})
}

// ErrExtentsGone is returned where a name or a part would stand for extents that were given up or swept meanwhile.
var ErrExtentsGone = errors.New("bytes of it were removed meanwhile")

// hold lets extents be held; they must be loose and not given up, or held already by what gives them up in the same transaction.
func hold(tx *bbolt.Tx, extents []*pb.ExtentRecord) error {
	for _, e := range extents {
		there, err := holdable(tx, e.Id)
		if err != nil {
			return err
		}
		if !there {
			return fmt.Errorf("extent %s: %w", e.Id, ErrExtentsGone)
		}
		if err := errors.Join(tx.Bucket(loose).Delete([]byte(e.Id)), tx.Bucket(held).Put([]byte(e.Id), []byte{1})); err != nil {
			return err
		}
	}
	return nil
}

// holdable tells whether the bytes of an extent are surely there: nothing has given them up.
func holdable(tx *bbolt.Tx, id string) (bool, error) {
	if tx.Bucket(held).Get([]byte(id)) != nil {
		return true, nil
	}
	record := &pb.LooseRecord{}
	found, err := read(tx.Bucket(loose), []byte(id), record)
	return found && !record.Doomed, err
}

// doom lets nothing hold extents any more.
func doom(tx *bbolt.Tx, volume string, extents []*pb.ExtentRecord, now time.Duration) error {
	for _, e := range extents {
		err := errors.Join(tx.Bucket(held).Delete([]byte(e.Id)),
			put(tx.Bucket(loose), []byte(e.Id), &pb.LooseRecord{Extent: e, Volume: volume, Since: int64(now), Doomed: true}))
		if err != nil {
			return err
		}
	}
	return nil
}

// Doom gives extents up that were intended and will not be held.
func (x *Index) Doom(volume string, extents []*pb.ExtentRecord, now time.Duration) error {
	return x.db.Batch(func(tx *bbolt.Tx) error {
		var own []*pb.ExtentRecord
		for _, e := range extents { // one that is held by now is not given up
			if tx.Bucket(held).Get([]byte(e.Id)) == nil {
				own = append(own, e)
			}
		}
		return doom(tx, volume, own, now)
	})
}

// Check judges an object as it stands, in the transaction that would replace it; nil: there is none.
type Check func(old *pb.ObjectRecord) error

// Commit lets a name stand for an object.
func (x *Index) Commit(o *pb.ObjectRecord, check Check, now time.Duration) error {
	return x.db.Batch(func(tx *bbolt.Tx) error { return commit(tx, o, check, now) })
}

func commit(tx *bbolt.Tx, o *pb.ObjectRecord, check Check, now time.Duration) error {
	k, old := key(o.Volume, o.Name), &pb.ObjectRecord{}
	ok, err := read(tx.Bucket(objects), k, old)
	if err != nil {
		return err
	}
	if !ok {
		old = nil
	}
	if check != nil {
		if err := check(old); err != nil {
			return err
		}
	}
	if old != nil {
		if err := doom(tx, o.Volume, old.Extent, now); err != nil {
			return err
		}
	}
	return errors.Join(hold(tx, o.Extent), put(tx.Bucket(objects), k, o))
}

// Delete removes a name; existed tells whether there was one.
func (x *Index) Delete(volume, name string, check Check, now time.Duration) (existed bool, err error) {
	err = x.db.Batch(func(tx *bbolt.Tx) error {
		k, old := key(volume, name), &pb.ObjectRecord{}
		ok, err := read(tx.Bucket(objects), k, old)
		if err != nil {
			return err
		}
		existed = ok
		if !ok {
			old = nil
		}
		if check != nil {
			if err := check(old); err != nil {
				return err
			}
		}
		if !ok {
			return nil
		}
		return errors.Join(doom(tx, volume, old.Extent, now), tx.Bucket(objects).Delete(k))
	})
	return existed, err
}

// Get is an object; nil: there is none.
func (x *Index) Get(volume, name string) (o *pb.ObjectRecord, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		m := &pb.ObjectRecord{}
		ok, err := read(tx.Bucket(objects), key(volume, name), m)
		if ok {
			o = m
		}
		return err
	})
	return o, err
}

// Listing is a page of a volume's names.
type Listing struct {
	Objects  []*pb.ObjectRecord
	Prefixes []string
	Next     string // name or prefix after which to go on; empty: that was all
}

// List is a page, by name: what begins with prefix and stands after a name; names that go on beyond a delimiter are told as one
// prefix.
func (x *Index) List(volume, prefix, delimiter, after string, most int) (l Listing, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(objects).Cursor()
		base := key(volume, "")
		from := key(volume, max(prefix, after))
		last := ""
		k, v := c.Seek(from)
		for k != nil && bytes.HasPrefix(k, base) {
			name := string(k[len(base):])
			if !strings.HasPrefix(name, prefix) {
				if name > prefix {
					break
				}
				k, v = c.Next()
				continue
			}
			if after != "" && (name <= after || delimiter != "" && strings.HasSuffix(after, delimiter) && strings.HasPrefix(name, after)) {
				k, v = c.Next()
				continue
			}
			if most <= len(l.Objects)+len(l.Prefixes) {
				l.Next = last
				return nil
			}
			if at := strings.Index(name[len(prefix):], delimiter); delimiter != "" && at >= 0 {
				p := name[:len(prefix)+at+len(delimiter)]
				l.Prefixes, last = append(l.Prefixes, p), p
				// The next name that does not begin with it: as many as may be are passed over at once.
				k, v = c.Seek(append(key(volume, p), 0xff, 0xff, 0xff, 0xff))
				continue
			}
			o := &pb.ObjectRecord{}
			if err := proto.Unmarshal(v, o); err != nil {
				return fmt.Errorf("the object %q can't be read: %w", name, err)
			}
			l.Objects, last = append(l.Objects, o), name
			k, v = c.Next()
		}
		return nil
	})
	return l, err
}

// Begin begins an upload.
func (x *Index) Begin(u *pb.UploadRecord) error {
	return x.db.Batch(func(tx *bbolt.Tx) error { return put(tx.Bucket(uploads), []byte(u.Id), u) })
}

func partKey(id string, number uint32) []byte { return fmt.Appendf(nil, "%s/%05d", id, number) }

func upload(tx *bbolt.Tx, volume, name, id string) (*pb.UploadRecord, error) {
	u := &pb.UploadRecord{}
	ok, err := read(tx.Bucket(uploads), []byte(id), u)
	if err == nil && (!ok || u.Volume != volume || u.Name != name) {
		f := decide.NoSuchUpload
		err = &f
	}
	return u, err
}

// Upload is one as it was begun.
func (x *Index) Upload(volume, name, id string) (u *pb.UploadRecord, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		u, err = upload(tx, volume, name, id)
		return err
	})
	return u, err
}

// PutPart lets an upload hold a part; one of the same number before it is given up.
func (x *Index) PutPart(volume, name, id string, p *pb.PartRecord, now time.Duration) error {
	return x.db.Batch(func(tx *bbolt.Tx) error {
		if _, err := upload(tx, volume, name, id); err != nil {
			return err
		}
		old, k := &pb.PartRecord{}, partKey(id, p.Number)
		ok, err := read(tx.Bucket(parts), k, old)
		if err != nil {
			return err
		}
		if ok {
			if err := doom(tx, volume, old.Extent, now); err != nil {
				return err
			}
		}
		return errors.Join(hold(tx, p.Extent), put(tx.Bucket(parts), k, p))
	})
}

func partsOf(tx *bbolt.Tx, id string) (all []*pb.PartRecord, err error) {
	c, base := tx.Bucket(parts).Cursor(), []byte(id+"/")
	for k, v := c.Seek(base); k != nil && bytes.HasPrefix(k, base); k, v = c.Next() {
		p := &pb.PartRecord{}
		if err := proto.Unmarshal(v, p); err != nil {
			return nil, fmt.Errorf("the part %q can't be read: %w", k, err)
		}
		all = append(all, p)
	}
	return all, nil
}

// Parts are an upload's, by number.
func (x *Index) Parts(volume, name, id string) (all []*pb.PartRecord, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		if _, err := upload(tx, volume, name, id); err != nil {
			return err
		}
		all, err = partsOf(tx, id)
		return err
	})
	return all, err
}

// Complete makes an object of an upload, in one transaction: the parts named become its extents, the others are given up.
func (x *Index) Complete(volume, name, id string, named []decide.Named, least int64, check Check, now time.Duration) (o *pb.ObjectRecord, err error) {
	err = x.db.Update(func(tx *bbolt.Tx) error {
		u, err := upload(tx, volume, name, id)
		if err != nil {
			return err
		}
		all, err := partsOf(tx, id)
		if err != nil {
			return err
		}
		extents, rest, size, etag, fault := decide.Complete(named, all, least)
		if fault != nil {
			return fault
		}
		o = &pb.ObjectRecord{Volume: volume, Name: name, Etag: etag, Size: size, Modified: int64(now), ContentType: u.ContentType, Meta: u.Meta, Extent: extents}
		if err := errors.Join(doom(tx, volume, rest, now), commit(tx, o, check, now)); err != nil {
			return err
		}
		return forget(tx, id, all)
	})
	return o, err
}

func forget(tx *bbolt.Tx, id string, all []*pb.PartRecord) error {
	for _, p := range all {
		if err := tx.Bucket(parts).Delete(partKey(id, p.Number)); err != nil {
			return err
		}
	}
	return tx.Bucket(uploads).Delete([]byte(id))
}

// Abort gives an upload up, with its parts.
func (x *Index) Abort(volume, name, id string, now time.Duration) error {
	return x.db.Update(func(tx *bbolt.Tx) error {
		if _, err := upload(tx, volume, name, id); err != nil {
			return err
		}
		all, err := partsOf(tx, id)
		if err != nil {
			return err
		}
		for _, p := range all {
			if err := doom(tx, volume, p.Extent, now); err != nil {
				return err
			}
		}
		return forget(tx, id, all)
	})
}

// Uploads are those open, of a volume or of all (empty), by name.
func (x *Index) Uploads(volume string) (all []*pb.UploadRecord, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(uploads).ForEach(func(_, v []byte) error {
			u := &pb.UploadRecord{}
			if err := proto.Unmarshal(v, u); err != nil {
				return err
			}
			if volume == "" || u.Volume == volume {
				all = append(all, u)
			}
			return nil
		})
	})
	slices.SortFunc(all, func(a, b *pb.UploadRecord) int { return strings.Compare(a.Name+"\x00"+a.Id, b.Name+"\x00"+b.Id) })
	return all, err
}

// Aged are uploads to which nothing was added for so long.
func (x *Index) Aged(age, now time.Duration) (old []*pb.UploadRecord, err error) {
	all, err := x.Uploads("")
	if err != nil {
		return nil, err
	}
	err = x.db.View(func(tx *bbolt.Tx) error {
		for _, u := range all {
			last := u.Begun
			ps, err := partsOf(tx, u.Id)
			if err != nil {
				return err
			}
			for _, p := range ps {
				last = max(last, p.Modified)
			}
			if now-time.Duration(last) >= age {
				old = append(old, u)
			}
		}
		return nil
	})
	return old, err
}

// Sweepable are the loose extents that may be removed, at most so many, while the oldest reader began at a time; loose tells how many there are in all.
func (x *Index) Sweepable(age, now, reader time.Duration, most int) (remove []*pb.LooseRecord, all int, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		var found []*pb.LooseRecord
		err := tx.Bucket(loose).ForEach(func(_, v []byte) error {
			l := &pb.LooseRecord{}
			if err := proto.Unmarshal(v, l); err != nil {
				return err
			}
			found = append(found, l)
			return nil
		})
		all = len(found)
		remove = decide.Sweep(found, func(id string) bool { return tx.Bucket(held).Get([]byte(id)) != nil }, now, age, reader)
		remove = remove[:min(len(remove), most)]
		return err
	})
	return remove, all, err
}

// Claim gives up loose extents before their bytes are removed, so that nothing can hold them from here on. It returns those
// that may be removed: what came to be held meanwhile is left out.
func (x *Index) Claim(found []*pb.LooseRecord) (claimed []*pb.LooseRecord, err error) {
	err = x.db.Update(func(tx *bbolt.Tx) error {
		claimed = nil
		for _, l := range found {
			id := []byte(l.Extent.Id)
			if tx.Bucket(held).Get(id) != nil {
				continue
			}
			if !l.Doomed {
				l.Doomed = true
				if err := put(tx.Bucket(loose), id, l); err != nil {
					return err
				}
			}
			claimed = append(claimed, l)
		}
		return nil
	})
	return claimed, err
}

// Removed forgets loose extents whose bytes are gone from their bricks.
func (x *Index) Removed(ids []string) error {
	return x.db.Update(func(tx *bbolt.Tx) error {
		for _, id := range ids {
			if err := tx.Bucket(loose).Delete([]byte(id)); err != nil {
				return err
			}
		}
		return nil
	})
}
