package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"
)

// Case pipeline: a client sends several writes at once on one connection.
const (
	pipelineCommands = 12
	pipelineBody     = 48 << 10 // bytes; the platform's limit is 64 KiB
	pipelineWork     = 40 * time.Millisecond
	orderTimeout     = 3 * time.Second
)

func pipeline(s *scene) (breaches []string, err error) {
	h, err := s.startPlatform(4, pipelineWork, limits{Cores: 1, MemoryMB: 64, Sockets: 256})
	if err != nil {
		return nil, err
	}
	c, err := dialHost(h.listen)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.conn.Close() }()
	body := bytes.Repeat([]byte("drawing "), pipelineBody/8)
	atOnce := 1
	if s.trouble {
		atOnce = pipelineCommands
	}
	sent, answered := 0, 0
	for answered < pipelineCommands {
		for ; sent < pipelineCommands && sent-answered < atOnce; sent++ {
			_ = c.conn.SetWriteDeadline(time.Now().Add(orderTimeout)) // a broken connection fails the write
			if _, err := c.conn.Write(command("order-update", pipelineID(sent), sent%4, orderTimeout, body)); err != nil {
				return nil, fmt.Errorf("send %s: %w", pipelineID(sent), err)
			}
			s.record.line("the client has sent %s", pipelineID(sent))
		}
		status, text, err := c.answer(orderTimeout + time.Second)
		if err != nil {
			s.record.line("the client waits for the answer to %s: %v", pipelineID(answered), err)
			if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
				return nil, fmt.Errorf("not an orderly end, so the host may not have read the commands: %w", err)
			}
			break
		}
		s.record.line("answer to %s: %d %q", pipelineID(answered), status, text)
		answered++
	}
	if answered < sent {
		breaches = append(breaches, fmt.Sprintf("the gateway ended the connection in good order: %d of %d commands got no answer", sent-answered, sent))
	}
	return breaches, nil
}

func pipelineID(i int) string { return fmt.Sprintf("%016x", 0xa000+i) }
