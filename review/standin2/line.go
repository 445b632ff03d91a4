package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// message is a message of the line protocol.
type message struct {
	verb   string
	id     uint64 // 0: none
	fields textproto.MIMEHeader
	body   []byte
}

func readMessage(r *bufio.Reader) (*message, error) {
	text := textproto.NewReader(r)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	m := &message{}
	verb, number, _ := strings.Cut(line, " ")
	m.verb = verb
	if number != "" {
		if m.id, err = strconv.ParseUint(number, 10, 64); err != nil {
			return nil, err
		}
	}
	if m.fields, err = text.ReadMIMEHeader(); err != nil {
		return nil, err
	}
	n := 0
	if length := m.fields.Get("Length"); length != "" {
		if n, err = strconv.Atoi(length); err != nil {
			return nil, err
		}
	}
	m.body = make([]byte, n)
	_, err = io.ReadFull(r, m.body)
	return m, err
}

// encode returns a message. Each field is a line "Name: value".
func encode(verb string, id uint64, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprint(&b, verb)
	if id != 0 {
		fmt.Fprintf(&b, " %d", id)
	}
	for _, f := range fields {
		fmt.Fprintf(&b, "\r\n%s", f)
	}
	fmt.Fprintf(&b, "\r\nLength: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func hello(role, name string) []byte {
	fields := []string{"Version: weirhaven/1", "Role: " + role, "Name: " + name}
	if role == "brick" {
		fields = append(fields, "Age: 3600000000") // up for an hour
	}
	return encode("HELLO", 0, nil, fields...)
}

// lineClient is a client's connection to a gateway over the line protocol.
type lineClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialEdge(address, name string) (*lineClient, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &lineClient{conn, bufio.NewReader(conn)}
	if _, err := conn.Write(hello("client", name)); err != nil {
		return nil, err
	}
	if m, err := readMessage(c.reader); err != nil || m.verb != "HELLO" {
		return nil, errors.Join(errors.New("no greeting from the gateway"), err)
	}
	return c, nil
}

// send sends a message. A broken connection shows when the next answer is read.
func (c *lineClient) send(m []byte) { _, _ = c.conn.Write(m) }

// startLineBrick starts a brick of the line protocol that calls serve for each RUN, one at a time on each connection.
func startLineBrick(name string, serve func(conn net.Conn, m *message)) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go acceptAll(listener, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		_, err := conn.Write(hello("brick", name))
		for err == nil {
			var m *message
			if m, err = readMessage(reader); err == nil && m.verb == "RUN" {
				serve(conn, m)
			}
		}
	})
	return listener.Addr().String(), nil
}

const edgeSettings = `name: "edge-a"
listen: %q
hosts: 1
fleet { max_dispatches: 4 resolution: "2ms" usual_units: 1.5 most_units: 8 cancel: true max_pause: "2s" }
queue_type { name: "part-lookup" service_target: "500ms" command_timeout: "3s" importance: 2 late_share: 0.15 }
queue_type { name: "order-update" service_target: "600ms" command_timeout: "3s" importance: 3 late_share: 0.1 writes: true }
queue_type { name: "ledger-export" service_target: "2500ms" command_timeout: "7500ms" importance: 1 late_share: 0.3 }
queue_type { name: "object-get" service_target: "500ms" command_timeout: "3s" importance: 2 late_share: 0.15 }
queue_type { name: "object-put" service_target: "600ms" command_timeout: "3s" importance: 3 late_share: 0.1 writes: true semantics: TAGGED group: CELL tag_window: "5s" }
queue_type { name: "ledger-stream" service_target: "2500ms" command_timeout: "7500ms" importance: 1 late_share: 0.3 streaming: true }
plan { name: "standard" nominal: 20 reservation: 20 weight: 2 }
volume { name: "yard-1" plan: "standard" hosts: 1 }
volume { name: "yard-2" plan: "standard" hosts: 1 }
volume { name: "yard-3" plan: "standard" hosts: 1 }
volume { name: "yard-4" plan: "standard" hosts: 1 }
volume { name: "yard-5" plan: "standard" hosts: 1 }
volume { name: "yard-6" plan: "standard" hosts: 1 }
volume { name: "yard-7" plan: "standard" hosts: 1 }
volume { name: "yard-8" plan: "standard" hosts: 1 }
log { level: "debug" }
`

// startEdge starts a gateway over the line protocol with these bricks, named brick-0, brick-1 and so on, one a cell. more are further
// settings.
func (s *scene) startEdge(bricks []string, more ...string) (*host, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(edgeSettings, listen)
	for i, address := range bricks {
		text += fmt.Sprintf("brick { name: \"brick-%d\" address: %q zone: \"hafnarfjordur\" cell: %d }\n", i, address, i)
	}
	text += strings.Join(more, "")
	file := filepath.Join(s.folder, "edge.txtpb")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	ready := func() bool {
		c, err := dialEdge(listen, "ready")
		if err != nil {
			return false
		}
		return c.conn.Close() == nil
	}
	return s.start(listen, ready, nil, "bin/weirhaven-gateway", "--config", file)
}

// run returns a client's command in the line protocol.
func run(id uint64, volume, queueType, object string, cell int, body []byte) []byte {
	return encode("RUN", id, body, "Volume: "+volume, "Queue-Type: "+queueType, "Object: "+object, fmt.Sprintf("Cell: %d", cell), "Units: 1")
}
