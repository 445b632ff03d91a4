package index

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/pb"
)

// CreateUpload creates a multipart upload. The id of the upload must be unique.
func (x *Index) CreateUpload(upload *pb.UploadRecord) error {
	return x.db.Batch(func(tx *bbolt.Tx) error { return putMessage(tx.Bucket(uploadsBucket), []byte(upload.Id), upload) })
}

// GetUpload returns an open upload. The error is decide.NoSuchUpload if it does not exist.
func (x *Index) GetUpload(volume, name, id string) (upload *pb.UploadRecord, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		upload, err = findUpload(tx, volume, name, id)
		return err
	})
	return upload, err
}

// findUpload returns an open upload. The error is decide.NoSuchUpload if no upload has the id, or if it is for another volume or name.
func findUpload(tx *bbolt.Tx, volume, name, id string) (*pb.UploadRecord, error) {
	upload := &pb.UploadRecord{}
	found, err := readMessage(tx.Bucket(uploadsBucket), []byte(id), upload)
	if err == nil && (!found || upload.Volume != volume || upload.Name != name) {
		fault := decide.NoSuchUpload
		err = &fault
	}
	return upload, err
}

// PutPart records a part of an open upload. It replaces an existing part with the same number and abandons its extents. The error is
// decide.NoSuchUpload if the upload does not exist, or ErrExtentsRemoved if extents of the new part have been abandoned.
func (x *Index) PutPart(volume, name, id string, part *pb.PartRecord, now time.Duration) error {
	return x.db.Batch(func(tx *bbolt.Tx) error {
		if _, err := findUpload(tx, volume, name, id); err != nil {
			return err
		}
		old, key := &pb.PartRecord{}, partKey(id, part.Number)
		found, err := readMessage(tx.Bucket(partsBucket), key, old)
		if err != nil {
			return err
		}
		if found {
			if err := abandon(tx, volume, old.Extent, now); err != nil {
				return err
			}
		}
		return errors.Join(addReferences(tx, part.Extent), putMessage(tx.Bucket(partsBucket), key, part))
	})
}

// partKey returns the key of a part in partsBucket. Keys of one upload sort by part number.
func partKey(id string, number uint32) []byte { return fmt.Appendf(nil, "%s/%05d", id, number) }

// ListParts returns the parts of an open upload, sorted by number. The error is decide.NoSuchUpload if the upload does not exist.
func (x *Index) ListParts(volume, name, id string) (parts []*pb.PartRecord, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		if _, err := findUpload(tx, volume, name, id); err != nil {
			return err
		}
		parts, err = readParts(tx, id)
		return err
	})
	return parts, err
}

func readParts(tx *bbolt.Tx, id string) (parts []*pb.PartRecord, err error) {
	cursor, prefix := tx.Bucket(partsBucket).Cursor(), []byte(id+"/")
	for key, value := cursor.Seek(prefix); key != nil && bytes.HasPrefix(key, prefix); key, value = cursor.Next() {
		part := &pb.PartRecord{}
		if err := proto.Unmarshal(value, part); err != nil {
			return nil, fmt.Errorf("decode part %q: %w", key, err)
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// CompleteUpload stores an object made from the parts of an open upload and closes the upload, in one transaction. The object consists of
// the parts that the client listed in named; the extents of all other parts are abandoned. Each listed part except the last must have at
// least minPart bytes. The error is a *decide.Fault if the upload does not exist or the list of parts is not valid, otherwise an error
// as from Commit. After an error, the upload stays open.
func (x *Index) CompleteUpload(volume, name, id string, named []decide.CompletedPart, minPart int64, precondition Precondition, now time.Duration) (object *pb.ObjectRecord, err error) {
	err = x.db.Update(func(tx *bbolt.Tx) error {
		upload, err := findUpload(tx, volume, name, id)
		if err != nil {
			return err
		}
		parts, err := readParts(tx, id)
		if err != nil {
			return err
		}
		completed, fault := decide.CompleteUpload(named, parts, minPart)
		if fault != nil {
			return fault
		}
		object = &pb.ObjectRecord{Volume: volume, Name: name, Etag: completed.ETag, Size: completed.Size, Modified: int64(now),
			ContentType: upload.ContentType, Meta: upload.Meta, Extent: completed.Extents}
		if err := errors.Join(abandon(tx, volume, completed.Unused, now), commit(tx, object, precondition, now)); err != nil {
			return err
		}
		return deleteUpload(tx, id, parts)
	})
	return object, err
}

// AbortUpload deletes an open upload and abandons the extents of its parts. The error is decide.NoSuchUpload if the upload does not exist.
func (x *Index) AbortUpload(volume, name, id string, now time.Duration) error {
	return x.db.Update(func(tx *bbolt.Tx) error {
		if _, err := findUpload(tx, volume, name, id); err != nil {
			return err
		}
		parts, err := readParts(tx, id)
		if err != nil {
			return err
		}
		for _, part := range parts {
			if err := abandon(tx, volume, part.Extent, now); err != nil {
				return err
			}
		}
		return deleteUpload(tx, id, parts)
	})
}

func deleteUpload(tx *bbolt.Tx, id string, parts []*pb.PartRecord) error {
	for _, part := range parts {
		if err := tx.Bucket(partsBucket).Delete(partKey(id, part.Number)); err != nil {
			return err
		}
	}
	return tx.Bucket(uploadsBucket).Delete([]byte(id))
}

// ListUploads returns the open uploads of a volume, or of all volumes if volume is empty, sorted by name and id.
func (x *Index) ListUploads(volume string) (uploads []*pb.UploadRecord, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(uploadsBucket).ForEach(func(_, value []byte) error {
			upload := &pb.UploadRecord{}
			if err := proto.Unmarshal(value, upload); err != nil {
				return err
			}
			if volume == "" || upload.Volume == volume {
				uploads = append(uploads, upload)
			}
			return nil
		})
	})
	slices.SortFunc(uploads, func(a, b *pb.UploadRecord) int { return strings.Compare(a.Name+"\x00"+a.Id, b.Name+"\x00"+b.Id) })
	return uploads, err
}

// IdleUploads returns the open uploads of all volumes that were created at least minAge ago and have received no part within minAge.
func (x *Index) IdleUploads(minAge, now time.Duration) (idle []*pb.UploadRecord, err error) {
	uploads, err := x.ListUploads("")
	if err != nil {
		return nil, err
	}
	err = x.db.View(func(tx *bbolt.Tx) error {
		for _, upload := range uploads {
			lastChange := upload.Begun
			parts, err := readParts(tx, upload.Id)
			if err != nil {
				return err
			}
			for _, part := range parts {
				lastChange = max(lastChange, part.Modified)
			}
			if now-time.Duration(lastChange) >= minAge {
				idle = append(idle, upload)
			}
		}
		return nil
	})
	return idle, err
}
