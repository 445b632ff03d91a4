package gateway

import (
	"fmt"
	"strings"
	"time"

	"weirhaven/internal/capture"
	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// openCapture lets the loop tell what is over to a writer, if settings allow it.
func (e *Edge) openCapture(core *engine.Core) error {
	c := e.conf.Capture
	if c == nil {
		return nil
	}
	key, err := capture.ReadKey(c.Key)
	if err != nil {
		return fmt.Errorf("setting capture.key: %w", err)
	}
	e.taping, err = capture.Open(capture.Config{Folder: c.Folder, Most: int64(c.MostBytes), Queue: int(c.Queue), Key: key, Log: e.log,
		Head: &pb.CaptureHead{Host: e.conf.Name, Ordinal: e.conf.Ordinal, Zone: e.conf.Zone, Life: time.Now().UnixNano(), Hosts: e.conf.Hosts,
			Fleet: e.conf.Fleet, QueueType: e.conf.QueueType, Plan: e.conf.Plan}})
	if err != nil {
		e.log.Warn("the load can't be captured; serving without", "err", err)
		e.taping = nil
		return nil
	}
	core.Observe(e.taping)
	if c.On {
		e.taping.Start()
	}
	return nil
}

// tape is an operator's word on the capture.
func (e *Edge) tape(action string) (string, error) {
	w := e.taping
	if w == nil {
		return "", fmt.Errorf("this host has no capture: setting capture names no folder, or it can't be written")
	}
	switch action {
	case "start":
		w.Start()
	case "stop":
		w.Stop()
	case "", "info":
	default:
		return "", fmt.Errorf("action %q; allowed: start, stop, info", action)
	}
	s := w.State()
	var b strings.Builder
	on := "off"
	if s.On {
		on = "on since " + time.Unix(0, int64(s.Since)).UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(&b, "capture %s\nfolder %s\nsegments %d, %d bytes of at most %d\nlines written %d, lost %d\n", on, s.Folder, s.Segments, s.Bytes, s.Bound,
		s.Lines, s.Lost)
	if s.LastError != "" {
		fmt.Fprintf(&b, "last error: %s\n", s.LastError)
	}
	return b.String(), nil
}
