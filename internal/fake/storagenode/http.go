package storagenode

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"weirhaven/internal/http1"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

// maxRequestBody is the longest body of a request over HTTP, in bytes.
const maxRequestBody = 64 << 10

// serveHTTP serves a connection that speaks HTTP/1.1. The end of the connection cancels its requests.
func (n *Node) serveHTTP(c *connection) {
	defer func() { _ = c.conn.Close() }()
	unhook := context.AfterFunc(n.ctx, func() { reset(c.conn) })
	defer unhook()
	reader := http1.NewReader(c.conn)
	for id := uint64(1); ; id++ {
		j, err := n.readHTTP(c, reader, id)
		if err != nil {
			break
		}
		n.receive(j)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range c.unanswered {
		n.cancel(c, id)
	}
	n.config.Recorder.See(&pb.Seen{What: pb.Seen_CUT, Brick: n.config.Name, Connection: c.number})
}

// readHTTP reads and decodes a request.
func (n *Node) readHTTP(c *connection, reader *http1.Reader, id uint64) (*job, error) {
	if err := reader.Await(); err != nil {
		return nil, err
	}
	head, err := reader.Request()
	if err != nil {
		return nil, err
	}
	body, err := reader.Body(head, maxRequestBody)
	if err != nil {
		return nil, err
	}
	request, err := strconv.ParseUint(head.Get("X-Txn"), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("X-Txn is not a request number: %w", err)
	}
	remaining, _ := http1.ParseDigits(head.Get("X-Remaining-Ms"))
	path := strings.Split(head.Target, "/")
	if len(path) != 4 {
		return nil, fmt.Errorf("request target %q: expected /class/volume/object", head.Target)
	}
	return &job{connection: c, id: id, request: request, attempt: n.config.AttemptOf(request), volume: path[2], class: path[1], object: path[3],
		units: parseUnits(head.Get("Io-Info")), deadline: time.Now().Add(time.Duration(remaining) * time.Millisecond),
		declaredTimeout: time.Duration(remaining) * time.Millisecond, body: body}, nil
}

// parseUnits returns the units in an IO-Info field, or 1 if it has none.
func parseUnits(info string) float64 {
	for _, part := range strings.Split(info, ",") {
		if text, ok := strings.CutPrefix(part, "units="); ok {
			if units, err := strconv.ParseFloat(text, 64); err == nil {
				return units
			}
		}
	}
	return 1
}

// ResponseBody returns the body of the response to a request. It names the request, so that a client detects the response to
// another one.
func ResponseBody(request uint64) string { return "answer to " + strconv.FormatUint(request, 10) }

// maxDuplicateDelay is the longest delay of the second copy of a response.
const maxDuplicateDelay = 8 * time.Millisecond

// statusLines has the status and further fields of a response, by outcome.
var statusLines = map[string]string{
	lineproto.VerbServed:   "200 OK\r\n",
	lineproto.VerbRejected: "503 Busy\r\nX-Turned-Away: 1\r\n",
	lineproto.VerbFailed:   "500 Failed\r\n",
}

// respondHTTP writes the outcome of an attempt. The caller holds mu.
func (n *Node) respondHTTP(j *job, verb string, otherGateways float64) {
	text := []byte("HTTP/1.1 " + statusLines[verb])
	if otherGateways > 0 {
		text = http1.AppendField(text, "Other-Hosts", strconv.FormatFloat(otherGateways, 'g', -1, 64))
	}
	_ = j.connection.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if verb == lineproto.VerbServed && n.random.Float64() < n.conditions.TruncatedShare {
		_, _ = io.WriteString(j.connection.conn, string(text)+"\r\n"+ResponseBody(j.request)[:6])
		reset(j.connection.conn)
		return
	}
	text = http1.AppendBody(text, []byte(ResponseBody(j.request)))
	_, _ = j.connection.conn.Write(text)
	if n.random.Float64() < n.conditions.DuplicateShare {
		time.AfterFunc(time.Duration(n.random.Int63n(int64(maxDuplicateDelay))), func() { _, _ = j.connection.conn.Write(text) })
	}
	if n.conditions.CloseIdle {
		_ = j.connection.conn.Close()
	}
}
