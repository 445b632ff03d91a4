package lineproto

import (
	"fmt"
	"net"
	"time"
)

// Greet sends this side's greeting and returns the peer's greeting, both within the timeout. addFields may add fields and
// may be nil. Afterwards the connection has no deadline.
func Greet(c net.Conn, r *Reader, role, name string, timeout time.Duration, addFields func(*Builder)) (*Message, error) {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	var hello Builder
	hello.Start(VerbHello, 0).Text(FieldVersion, Version).Text(FieldRole, role).Text(FieldName, name)
	if addFields != nil {
		addFields(&hello)
	}
	if _, err := c.Write(hello.End(nil).Buffer); err != nil {
		return nil, fmt.Errorf("greet: %w", err)
	}
	idle := r.idle
	r.idle = timeout
	m, err := r.Read()
	r.idle = idle
	if err != nil {
		return nil, fmt.Errorf("greet: %w", err)
	}
	if m.Verb != VerbHello || m.Get(FieldVersion) != Version {
		return nil, fmt.Errorf("greet: %s %q, wanted %s %s; the other side is of another version or no part of this",
			clip(m.Verb), clip(m.Get(FieldVersion)), VerbHello, Version)
	}
	return m, c.SetDeadline(time.Time{})
}
