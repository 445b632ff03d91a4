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
	connectTimeout = 2 * time.Second // of the dial, and of the write of the request
	maxListBytes   = 4 << 20         // of one list
	maxReadBytes   = 16 << 10        // of one read
)

// stream is one connection to the agent. It is read by one goroutine, which Watch.Run joins; what it receives goes to Run as
// events.
type stream struct {
	address string
	cancel  context.CancelFunc
}

// eventKind is what a stream received.
type eventKind int

const (
	dataReceived eventKind = iota // a part of a list: a sign of life and no more
	keepAlive                     // an empty line between lists: the last list still holds
	listReceived
	streamEnded
)

type event struct {
	stream *stream
	kind   eventKind
	list   config.List // of listReceived
	err    error       // of streamEnded
}

// send hands an event to Run; false: ctx has ended.
func send(ctx context.Context, events chan<- event, e event) bool {
	select {
	case events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// read asks for what came after a revision and sends what it receives, until the connection or ctx ends.
func (s *stream) read(ctx context.Context, revision int64, events chan<- event) error {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	defer context.AfterFunc(ctx, func() { _ = nc.Close() })() // ends the reads
	body, err := s.request(nc, revision)
	if err != nil {
		return err
	}
	bounded := &boundedReader{Reader: body, onRead: func(kind eventKind) bool {
		return send(ctx, events, event{stream: s, kind: kind})
	}}
	return s.readLists(ctx, bounded, events)
}

// request asks the agent for the changes after a revision and returns the endless body of its response.
func (s *stream) request(nc net.Conn, revision int64) (io.Reader, error) {
	_ = nc.SetWriteDeadline(time.Now().Add(connectTimeout)) // a broken connection fails the write
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

// readLists sends one list after the other. A list may be spread over several lines, with empty ones in it; one that the end
// of the stream cut is dropped.
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

// boundedReader bounds what one list may hold, and reports each read as a sign of life.
type boundedReader struct {
	io.Reader
	remaining int // bytes of the list being read
	onRead    func(kind eventKind) bool
}

// Read reads and reports what it got, as keepAlive if it is blank and stands between two lists.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("a list of more than %d bytes", maxListBytes)
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
