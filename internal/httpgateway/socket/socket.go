// Package socket looks at a TCP connection without reading from it or waiting.
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
	Empty  State = iota // nothing
	Unread              // bytes
	Closed              // the peer closed or reset the connection, or it can't be used
)

// Peek looks at the receive buffer; a deadline that has passed does not matter. A connection that is not TCP is Quiet.
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
	err = raw.Control(func(descriptor uintptr) { state = peek(int(descriptor)) })
	if err != nil {
		return Closed
	}
	return state
}

func peek(descriptor int) State {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(descriptor, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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
