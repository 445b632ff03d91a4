package gateway

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"weirhaven/internal/capture"
	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// openCapture sets up the capture of requests, if the settings name a folder. If the folder can't be written, the gateway serves
// without a capture.
func (g *Gateway) openCapture(core *engine.Core) error {
	conf := g.conf.Capture
	if conf == nil {
		return nil
	}
	key, err := capture.ReadKey(conf.Key)
	if err != nil {
		return fmt.Errorf("setting capture.key: %w", err)
	}
	head := &pb.CaptureHead{Host: g.conf.Name, Ordinal: g.conf.Ordinal, Zone: g.conf.Zone, Life: time.Now().UnixNano(), Hosts: g.conf.Hosts,
		Fleet: g.conf.Fleet, QueueType: g.conf.QueueType, Plan: g.conf.Plan}
	writer, err := capture.Open(capture.Config{Folder: conf.Folder, MaxBytes: int64(conf.MostBytes), QueueSize: int(conf.Queue), Key: key,
		Log: g.log, Head: head})
	if err != nil {
		g.log.Warn("capture unavailable; serving without it", "err", err)
		return nil
	}
	g.capture = writer
	core.Observe(writer)
	if conf.On {
		writer.Start()
	}
	return nil
}

// controlCapture executes an operator's capture command and returns the capture's status. The texts are part of the protocol.
func (g *Gateway) controlCapture(action string) (status string, err error) {
	if g.capture == nil {
		return "", errors.New("this host has no capture: setting capture names no folder, or it can't be written")
	}
	switch action {
	case "start":
		g.capture.Start()
	case "stop":
		g.capture.Stop()
	case "", "info":
	default:
		return "", fmt.Errorf("action %q; allowed: start, stop, info", action)
	}
	return captureStatus(g.capture.State()), nil
}

func captureStatus(s capture.State) string {
	on := "off"
	if s.Enabled {
		on = "on since " + time.Unix(0, int64(s.Since)).UTC().Format(time.RFC3339)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "capture %s\nfolder %s\nsegments %d, %d bytes of at most %d\nlines written %d, lost %d\n", on, s.Folder, s.Segments,
		s.Bytes, s.MaxBytes, s.Written, s.Lost)
	if s.LastError != "" {
		fmt.Fprintf(&text, "last error: %s\n", s.LastError)
	}
	return text.String()
}
