package main

import (
	"net"
	"sync"
	"time"
)

// link is a network path to one address. It carries about 2 MB a second in each direction and, while it is silent, nothing: open
// connections stay open, and what was sent arrives, in order, once the silence is over.
type link struct {
	address string // where the path begins

	mu         sync.Mutex
	silentTill time.Time
}

func startLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String()}
	go acceptAll(listener, func(conn net.Conn) {
		far, err := net.Dial("tcp", target)
		if err != nil {
			_ = conn.Close()
			return
		}
		go l.carry(conn, far)
		l.carry(far, conn)
	})
	return l, nil
}

// silence makes the path silent for a time.
func (l *link) silence(length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentTill = time.Now().Add(length)
}

func (l *link) awaitSpeech() {
	for {
		l.mu.Lock()
		left := time.Until(l.silentTill)
		l.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// carry copies bytes, 4 KiB every 2 ms, until one side ends.
func (l *link) carry(from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	piece := make([]byte, 4<<10)
	for {
		n, err := from.Read(piece)
		l.awaitSpeech()
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}
