package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP socket, as the kernel numbers them.
const (
	stateEstablished = 1
	stateListen      = 10
)

// Established reports whether a connection is open in both directions. Unlike Peek it also sees a close behind unread bytes. known is
// false if the system doesn't tell.
func Established(nc net.Conn) (established, known bool) {
	info, ok := tcpInfo(nc)
	return ok && info.State == stateEstablished, ok
}

// AcceptQueue returns the number of connections that wait to be accepted; known is false if the system doesn't tell.
func AcceptQueue(listener net.Listener) (length int, known bool) {
	info, ok := tcpInfo(listener)
	if !ok || info.State != stateListen {
		return 0, false
	}
	return int(info.Unacked), true
}

// tcpInfo returns the system's description of a socket.
func tcpInfo(of any) (*unix.TCPInfo, bool) {
	socket, ok := of.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	var info *unix.TCPInfo
	err = raw.Control(func(descriptor uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO) // nil after an error
	})
	return info, err == nil && info != nil
}
