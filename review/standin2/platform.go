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

// member is an entry of discovery's list.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// list is discovery's list.
type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// agent is the discovery agent on the host's machine. It answers a watch with the whole list, then with an empty line every 2 s.
type agent struct{ whole list }

// ServeHTTP implements http.Handler.
func (a *agent) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	line, err := json.Marshal(a.whole)
	if err != nil {
		http.Error(response, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = response.Write(append(line, '\n')) // a watch that has ended is noticed by Flush
	if request.URL.Query().Get("watch") == "" {
		return
	}
	control := http.NewResponseController(response)
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for control.Flush() == nil {
		select {
		case <-tick.C:
			_, _ = response.Write([]byte("\n"))
		case <-request.Context().Done():
			return
		}
	}
}

func startAgent(members []member) (address string, a *agent, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	a = &agent{list{Revision: 1, Complete: true, Members: members}}
	server := &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // until the program ends
	return listener.Addr().String(), a, nil
}

// startBrick starts a brick that takes work for each request, one at a time on each connection, and answers it with its id.
func (s *scene) startBrick(cell int, work time.Duration) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, request.Body)
			if err != nil {
				return
			}
			id := request.Header.Get("X-Txn")
			s.record.line("brick %d runs %s %s, %d bytes", cell, request.Method, id, n)
			time.Sleep(work)
			body := "answer to " + id
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return
			}
		}
	}
	go acceptAll(listener, serve)
	return listener.Addr().String(), nil
}

// acceptAll serves each connection in a goroutine, until the program ends.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// limits are the platform's limits for a host.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Classes of the settings: names, times and shares as the brief of reykjavik-main has them.
const classes = `[
 {"name":"part-lookup","aim_us":500000,"give_up_us":3000000,"group":"all","late_value":0.15,"semantics":"repeatable","streaming":false,"window_us":5000000,"worth":2},
 {"name":"order-update","aim_us":600000,"give_up_us":3000000,"group":"all","late_value":0.1,"semantics":"repeatable","streaming":false,"window_us":5000000,"worth":3},
 {"name":"ledger-export","aim_us":2500000,"give_up_us":7500000,"group":"all","late_value":0.3,"semantics":"repeatable","streaming":false,"window_us":5000000,"worth":1}]`

const settings = `{"balancers":1,"ordinal":0,"zone":"a","discovery":"push","resolution_us":2000,"client_habits":{"marks_retry":true},"classes":` + classes + `,
 "contract":{"answer_slack_us":8000,"ask_within_us":10000000,"cold_from":0.17,"cold_us":17000000,"drain_grace_us":250000,"fall_multiple":2,"overload_for_us":3000000},
 "family_info":{"changes_data":[false,true,false],"cold_units":40,"tells_elsewhere":true,"units_top":8,"usual_units":1.5},
 "limits":{"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"max_attempts":4,"max_retry_after_us":2000000,"retry_after":true,"second_copies":false},
 "plans":[{"name":"standard","cap_depth":0,"cap_slack":0,"guaranteed":20,"never_over":0,"nominal":20,"parts":2,"worth_factor":1.2}]}`

// startPlatform starts bricks, one a cell, the agent and a gateway by the deploy file's line run.
func (s *scene) startPlatform(bricks int, work time.Duration, l limits) (*host, error) {
	members := []member{}
	for cell := range bricks {
		address, err := s.startBrick(cell, work)
		if err != nil {
			return nil, err
		}
		members = append(members, member{ID: fmt.Sprintf("s-%d", cell), HostPort: address, Locality: "a", Flavor: "m2", Cell: cell, Phase: "in_service", Size: 1})
	}
	discovery, a, err := startAgent(members)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "limits": l,
		"known": a.whole, "settings": json.RawMessage(settings)})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.folder, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	environment := []string{"EDGE_CONFIG=" + file, "EDGE_NAME=n0", "EDGE_LISTEN=" + listen, "EDGE_DISCOVERY=" + discovery}
	return s.start(listen, func() bool { return isReady(listen) }, environment, "/bin/sh", "-c", "exec bin/weirhaven-gateway platform")
}

func isReady(listen string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + listen + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// command returns a client's request in the platform's form; with a body it is a write.
func command(class, id string, cell int, remaining time.Duration, body []byte) []byte {
	method, length := "GET", ""
	if body != nil {
		method, length = "PUT", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	head := fmt.Sprintf("%s /%s/00000003b4d60021/%s HTTP/1.1\r\nHost: api.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\nTier: standard\r\nX-Remaining-Ms: %d\r\n%sIO-Info: units=1,shard=%d,hosts=1\r\n\r\n",
		method, class, id, id, class, remaining.Milliseconds(), length, cell)
	return append([]byte(head), body...)
}

// httpClient is a client's connection to a host of the platform.
type httpClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialHost(listen string) (*httpClient, error) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return nil, err
	}
	return &httpClient{conn, bufio.NewReader(conn)}, nil
}

// answer reads a whole answer.
func (c *httpClient) answer(wait time.Duration) (status int, body string, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait)) // a broken connection fails the read
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(text), err
}
