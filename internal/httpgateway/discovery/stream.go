package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/config"
)

const (
	connectTimeout = 2 * time.Second // for the dial, and for writing the request
	maxListBytes   = 4 << 20         // maximum size of a list in bytes
	maxReadBytes   = 16 << 10        // maximum size of a read in bytes
)

// stream is one connection to the agent. One goroutine, which Watch.Run joins, reads it and sends what it receives to Run as
// events.
type stream struct {
	address string
	cancel  context.CancelFunc
}

// eventKind is the kind of an event on a stream.
type eventKind int

const (
	dataReceived eventKind = iota // part of a list; shows only that the agent is alive
	keepAlive                     // an empty line between lists; confirms the last list
	listReceived
	streamEnded
)

type event struct {
	stream *stream
	kind   eventKind
	list   config.List // set for listReceived
	err    error       // set for streamEnded
}

// send sends an event to Run; it returns false if ctx has ended.
func send(ctx context.Context, events chan<- event, e event) bool {
	select {
	case events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// read requests the changes after a revision and sends what it receives as events, until the connection or ctx ends.
func (s *stream) read(ctx context.Context, revision int64, events chan<- event) error {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	defer context.AfterFunc(ctx, func() { _ = nc.Close() })() // interrupts a read
	body, err := s.request(nc, revision)
	if err != nil {
		return err
	}
	bounded := &boundedReader{Reader: body, onRead: func(kind eventKind) bool {
		return send(ctx, events, event{stream: s, kind: kind})
	}}
	return s.readLists(ctx, bounded, events)
}

// request requests the changes after a revision from the agent. It returns the body of the response, which has no end.
func (s *stream) request(nc net.Conn, revision int64) (io.Reader, error) {
	_ = nc.SetWriteDeadline(time.Now().Add(connectTimeout)) // an error is ignored: the write then fails
	if _, err := fmt.Fprintf(nc, "GET /api/targets?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", revision, s.address); err != nil {
		return nil, err
	}
	reader := http1.NewReader(nc)
	head, err := reader.Response()
	if err != nil {
		return nil, err
	}
	if head.Status != 200 {
		return nil, fmt.Errorf("status %d", head.Status)
	}
	return reader.Stream(head, maxReadBytes)
}

// readLists sends an event for each list. A list may span several lines, some of them empty. An incomplete list at the end of
// the stream is dropped.
func (s *stream) readLists(ctx context.Context, body *boundedReader, events chan<- event) error {
	decoder := json.NewDecoder(body)
	var parser fastjson.Parser
	for {
		body.remaining = maxListBytes
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return err
		}
		list, err := config.ParseList(&parser, value)
		if err != nil {
			return fmt.Errorf("endpoint list: %w", err)
		}
		if !send(ctx, events, event{stream: s, kind: listReceived, list: list}) {
			return ctx.Err()
		}
	}
}

// boundedReader limits the size of a list and reports each read.
type boundedReader struct {
	io.Reader
	remaining int // number of bytes that the current list may still have
	onRead    func(kind eventKind) bool
}

// Read reads and calls onRead: with keepAlive for blank bytes between two lists, else with dataReceived.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("endpoint list larger than %d bytes", maxListBytes)
	}
	n, err := b.Reader.Read(p)
	kind := dataReceived
	if b.remaining == maxListBytes && len(bytes.TrimSpace(p[:n])) == 0 {
		kind = keepAlive
	}
	if b.remaining -= n; n > 0 && !b.onRead(kind) {
		return 0, context.Canceled
	}
	return n, err
}
