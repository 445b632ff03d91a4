package hostile

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"
)

const (
	bodyLength    = 64 << 10 // length of a large write in bytes
	missingBytes  = 1 << 10  // bytes of a stopped write that never come
	pieceLength   = 1 << 10  // bytes that a slow writer sends at a time
	pieceInterval = 60 * time.Millisecond
	fieldBytes    = 15 << 10 // bytes of very short fields, below the limit of a head
	pipelineDepth = 400      // requests that a client sends at once
	floodBatch    = 32       // requests that a flooding client sends before it reads what has come
)

// longFields returns 12 KB of fields of ordinary length.
func longFields() string {
	var fields strings.Builder
	for i := range 40 {
		fmt.Fprintf(&fields, "X-Note-%d: %s\r\n", i, strings.Repeat("n", 288))
	}
	return fields.String()
}

// shortFields returns fieldBytes of fields that have different names and no value.
func shortFields() string {
	var fields strings.Builder
	for i := 0; fields.Len() < fieldBytes; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// stopInWrite stops a large write shortly before its end, with a long head.
func stopInWrite(c *client) {
	connectedAt := time.Now()
	c.write(c.target.WriteHead(bodyLength, longFields()) + strings.Repeat("b", bodyLength-missingBytes))
	c.awaitOwed(connectedAt)
}

// writeSlowly sends a large write in small pieces, so slowly that it doesn't end in time.
func writeSlowly(c *client) {
	connectedAt := time.Now()
	_ = c.nc.SetWriteDeadline(connectedAt.Add(patience + patienceSlack))
	rest := c.target.WriteHead(bodyLength, longFields()) + strings.Repeat("s", bodyLength)
	first := len(rest) / 2
	for n := first; len(rest) > pieceLength && c.ctx.Err() == nil; n = pieceLength {
		if !c.write(rest[:n]) || c.ended() {
			break
		}
		rest = rest[n:]
		c.pause(pieceInterval)
	}
	c.awaitOwed(connectedAt)
}

// stopInFields sends very many short fields and stops before the head's end.
func stopInFields(c *client) {
	connectedAt := time.Now()
	c.write(strings.TrimSuffix(c.target.WriteHead(1, shortFields()), "\r\n"))
	c.awaitOwed(connectedAt)
}

// sendManyFields sends a whole head of very many short fields.
func sendManyFields(c *client) {
	connectedAt := time.Now()
	c.write(c.target.WriteHead(1, shortFields()) + "x")
	c.awaitOwed(connectedAt)
}

// pipelineReads sends many valid requests at once and reads all answers.
func pipelineReads(c *client) {
	var requests strings.Builder
	for range pipelineDepth {
		requests.WriteString(c.target.Read(c.number))
	}
	_ = c.nc.SetDeadline(time.Now().Add(10 * time.Second))
	if c.write(requests.String()) {
		c.stats.Requests.Add(pipelineDepth)
	}
	_, _ = io.Copy(io.Discard, c.nc)
}

// readNothing sends valid requests again and again and reads no answer.
func readNothing(c *client) {
	_ = c.nc.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for c.awaitTurn() && c.write(c.target.Read(c.number)) {
		c.stats.Requests.Add(1)
	}
	c.pause(reconnectDelay)
}

// floodReady asks for the readiness and the counters on one connection, at full speed.
func floodReady(c *client) {
	c.flood(func() string {
		return "GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\nGET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	})
}

// floodNewVolumes sends valid reads on one connection at full speed, each for a volume that nobody named before.
func floodNewVolumes(c *client) {
	c.flood(func() string { return c.target.Read(1<<20 + int(c.stats.Requests.Load())) })
}

// flood sends requests at full speed and reads whatever is answered.
func (c *client) flood(next func() string) {
	answersEnded := make(chan struct{})
	go func() {
		defer close(answersEnded)
		_, _ = io.Copy(io.Discard, c.nc)
	}()
	defer func() { <-answersEnded }()
	defer func() { _ = c.nc.Close() }()
	for c.awaitTurn() {
		var batch strings.Builder
		for range floodBatch {
			batch.WriteString(next())
			c.stats.Requests.Add(1)
		}
		if !c.write(batch.String()) {
			return
		}
	}
}

// sendUnsound sends a request that is refused at its head and comes again at once.
func sendUnsound(c *client) {
	connectedAt := time.Now()
	unsound := []string{
		strings.Replace(c.target.Read(0), "GET", "PUT", 1),
		strings.Replace(c.target.Read(0), " HTTP/1.1", " HTTP/9.9", 1),
		"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n",
		strings.Repeat("x", 100) + "\r\n\r\n",
	}
	c.write(unsound[c.rng.Intn(len(unsound))])
	c.stats.Requests.Add(1)
	c.awaitOwed(connectedAt)
}

// write sends text and reports whether that succeeded.
func (c *client) write(text string) bool {
	_, err := io.WriteString(c.nc, text)
	return err == nil
}

// ended reports whether the gateway has answered or ended the connection.
func (c *client) ended() bool {
	_ = c.nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	var answer [512]byte
	n, err := c.nc.Read(answer[:])
	return n > 0 || !errors.Is(err, os.ErrDeadlineExceeded)
}

// awaitOwed waits until the gateway ends the connection, and counts the connection if neither an answer nor the end came in
// time.
func (c *client) awaitOwed(connectedAt time.Time) {
	owedBy := connectedAt.Add(patience + patienceSlack)
	_ = c.nc.SetReadDeadline(owedBy)
	var answer [512]byte
	n, err := c.nc.Read(answer[:])
	var failure net.Error
	if n == 0 && errors.As(err, &failure) && failure.Timeout() && c.ctx.Err() == nil {
		c.stats.Unanswered.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, c.nc) // ends with the connection or at owedBy
}
