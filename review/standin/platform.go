package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// member is an endpoint's entry in the list of discovery (PROTOCOL.md, "Discovery").
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// memberList is a list as discovery writes it.
type memberList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// serveAgent serves the agent of one host: a watch gets the whole list, then an empty line every 2 s.
func serveAgent(listener net.Listener, list memberList) {
	text, _ := json.Marshal(list) // of plain fields: never fails
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = nc.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
				return
			}
			_, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
			for line := string(text) + "\n"; err == nil; line = "\n" {
				_, err = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(line), line)
				time.Sleep(2 * time.Second)
			}
		}()
	}
}

// host is a gateway process of the platform, with its agent.
type host struct {
	*process
	name, address string
	agent         net.Listener
}

// startHost starts a gateway by the line `run` of the deploy file.
func (e *environment) startHost(number int, settings map[string]any, list memberList) (*host, error) {
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go serveAgent(agent, list)
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprintf("n%d", number), address: address, agent: agent}
	settings["ordinal"] = number
	text, err := json.Marshal(map[string]any{"name": h.name, "listen": address, "discovery": agent.Addr().String(),
		"seed": fmt.Sprintf("%016x", 0x1f30d27a5be964+number), "limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512},
		"known": list, "settings": settings})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(e.folder, h.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	h.process, err = e.startProcess(h.name, "exec bin/weirhaven-gateway platform", "EDGE_CONFIG="+file, "EDGE_NAME="+h.name,
		"EDGE_LISTEN="+address, "EDGE_DISCOVERY="+agent.Addr().String())
	if err != nil {
		return nil, err
	}
	return h, h.awaitReady()
}

// awaitReady waits until the gateway answers its readiness probe with 200.
func (h *host) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !h.ended(); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + h.address + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // the status alone counts
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 10 s", h.name)
}

// stop ends the gateway and its agent.
func (h *host) stop() {
	h.kill()
	_ = h.agent.Close() // nothing reads it any more
}
