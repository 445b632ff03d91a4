package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is one process of the gateway.
type host struct {
	listen  string
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// hosts are the processes that were started.
var (
	hostsMu sync.Mutex
	hosts   []*host
)

// stopHosts ends all processes that were started and waits for their end.
func stopHosts() {
	hostsMu.Lock()
	defer hostsMu.Unlock()
	for _, h := range hosts {
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
	hosts = nil
}

// start starts a process from the repository's root, with its log in the scene's folder, and waits until ready reports true.
func (s *scene) start(listen string, ready func() bool, environment []string, name string, arguments ...string) (*host, error) {
	log, err := os.Create(filepath.Join(s.folder, "host.log"))
	if err != nil {
		return nil, err
	}
	h := &host{listen: listen, command: exec.Command(name, arguments...), ended: make(chan struct{})}
	h.command.Dir, h.command.Stdout, h.command.Stderr = s.root, log, log
	h.command.Env = append(os.Environ(), environment...)
	if err := h.command.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	hostsMu.Lock()
	hosts = append(hosts, h)
	hostsMu.Unlock()
	go func() {
		_ = h.command.Wait()
		_ = log.Close()
		close(h.ended)
	}()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-h.ended:
			return nil, errors.New("the gateway ended at its start")
		default:
		}
		if ready() {
			s.record.line("the gateway is ready at %s", listen)
			return h, nil
		}
	}
	return nil, fmt.Errorf("the gateway at %s is not ready within 30 s", listen)
}

func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
