// Package client implements the gateway's side of the control plane. It follows the controller with the highest term, stores the
// snapshot on disk, and reports the gateway's records and learned drains. Requests do not wait for it, except for the placement of
// a new object.
//
// A Follower maintains a connection to every configured controller and follows the one that was first to send a message with the
// highest term. State that must be persisted according to package snapshot is on disk before it is acknowledged or used. The only
// exception is a snapshot that cannot be persisted: it is used nevertheless, since a full disk must not prevent a gateway from
// receiving changes.
//
// Each controller address has one goroutine, and another one that reads the stream. Run returns after all of them have ended. One
// mutex guards the snapshot, the store and the choice of the followed controller.
package client
