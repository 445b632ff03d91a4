package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Case memory: clients stop in the middle of a write and stay, on some hundred connections.
const (
	memoryLimit   = 40 // MB
	memorySockets = 1024
	memoryUsual   = 20  // usual clients, about 200 commands a second in all
	memoryBad     = 520 // bad clients
	memoryBody    = 64 << 10
	memoryFields  = 40      // fields of 300 bytes in the head of a bad client's write
	memoryMissing = 1 << 10 // bytes of a bad client's write that never come
	memoryLength  = 15 * time.Second
	memoryInARow  = 5 // samples over the limit that make a breach
)

func memory(s *scene) (breaches []string, err error) {
	h, err := s.startPlatform(8, 20*time.Millisecond, limits{Cores: 1, MemoryMB: memoryLimit, Sockets: memorySockets})
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(memoryLength)
	var clients sync.WaitGroup
	defer clients.Wait()
	for c := range memoryUsual {
		clients.Go(func() { s.usualClient(h, c, end) })
	}
	if s.trouble {
		for c := range memoryBad {
			clients.Go(func() { badClient(h, c, end) })
		}
		s.record.line("%d clients begin writes of %d bytes and stop %d bytes before the end", memoryBad, memoryBody, memoryMissing)
	}
	inARow := 0
	for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		private, resident, err := memoryOf(h.command.Process.Pid)
		if err != nil {
			return nil, err
		}
		s.record.line("memory of the gateway: %d KiB of its own, %d KiB with the program file; the limit is %d KiB", private, resident, memoryLimit<<10)
		if inARow++; private <= memoryLimit<<10 {
			inARow = 0
		}
		if inARow == memoryInARow && len(breaches) == 0 {
			breaches = append(breaches, fmt.Sprintf("the gateway holds %d KiB, of them %d without its program file; it is killed over %d KiB", resident, private, memoryLimit<<10))
		}
	}
	return breaches, nil
}

// usualClient writes 4 KiB ten times a second and reads the answers.
func (s *scene) usualClient(h *host, number int, end time.Time) {
	body := bytes.Repeat([]byte("u"), 4<<10)
	var c *httpClient
	for n := 0; time.Now().Before(end); n++ {
		if c == nil {
			var err error
			if c, err = dialHost(h.listen); err != nil {
				s.record.line("client %d can't connect: %v", number, err)
				return
			}
		}
		id := fmt.Sprintf("%08x%08x", number, n)
		_, _ = c.conn.Write(command("order-update", id, n%8, orderTimeout, body)) // an error shows in the answer
		if status, _, err := c.answer(orderTimeout + time.Second); err != nil {
			s.record.line("client %d, %s: %v", number, id, err)
			_ = c.conn.Close()
			c = nil
		} else {
			s.record.line("client %d, %s: %d", number, id, status)
		}
		time.Sleep(80 * time.Millisecond)
	}
	if c != nil {
		_ = c.conn.Close()
	}
}

// badClient begins a write, stops before its end and waits for its error or the end of the connection, again and again.
func badClient(h *host, number int, end time.Time) {
	body := bytes.Repeat([]byte("b"), memoryBody)
	fields := longHead()
	for n := 0; time.Now().Before(end); n++ {
		conn, err := net.Dial("tcp", h.listen)
		if err == nil {
			write := command("order-update", fmt.Sprintf("bad%05x%08x", number, n), 0, orderTimeout, body)
			write = bytes.Replace(write, []byte("\r\n\r\n"), fields, 1)
			_ = conn.SetDeadline(time.Now().Add(4 * time.Second)) // errors below end the connection, as wanted
			_, _ = conn.Write(write[:len(write)-memoryMissing])
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
		time.Sleep(time.Second)
	}
}

// memoryOf returns a process's private memory and its resident memory in KiB. The first leaves out pages of files.
func memoryOf(pid int) (private, resident int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			continue
		}
		n, err := strconv.Atoi(fields[1])
		switch {
		case err != nil:
		case fields[0] == "RssAnon:", fields[0] == "RssShmem:":
			private += n
		case fields[0] == "VmRSS:":
			resident = n
		}
	}
	return private, resident, nil
}

// longHead returns the fields that a bad client adds to its head, and the head's end.
func longHead() []byte {
	var fields bytes.Buffer
	for i := range memoryFields {
		fmt.Fprintf(&fields, "\r\nX-Note-%d: %s", i, strings.Repeat("n", 288))
	}
	fmt.Fprint(&fields, "\r\n\r\n")
	return fields.Bytes()
}
