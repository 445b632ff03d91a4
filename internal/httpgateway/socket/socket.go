// Package socket looks at the receive buffer of a TCP connection without reading from it or waiting. A connection on which
// no goroutine reads tells nothing by itself of a peer that has gone.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// State is what lies unread in a connection's receive buffer.
type State int

// The states of a receive buffer.
const (
	Empty  State = iota // nothing, and the connection is open
	Unread              // bytes
	Closed              // the peer closed or reset the connection, or it can't be used
)

// Peek looks at the receive buffer; a read deadline that has passed doesn't matter. A connection that is not TCP is Empty. It
// may be called from any goroutine, beside one that reads.
func Peek(nc net.Conn) State {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return Empty
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	if err := raw.Control(func(descriptor uintptr) { state = peek(int(descriptor)) }); err != nil {
		return Closed
	}
	return state
}

// AwaitClose returns when the peer has closed or reset the connection and no byte lies before that in the receive buffer, or
// at the read deadline. It reads nothing.
func AwaitClose(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(descriptor uintptr) bool { return peek(int(descriptor)) == Closed }) // fails at the deadline
}

func peek(descriptor int) State {
	var buffer [1]byte
	for {
		n, _, err := syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return Empty
		case err == nil && n > 0:
			return Unread
		default:
			return Closed
		}
	}
}
