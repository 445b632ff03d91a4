package index

import (
	"bytes"
	"fmt"
	"strings"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// ListPage is one page of a listing of a volume's objects.
type ListPage struct {
	Objects   []*pb.ObjectRecord // sorted by name
	Prefixes  []string           // common prefixes, each including the delimiter, sorted
	NextAfter string             // name or prefix after which the next page begins; empty if this is the last page
}

// List returns a page of at most limit objects and common prefixes. It covers the names that begin with prefix and sort after the name
// after (empty: from the first name). Names that contain the delimiter after the prefix are grouped into one common prefix, which ends
// with the delimiter; with an empty delimiter nothing is grouped.
func (x *Index) List(volume, prefix, delimiter, after string, limit int) (page ListPage, err error) {
	query := listQuery{volume: volume, prefix: prefix, delimiter: delimiter, after: after, limit: limit}
	err = x.db.View(func(tx *bbolt.Tx) error {
		page, err = query.run(tx.Bucket(objectsBucket).Cursor())
		return err
	})
	return page, err
}

type listQuery struct {
	volume, prefix, delimiter, after string
	limit                            int
}

func (q *listQuery) run(cursor *bbolt.Cursor) (page ListPage, err error) {
	volumeKey := objectKey(q.volume, "")
	last := ""
	key, value := cursor.Seek(objectKey(q.volume, max(q.prefix, q.after)))
	for key != nil && bytes.HasPrefix(key, volumeKey) {
		name := string(key[len(volumeKey):])
		if !strings.HasPrefix(name, q.prefix) && name > q.prefix {
			return page, nil
		}
		if !strings.HasPrefix(name, q.prefix) || q.onEarlierPage(name) {
			key, value = cursor.Next()
			continue
		}
		if len(page.Objects)+len(page.Prefixes) >= q.limit {
			page.NextAfter = last
			return page, nil
		}
		if common, ok := q.commonPrefix(name); ok {
			page.Prefixes, last = append(page.Prefixes, common), common
			key, value = cursor.Seek(keyAfterPrefix(q.volume, common))
			continue
		}
		object := &pb.ObjectRecord{}
		if err := proto.Unmarshal(value, object); err != nil {
			return page, fmt.Errorf("decode object %q: %w", name, err)
		}
		page.Objects, last = append(page.Objects, object), name
		key, value = cursor.Next()
	}
	return page, nil
}

// onEarlierPage reports whether an earlier page returned the name, either by itself or as part of a common prefix.
func (q *listQuery) onEarlierPage(name string) bool {
	if q.after == "" {
		return false
	}
	afterIsCommonPrefix := q.delimiter != "" && strings.HasSuffix(q.after, q.delimiter)
	return name <= q.after || afterIsCommonPrefix && strings.HasPrefix(name, q.after)
}

// commonPrefix returns the common prefix that a name is grouped into; false if it is not grouped.
func (q *listQuery) commonPrefix(name string) (string, bool) {
	if q.delimiter == "" {
		return "", false
	}
	end := strings.Index(name[len(q.prefix):], q.delimiter)
	if end < 0 {
		return "", false
	}
	return name[:len(q.prefix)+end+len(q.delimiter)], true
}

// keyAfterPrefix returns a key that sorts after all names with the given prefix, so that a single seek skips a group of any size. Names
// are UTF-8, in which the byte 0xff never occurs.
func keyAfterPrefix(volume, prefix string) []byte {
	return append(objectKey(volume, prefix), 0xff, 0xff, 0xff, 0xff)
}
