// Package client is a gateway's side of the control plane: it follows the controller with the highest term, keeps the snapshot on disk,
// and reports what the gateway holds and learned. No request waits for it, except for the placement of a new object.
//
// A Follower holds a connection to every controller that the settings name; the one that is followed is the first of the highest term
// to send a message. What package snapshot says must be persisted is on disk before it is acknowledged or used; only a snapshot that
// can't be persisted is used all the same, since a full disk must not keep changes from a gateway.
//
// Goroutines: one for each controller's address and one that reads its stream; Run returns after all have ended. One mutex guards the
// snapshot, the store and which controller is followed.
package client
