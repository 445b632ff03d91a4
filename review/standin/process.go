package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// process is a program of the project that the case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
	err  error         // how it ended; set before done is closed
}

// startProcess starts a command line from the repository's root by /bin/sh -c, as the platform does. The log goes to a file of the
// run's folder.
func (e *environment) startProcess(name, command string, variables ...string) (*process, error) {
	log, err := os.Create(filepath.Join(e.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = e.root, log, log
	cmd.Env = append(os.Environ(), variables...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	if err := e.notePID(cmd.Process.Pid); err != nil {
		_ = cmd.Process.Kill()
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	e.record.add(name, "started by: %s", command)
	return p, nil
}

// notePID adds a process to the file by which run.sh ends what is left of an interrupted run.
func (e *environment) notePID(pid int) error {
	file, err := os.OpenFile(filepath.Join(e.folder, "pids"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(file, pid)
	return errors.Join(err, file.Close())
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only if it has ended
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// awaitListening waits until something accepts connections at an address.
func awaitListening(address string, atMost time.Duration) error {
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if nc, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			return nc.Close()
		}
	}
	return fmt.Errorf("nothing listens at %s after %v", address, atMost)
}
