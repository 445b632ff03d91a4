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

// maxRequestBody is the longest body of a request that a brick takes over HTTP.
const maxRequestBody = 64 << 10

// serveHTTP reads requests of the platform's HTTP/1.1, one at a time; a closed connection cancels what it holds.
func (b *Brick) serveHTTP(c *conn) {
	defer func() { _ = c.nc.Close() }()
	unhook := context.AfterFunc(b.ctx, func() { reset(c.nc) })
	defer unhook()
	reader := http1.NewReader(c.nc)
	for id := uint64(1); ; id++ {
		j, err := b.readHTTP(c, reader, id)
		if err != nil {
			break
		}
		b.arrive(j)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range c.ids {
		b.cancel(c, id)
	}
	b.c.Record.See(&pb.Seen{What: pb.Seen_CUT, Brick: b.c.Name, Connection: c.no})
}

func (b *Brick) readHTTP(c *conn, reader *http1.Reader, id uint64) (*job, error) {
	if err := reader.Await(); err != nil {
		return nil, err
	}
	h, err := reader.Request()
	if err != nil {
		return nil, err
	}
	body, err := reader.Body(h, maxRequestBody)
	if err != nil {
		return nil, err
	}
	command, err := strconv.ParseUint(h.Get("X-Txn"), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("an id that no client sent: %w", err)
	}
	left, _ := http1.ParseDigits(h.Get("X-Remaining-Ms"))
	parts := strings.Split(h.Target, "/")
	if len(parts) != 4 {
		return nil, fmt.Errorf("target %q", h.Target)
	}
	return &job{conn: c, id: id, command: command, n: b.c.AttemptOf(command), volume: parts[2], queue: parts[1], object: parts[3],
		units: unitsOf(h.Get("Io-Info")), until: time.Now().Add(time.Duration(left) * time.Millisecond),
		told: time.Duration(left) * time.Millisecond, body: body}, nil
}

func unitsOf(info string) float64 {
	for _, part := range strings.Split(info, ",") {
		if text, ok := strings.CutPrefix(part, "units="); ok {
			if units, err := strconv.ParseFloat(text, 64); err == nil {
				return units
			}
		}
	}
	return 1
}

// AnswerTo is the body that a brick makes for a command, so that its client knows whose answer it got.
func AnswerTo(command uint64) string { return "answer to " + strconv.FormatUint(command, 10) }

// copyDelay is how late the second copy of an answer comes at most.
const copyDelay = 8 * time.Millisecond

// answerHTTP writes the outcome of an attempt. Under mu.
func (b *Brick) answerHTTP(j *job, verb string, other float64) {
	head := map[string]string{lineproto.VerbServed: "200 OK\r\n", lineproto.VerbRejected: "503 Busy\r\nX-Turned-Away: 1\r\n", lineproto.VerbFailed: "500 Failed\r\n"}[verb]
	text := []byte("HTTP/1.1 " + head)
	if other > 0 {
		text = http1.AppendField(text, "Other-Hosts", strconv.FormatFloat(other, 'g', -1, 64))
	}
	_ = j.conn.nc.SetWriteDeadline(time.Now().Add(time.Second))
	if verb == lineproto.VerbServed && b.rng.Float64() < b.cond.Endless {
		_, _ = io.WriteString(j.conn.nc, string(text)+"\r\n"+AnswerTo(j.command)[:6])
		reset(j.conn.nc)
		return
	}
	text = http1.AppendBody(text, []byte(AnswerTo(j.command)))
	_, _ = j.conn.nc.Write(text)
	if b.rng.Float64() < b.cond.Copies {
		time.AfterFunc(time.Duration(b.rng.Int63n(int64(copyDelay))), func() { _, _ = j.conn.nc.Write(text) })
	}
	if b.cond.CloseIdle {
		_ = j.conn.nc.Close()
	}
}
