package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// lineMessage is a message of the line protocol (docs/protocol.md).
type lineMessage struct {
	verb   string
	id     uint64
	fields textproto.MIMEHeader
	body   []byte
}

// readLine reads a message.
func readLine(in *bufio.Reader) (*lineMessage, error) {
	text := textproto.NewReader(in)
	start, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	verb, number, _ := strings.Cut(start, " ")
	m := &lineMessage{verb: verb}
	m.id, _ = strconv.ParseUint(number, 10, 64) // 0: none
	if m.fields, err = text.ReadMIMEHeader(); err != nil {
		return nil, err
	}
	length, _ := strconv.Atoi(m.fields.Get("Length")) // 0: none
	m.body = make([]byte, length)
	_, err = io.ReadFull(in, m.body)
	return m, err
}

// formatLine returns a message; fields are complete lines without their ends.
func formatLine(start string, body []byte, fields ...string) []byte {
	text := start + "\r\n"
	for _, field := range fields {
		text += field + "\r\n"
	}
	if len(body) > 0 {
		text += fmt.Sprintf("Length: %d\r\n", len(body))
	}
	return append([]byte(text+"\r\n"), body...)
}

// greeting returns a HELLO.
func greeting(role, name string) []byte {
	return formatLine("HELLO", nil, "Version: weirhaven/1", "Role: "+role, "Name: "+name)
}

// brickLine returns the line of the gateway's settings that names an endpoint.
func brickLine(name string, listener net.Listener, cell int) string {
	return fmt.Sprintf("brick { name: %q address: %q zone: \"hafnarfjordur\" cell: %d }\n", name, listener.Addr(), cell)
}

// dialLine opens a client's connection to a gateway and exchanges greetings.
func dialLine(address, name string) (net.Conn, *bufio.Reader, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, nil, err
	}
	in := bufio.NewReader(nc)
	if _, err := nc.Write(greeting("client", name)); err != nil {
		return nil, nil, err
	}
	_, err = readLine(in)
	return nc, in, err
}
