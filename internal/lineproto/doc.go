// Package lineproto reads and writes the line protocol (docs/protocol.md): a message is a start line (verb and id), MIME-style header
// fields and a body whose length a field gives. It stands on net/textproto, under which the reader is bounded here: whatever the
// peer sends, a message takes no more memory than its bounds.
//
// The verbs and the names of fields are the protocol's; the package knows nothing of what they mean.
package lineproto
