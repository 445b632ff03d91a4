package index

import (
	"bytes"
	"fmt"
	"strings"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// ListPage is a page of a volume's names.
type ListPage struct {
	Objects   []*pb.ObjectRecord // by name
	Prefixes  []string           // common prefixes up to and with the delimiter, by name
	NextAfter string             // name or prefix after which the next page begins; empty: this was the last
}

// List returns a page of at most limit names: those that begin with prefix and sort after a name (empty: from the first on). Names in
// which a delimiter follows the prefix are returned once, as a common prefix; an empty delimiter groups none.
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
			return page, fmt.Errorf("the object %q can't be read: %w", name, err)
		}
		page.Objects, last = append(page.Objects, object), name
		key, value = cursor.Next()
	}
	return page, nil
}

// onEarlierPage reports whether a name was returned before, by itself or in a common prefix.
func (q *listQuery) onEarlierPage(name string) bool {
	if q.after == "" {
		return false
	}
	afterIsCommonPrefix := q.delimiter != "" && strings.HasSuffix(q.after, q.delimiter)
	return name <= q.after || afterIsCommonPrefix && strings.HasPrefix(name, q.after)
}

// commonPrefix returns the prefix under which a name is grouped, if it is.
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

// keyAfterPrefix is a key behind all names that begin with a prefix: a group is skipped in one step, however many names it holds.
// Names are UTF-8, in which the byte 0xff never occurs.
func keyAfterPrefix(volume, prefix string) []byte {
	return append(objectKey(volume, prefix), 0xff, 0xff, 0xff, 0xff)
}
