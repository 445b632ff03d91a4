package snapshot

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"weirhaven/internal/pb"
)

// Key identifies a record.
type Key struct {
	Kind pb.Item_Kind
	Name string
}

// KeyOf returns the key of a record.
func KeyOf(record *pb.Item) Key { return Key{record.Kind, record.Name} }

// CompareTerms compares terms by number, then by controller. The result is negative if a is lower, 0 if both are equal and positive
// if a is higher; nil is the lowest term.
func CompareTerms(a, b *pb.Tenure) int {
	return cmp.Or(cmp.Compare(a.GetTerm(), b.GetTerm()), cmp.Compare(a.GetPlanner(), b.GetPlanner()))
}

// Supersedes reports whether record a is later than record b with the same key, by generation, then by term.
func Supersedes(a, b *pb.Item) bool {
	return a.Generation > b.Generation || a.Generation == b.Generation && a.Term > b.Term
}

// Digest returns a hash of the keys, generations and terms of a set of records, independent of their order. It excludes tombstones,
// and it excludes placements because each gateway holds only its own.
func Digest(records map[Key]*pb.Item) (digest uint64) {
	for key, record := range records {
		if key.Kind != pb.Item_PLACE && !record.Gone {
			digest ^= xxhash.Sum64String(fmt.Sprint(int(key.Kind), " ", key.Name, " ", record.Generation, " ", record.Term))
		}
	}
	return digest
}

// Sort orders records by kind, then by name.
func Sort(records []*pb.Item) {
	slices.SortFunc(records, func(a, b *pb.Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
}

// Sorted returns the records in a new slice, ordered by Sort.
func Sorted(records map[Key]*pb.Item) []*pb.Item {
	sorted := make([]*pb.Item, 0, len(records))
	for _, record := range records {
		sorted = append(sorted, record)
	}
	Sort(sorted)
	return sorted
}
