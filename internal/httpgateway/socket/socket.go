// Package socket inspects the receive buffer of a TCP connection without consuming its bytes. A disconnect of the peer goes
// undetected on a connection that no goroutine reads.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a connection's receive buffer.
type State int

// The states of a receive buffer.
const (
	Empty  State = iota // no bytes, and the connection is open
	Unread              // unread bytes
	Closed              // no bytes, and the peer has closed or reset the connection or it is unusable
)

// Peek returns the state of the receive buffer without blocking, even if the read deadline has passed. It returns Empty for a
// connection that is not TCP. Peek may be called concurrently with a read.
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

// AwaitClose blocks until the peer has closed or reset the connection with no unread bytes in the receive buffer, or until the
// read deadline. It consumes no bytes.
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
