package client

import (
	"net"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

// link is the clients' link to one gateway. When its connection ends, it connects again.
type link struct {
	gateway        int
	sender         *lineproto.Sender // nil while not connected
	conn           net.Conn
	closedByClient bool
	stalledUntil   time.Time           // end of the stall during which the clients read nothing
	unanswered     map[uint64]*attempt // attempts without a response, by number
}

// reconnectDelay is the delay between the end of a connection and the next attempt to connect.
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
	k.conn, k.sender, k.closedByClient = conn, sender, false
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

// awaitStall waits until a stall of the gateway's clients is over.
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

// disconnected handles the end of a connection: its unanswered attempts get no response and are retried where possible.
func (l *Load) disconnected(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cause := "host"
	if k.closedByClient {
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
