package storagenode

import (
	"context"
	"fmt"
	"net"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// connection is a connection from a gateway.
type connection struct {
	number     int64
	gateway    string            // the gateway's name, from its greeting; empty over HTTP
	sender     *lineproto.Sender // nil over HTTP
	conn       net.Conn
	unanswered map[uint64]*job // jobs without a response, by id
}

// Bounds of a connection that speaks the line protocol.
const (
	maxBody         = 16 << 20 // bytes
	maxUnsent       = 8 << 20  // bytes
	readTimeout     = 10 * time.Second
	writeTimeout    = 10 * time.Second
	greetingTimeout = 2 * time.Second
	warmAge         = 1000 * time.Hour // added to the age of a node without slow start
)

// serveLine serves a connection that speaks the line protocol.
func (n *Node) serveLine(c *connection) {
	defer func() { _ = c.conn.Close() }()
	unhook := context.AfterFunc(n.ctx, func() { reset(c.conn) })
	defer unhook()
	reader := lineproto.NewConnReader(c.conn, maxBody, 0, readTimeout)
	if err := n.greet(c, reader); err != nil {
		return
	}
	n.register(c)
	for {
		message, err := reader.Read()
		if err != nil {
			break
		}
		n.handle(c, message)
	}
	n.config.Recorder.See(&pb.Seen{What: pb.Seen_CUT, Brick: n.config.Name, Connection: c.number})
	n.unregister(c)
}

// greet exchanges greetings. The node sends its age and whether it is draining.
func (n *Node) greet(c *connection, reader *lineproto.Reader) error {
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	hello, err := lineproto.Greet(c.conn, reader, "brick", n.config.Name, greetingTimeout, func(greeting *lineproto.Builder) {
		age := time.Since(n.started)
		if !n.config.SlowStart {
			age += warmAge
		}
		if greeting.Duration("Age", age); draining {
			greeting.Text("State", "draining")
		}
	})
	if err != nil {
		return err
	}
	c.gateway = hello.Get("Name")
	c.sender.Start(c.conn)
	return nil
}

// register adds a connection after its greeting. If the node is draining, it notifies the gateway, which the greeting may have
// missed.
func (n *Node) register(c *connection) {
	n.mu.Lock()
	n.connections[c] = true
	draining := n.draining
	n.mu.Unlock()
	if draining { // the greeting may have been sent before the node began to drain
		n.sendDraining(c)
	} else if n.config.SlowStart { // the greeting carried the age
		n.recordNotified(c, "serving")
	}
}

// unregister closes the sender, waits until it has ended and removes the connection.
func (n *Node) unregister(c *connection) {
	c.sender.Close()
	<-c.sender.Done()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
}

// handle handles one message of a gateway.
func (n *Node) handle(c *connection, message *lineproto.Message) {
	switch message.Verb {
	case lineproto.VerbRequest:
		n.receive(n.decodeRequest(c, message))
	case lineproto.VerbHealthCheck:
		n.receiveHealthCheck(c, message.ID)
	case lineproto.VerbCancel:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cancel(c, message.ID)
	default:
		var reply lineproto.Builder
		_, _ = c.sender.Send(reply.Start(lineproto.VerbMalformed, message.ID).Text("Reason", "unknown verb "+message.Verb).End(nil).Buffer)
	}
}

// decodeRequest decodes a request of the line protocol.
func (n *Node) decodeRequest(c *connection, message *lineproto.Message) *job {
	units, _ := message.Float("Units", 1)
	attempt, _ := message.Int("Dispatch", 0)
	timeout, _ := message.Duration("Timeout", time.Hour)
	var request uint64
	_, _ = fmt.Sscanf(message.Get("Trace"), "%d", &request) // 0 if the client sent no number
	return &job{connection: c, id: message.ID, request: request, attempt: uint32(attempt), volume: message.Get("Volume"), class: message.Get("Queue-Type"),
		object: message.Get("Object"), idempotencyKey: message.Get("Tag"), units: units, deadline: time.Now().Add(timeout), body: message.Body}
}

// receiveHealthCheck answers a health check at once or queues it with the requests, depending on the kind of node.
func (n *Node) receiveHealthCheck(c *connection, id uint64) {
	j := &job{connection: c, id: id, healthCheck: true, work: settings.Duration(n.config.Kind.ProbeWork, 0).Seconds()}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.config.Kind.ProbeWaits {
		n.deferredWork += j.work
		n.answerHealthCheck(j)
		return
	}
	n.queue = append(n.queue, j)
	n.wakeWorker()
}

// AnnounceDraining makes the node reject new requests and notify the connected gateways that it is draining.
func (n *Node) AnnounceDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
	for c := range n.connections {
		if c.sender != nil {
			n.sendDraining(c)
		}
	}
}

// sendDraining notifies one gateway that the node is draining.
func (n *Node) sendDraining(c *connection) {
	var notice lineproto.Builder
	_, _ = c.sender.Send(notice.Start(lineproto.VerbDraining, 0).End(nil).Buffer)
	n.recordNotified(c, "draining")
}

// recordNotified records that the node has notified a gateway of its state.
func (n *Node) recordNotified(c *connection, state string) {
	if n.config.GatewayOf == nil {
		return
	}
	gateway, incarnation := n.config.GatewayOf(c.gateway)
	n.config.Recorder.See(&pb.Seen{What: pb.Seen_LISTED, Host: gateway, Incarnation: incarnation, Brick: n.config.Name, How: state,
		Started: int64(time.Since(n.started)), Cell: int32(n.config.Shard)})
}
