package client

import (
	"net"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

// link is the connection to one gateway; it is replaced whenever it ends.
type link struct {
	gateway      int
	sender       *lineproto.Sender // nil: not connected
	conn         net.Conn
	closedHere   bool // by the client
	stalledUntil time.Time
	unanswered   map[uint64]*attempt // by number
}

// reconnectDelay is the time between the end of a connection and the next.
const reconnectDelay = 20 * time.Millisecond

// keepConnected connects to a gateway until the load stops.
func (l *Load) keepConnected(k *link) {
	for l.ctx.Err() == nil {
		l.connect(k)
		select {
		case <-time.After(reconnectDelay):
		case <-l.ctx.Done():
		}
	}
}

// connect serves one connection from its greeting to its end.
func (l *Load) connect(k *link) {
	conn, err := net.DialTimeout("tcp", l.config.AddressOf(k.gateway), 250*time.Millisecond)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := lineproto.NewConnReader(conn, maxBody, 0, readTimeout)
	if _, err := lineproto.Greet(conn, reader, "client", "clients", time.Second, nil); err != nil {
		return
	}
	sender := lineproto.NewSender(maxUnsent, writeTimeout)
	sender.Start(conn)
	l.mu.Lock()
	if l.ctx.Err() != nil {
		_ = conn.Close()
	}
	k.conn, k.sender, k.closedHere = conn, sender, false
	l.mu.Unlock()
	for {
		l.awaitStall(k)
		message, err := reader.Read()
		if err != nil {
			break
		}
		l.handle(k, message)
	}
	sender.Close()
	<-sender.Done()
	l.disconnected(k)
}

// Bounds of a connection.
const (
	maxBody      = 16 << 20 // bytes
	maxUnsent    = 64 << 20 // bytes
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
)

// awaitStall waits while the clients of the gateway read nothing.
func (l *Load) awaitStall(k *link) {
	l.mu.Lock()
	stall := time.Until(k.stalledUntil)
	l.mu.Unlock()
	if stall <= 0 {
		return
	}
	select {
	case <-time.After(stall):
	case <-l.ctx.Done():
	}
}

// handle handles one message of a gateway.
func (l *Load) handle(k *link, message *lineproto.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if message.Verb == lineproto.VerbResponseStarted {
		return
	}
	l.config.Recorder.See(&pb.Seen{What: pb.Seen_ANSWERED, Host: uint32(k.gateway), Command: message.ID, How: message.Verb,
		MayHaveRun: message.Get("May-Have-Run") == "yes"})
	a := k.unanswered[message.ID]
	if a == nil {
		return
	}
	delete(k.unanswered, message.ID)
	a.timer.Stop()
	switch message.Verb {
	case lineproto.VerbRejected:
		retryAfter, _ := message.Duration("Back", 0)
		l.retry(a, k.gateway, max(retryAfter, 0), false)
	case lineproto.VerbFailed:
		l.retry(a, k.gateway, -1, true)
	default:
		l.openRequests--
	}
}

// disconnected ends a connection: what is unanswered on it gets no response.
func (l *Load) disconnected(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cause := "host"
	if k.closedHere {
		cause = "client"
	}
	k.conn, k.sender = nil, nil
	for number, a := range k.unanswered {
		delete(k.unanswered, number)
		a.timer.Stop()
		l.config.Recorder.See(&pb.Seen{What: pb.Seen_UNANSWERED, Host: uint32(k.gateway), Command: number, How: cause})
		l.retry(a, k.gateway, 0, true)
	}
}
