// Package socket inspects the receive buffer of a TCP connection without consuming its bytes. A disconnect of the peer goes
// undetected on a connection that no goroutine reads.
package socket

import (
	"errors"
	"io"
	"net"
	"sync"
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

// AwaitReadable blocks until there are unread bytes, the peer has closed or reset the connection, or the read deadline has passed.
// It consumes no bytes, and returns at once for a connection that is not TCP.
func AwaitReadable(nc net.Conn) {
	awaitState(nc, func(state State) bool { return state != Empty })
}

// AwaitClose blocks until the peer has closed or reset the connection with no unread bytes in the receive buffer, or until the
// read deadline. It consumes no bytes.
func AwaitClose(nc net.Conn) {
	awaitState(nc, func(state State) bool { return state == Closed })
}

// discardBuffers holds buffers for bytes that are read and dropped.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferLength]byte) }}

const discardBufferLength = 16 << 10 // bytes

// Discard reads and drops up to limit bytes, until the peer has closed or reset the connection or the read deadline has passed. It
// holds a buffer only while there are bytes to read.
func Discard(nc net.Conn, limit int) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		_, _ = io.Copy(io.Discard, io.LimitReader(nc, int64(limit)))
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(descriptor uintptr) (done bool) { return discard(int(descriptor), &limit) }) // fails at the deadline
}

// DiscardReceived reads and drops what has been received, up to limit bytes, without blocking.
func DiscardReceived(nc net.Conn, limit int) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) { discard(int(descriptor), &limit) }) // fails on a closed connection
	}
}

// discard drops what has been received, up to limit bytes, which it counts down. It reports whether nothing more can come.
func discard(descriptor int, limit *int) (done bool) {
	buffer := discardBuffers.Get().(*[discardBufferLength]byte)
	defer discardBuffers.Put(buffer)
	for *limit > 0 {
		n, err := syscall.Read(descriptor, buffer[:])
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return false
		case err != nil || n == 0:
			return true
		default:
			*limit -= n
		}
	}
	return true
}

// awaitState blocks until the receive buffer is in a wanted state, or until the read deadline.
func awaitState(nc net.Conn, wanted func(State) bool) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(descriptor uintptr) bool { return wanted(peek(int(descriptor))) }) // fails at the deadline
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
