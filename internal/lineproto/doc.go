// Package lineproto reads and writes the line protocol (docs/protocol.md): a message is a start line (verb and id), MIME-style header
// fields and a body whose length a field gives. The package uses net/textproto and bounds the reader below it: whatever the peer
// sends, a message takes no more memory than the bounds allow.
//
// The package defines the names of verbs and fields, but does not interpret them.
package lineproto
