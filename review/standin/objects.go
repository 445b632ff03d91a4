package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["acl"] = playACL }

// objectCount is the number of objects that the case stores.
const objectCount = 20

// shelf is what the bricks of the case hold, by the names of extents.
type shelf struct {
	mu   sync.Mutex
	held map[string][]byte
}

func (s *shelf) put(name string, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[name] = content
}

func (s *shelf) get(name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[name]
}

// playACL: a client stores objects, then asks for their access control lists to be set, which this API does not have. Each object that
// was answered 200 must be there, whole.
func playACL(e *environment) (int, error) {
	stored := &shelf{held: map[string][]byte{}}
	bricks := ""
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return cannot, err
		}
		defer func() { _ = listener.Close() }()
		name := fmt.Sprintf("brick-%d", i)
		bricks += brickLine(name, listener, i)
		go serveShelf(listener, name, stored)
	}
	endpoint, gateway, err := e.startObjects(bricks)
	if err != nil {
		return cannot, err
	}
	defer gateway.kill()
	contents := map[string][]byte{}
	rng := rand.New(rand.NewSource(40))
	for i := range objectCount {
		name, content := fmt.Sprintf("plans/%d.pdf", i), make([]byte, 1000+rng.Intn(600<<10))
		_, _ = rng.Read(content) // never fails
		status, _, err := e.call(http.MethodPut, endpoint+name, content, nil)
		if err != nil || status != http.StatusOK {
			return cannot, fmt.Errorf("PUT %s: %d, %w", name, status, err)
		}
		contents[name] = content
	}
	if e.trouble {
		for name := range contents {
			if _, _, err := e.call(http.MethodPut, endpoint+name+"?acl", nil, http.Header{"X-Amz-Acl": {"private"}}); err != nil {
				return cannot, err
			}
		}
	}
	return e.judgeObjects(endpoint, contents)
}

// judgeObjects reads all objects back.
func (e *environment) judgeObjects(endpoint string, contents map[string][]byte) (int, error) {
	lost := 0
	for name, want := range contents {
		status, got, err := e.call(http.MethodGet, endpoint+name, nil, nil)
		switch {
		case err != nil:
			return cannot, err
		case status >= http.StatusInternalServerError:
			return cannot, fmt.Errorf("GET %s: %d", name, status)
		case status != http.StatusOK || !bytes.Equal(got, want):
			lost++
			e.record.add("client", "%s: %d bytes were stored and answered 200; read back: %d, %d bytes", name, len(want), status, len(got))
		}
	}
	e.record.add("case", "%d objects stored, %d of them lost", len(contents), lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// call sends a request to the object API and records it.
func (e *environment) call(method, url string, body []byte, header http.Header) (status int, content []byte, err error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if header != nil {
		request.Header = header
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // was only read
	content, err = io.ReadAll(response.Body)
	e.record.add("client", "%s %s, %d bytes: answered %d, %d bytes", method, request.URL.RequestURI(), len(body), response.StatusCode, len(content))
	return response.StatusCode, content, err
}

// startObjects starts a gateway with the object API and returns the URL of the volume.
func (e *environment) startObjects(bricks string) (endpoint string, gateway *process, err error) {
	clients, err := freeAddress()
	if err != nil {
		return "", nil, err
	}
	objects, err := freeAddress()
	if err != nil {
		return "", nil, err
	}
	settings := fmt.Sprintf(`name: "host-0"
listen: %q
hosts: 1
%sfleet { cancel: true max_dispatches: 4 resolution: "2ms" answer_slack: "8ms" drain_grace: "250ms" usual_units: 2 most_units: 8 max_pause: "1s" }
queue_type { name: "get" service_target: "500ms" command_timeout: "3s" importance: 2 late_share: 0.15 }
queue_type { name: "put" service_target: "600ms" command_timeout: "3s" importance: 3 late_share: 0.1 semantics: TAGGED group: ALL tag_window: "5s" writes: true }
plan { name: "standard" nominal: 50 weight: 1 importance: 1 }
volume { name: "yard" plan: "standard" hosts: 1 }
objects { listen: %q index: %q read_type: "get" write_type: "put" }
`, clients, bricks, objects, filepath.Join(e.folder, "objects.db"))
	gateway, err = e.startLineGateway("host-0", settings, clients)
	if err != nil {
		return "", nil, err
	}
	if err := awaitListening(objects, 5*time.Second); err != nil {
		gateway.kill()
		return "", nil, err
	}
	time.Sleep(time.Second) // until the gateway knows its bricks: it looks once a second
	return "http://" + objects + "/yard/", gateway, nil
}

// startLineGateway starts a gateway over the line protocol and waits until it listens.
func (e *environment) startLineGateway(name, settings, address string) (*process, error) {
	file := filepath.Join(e.folder, name+".txtpb")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	gateway, err := e.startProcess(name, "exec bin/weirhaven-gateway --config '"+file+"'")
	if err != nil {
		return nil, err
	}
	if err := awaitListening(address, 5*time.Second); err != nil {
		gateway.kill()
		return nil, err
	}
	return gateway, nil
}

// serveShelf serves a brick that keeps what is written and answers at once.
func serveShelf(listener net.Listener, name string, stored *shelf) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = nc.Close() }()
			in := bufio.NewReader(nc)
			if _, err := nc.Write(greeting("brick", name)); err != nil {
				return
			}
			for {
				m, err := readLine(in)
				if err != nil {
					return
				}
				if m.verb != "RUN" {
					continue
				}
				var content []byte
				if m.fields.Get("Queue-Type") == "put" {
					stored.put(m.fields.Get("Object"), m.body)
				} else {
					content = stored.get(m.fields.Get("Object"))
				}
				if _, err := nc.Write(formatLine(fmt.Sprintf("DONE %d", m.id), content)); err != nil {
					return
				}
			}
		}()
	}
}
