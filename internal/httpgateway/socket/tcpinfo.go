package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP socket, as the kernel numbers them.
const (
	stateEstablished = 1
	stateClosed      = 7
	stateCloseWait   = 8
	stateLastAck     = 9
	stateListen      = 10
	stateClosing     = 11
)

// Established reports whether the system tells that a connection is open in both directions.
func Established(nc net.Conn) bool {
	info, ok := tcpInfo(nc)
	return ok && info.State == stateEstablished
}

// PeerClosed reports whether the system tells that the peer has closed or reset a connection. Unlike Peek it also sees a close behind
// unread bytes. A socket that was never seen open, see Established, is not taken for reset.
func PeerClosed(nc net.Conn, wasEstablished bool) bool {
	info, ok := tcpInfo(nc)
	if !ok {
		return false
	}
	switch info.State {
	case stateCloseWait, stateLastAck, stateClosing:
		return true
	}
	return wasEstablished && info.State == stateClosed
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
