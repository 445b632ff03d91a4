package statemachine

import (
	"fmt"
	"slices"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// Difference describes for operators how the records held by a gateway differ from the controller's. The result is sorted and has
// one entry for each record that differs.
func Difference(own, held []*pb.Item, gatewayName string) (differences []string) {
	ownByKey, heldByKey := map[snapshot.Key]*pb.Item{}, map[snapshot.Key]*pb.Item{}
	keys := map[snapshot.Key]bool{}
	for _, record := range own {
		if record.Kind != pb.Item_PLACE || record.GetPlace().GetEdge() == gatewayName {
			ownByKey[snapshot.KeyOf(record)] = record
			keys[snapshot.KeyOf(record)] = true
		}
	}
	for _, record := range held {
		heldByKey[snapshot.KeyOf(record)] = record
		keys[snapshot.KeyOf(record)] = true
	}
	for key := range keys {
		if difference := recordDifference(ownByKey[key], heldByKey[key]); difference != "" {
			differences = append(differences, fmt.Sprintf("%s %s: %s", key.Kind, key.Name, difference))
		}
	}
	slices.Sort(differences)
	return differences
}

// recordDifference describes how the two versions of a record differ. It returns "" if they do not. One of the two may be nil,
// which means that the record is missing and is equivalent to a tombstone.
func recordDifference(own, held *pb.Item) string {
	switch {
	case own == nil && held.Gone, held == nil && own.Gone:
		return ""
	case held == nil:
		return "the gateway does not hold it"
	case own == nil:
		return "the controller does not know it"
	case own.Gone != held.Gone:
		return fmt.Sprintf("gone is %v at the controller, %v at the gateway", own.Gone, held.Gone)
	case own.Generation != held.Generation || own.Term != held.Term:
		return fmt.Sprintf("generation %d of term %d at the controller, %d of term %d at the gateway",
			own.Generation, own.Term, held.Generation, held.Term)
	case own.GetBrick().GetDrained() != held.GetBrick().GetDrained():
		return fmt.Sprintf("drained %d at the controller, %d at the gateway", own.GetBrick().GetDrained(), held.GetBrick().GetDrained())
	}
	return ""
}
