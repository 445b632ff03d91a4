package main

import (
	"fmt"
	"syscall"
	"time"
)

// Case shutdown: a client sends many commands at once, half a second before the planned restart of its host.
const (
	shutdownCommands = 400
	shutdownWork     = time.Second // that a brick takes for a ledger-export; its service target is 2.5 s
	shutdownBefore   = 500 * time.Millisecond
	ledgerTimeout    = 7500 * time.Millisecond
	killAfter        = 3700 * time.Millisecond // SIGKILL comes no earlier after SIGTERM
)

func shutdown(s *scene) (breaches []string, err error) {
	h, err := s.startPlatform(4, shutdownWork, limits{Cores: 1, MemoryMB: 64, Sockets: 256})
	if err != nil {
		return nil, err
	}
	c, err := dialHost(h.listen)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.conn.Close() }()
	var all []byte
	for i := range shutdownCommands {
		all = append(all, command("ledger-export", shutdownID(i), i%4, ledgerTimeout, nil)...)
	}
	if _, err := c.conn.Write(all); err != nil {
		return nil, fmt.Errorf("send the commands: %w", err)
	}
	s.record.line("the client has sent %d commands, %d bytes, on one connection", shutdownCommands, len(all))
	go func() { <-h.ended; s.record.line("the gateway has ended") }()
	if s.trouble {
		time.AfterFunc(shutdownBefore, func() {
			s.record.line("SIGTERM")
			h.signal(syscall.SIGTERM)
			time.Sleep(killAfter)
			s.record.line("SIGKILL")
			h.signal(syscall.SIGKILL)
		})
	}
	answered := 0
	for ; answered < shutdownCommands; answered++ {
		status, body, err := c.answer(ledgerTimeout + time.Second)
		if err != nil {
			s.record.line("the client waits for the answer to %s: %v", shutdownID(answered), err)
			break
		}
		s.record.line("answer to %s: %d %q", shutdownID(answered), status, body)
	}
	if lost := shutdownCommands - answered; lost > 0 {
		breaches = append(breaches, fmt.Sprintf("%d of %d commands that the gateway had taken before SIGTERM got no answer", lost, shutdownCommands))
	}
	return breaches, nil
}

func shutdownID(i int) string { return fmt.Sprintf("%016x", 0xb000+i) }
