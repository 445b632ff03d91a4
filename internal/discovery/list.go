package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/lineproto"
)

// LineError is the error for a malformed line of an endpoint list.
type LineError struct {
	Line int // line number, from 1
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("list line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// lineFields is the number of fields in a line of a list: name, address, zone, shard, state, started.
const lineFields = 6

// Parse parses a LIST message. Each line of its body consists of: name address zone shard state started. started is the start time
// in microseconds on the clock whose current time is in the field Clock; 0: unknown. A single malformed line makes Parse reject the
// whole list with a *LineError.
func Parse(m *lineproto.Message) (g endpointstate.Generation, complete bool, entries []engine.EndpointEntry, err error) {
	clock, clockErr := m.Int(lineproto.FieldClock, 0)
	number, numberErr := m.Int(lineproto.FieldNumber, 0)
	if err := errors.Join(clockErr, numberErr); err != nil {
		return g, false, nil, err
	}
	g = endpointstate.Generation{Epoch: m.Get(lineproto.FieldEpoch), Number: number}
	seen := map[string]bool{}
	scanner := bufio.NewScanner(bytes.NewReader(m.Body))
	for line := 1; scanner.Scan(); line++ {
		entry, err := parseEntry(scanner.Text(), clock)
		if err == nil && seen[entry.Name] {
			err = fmt.Errorf("duplicate endpoint %s", entry.Name)
		}
		if err != nil {
			return g, false, nil, &LineError{Line: line, Err: err}
		}
		seen[entry.Name] = true
		entries = append(entries, entry)
	}
	return g, m.Get(lineproto.FieldComplete) == "yes", entries, scanner.Err()
}

// parseEntry parses one line. clock is the service's current time in microseconds.
func parseEntry(text string, clock int64) (entry engine.EndpointEntry, err error) {
	fields := strings.Fields(text)
	if len(fields) != lineFields {
		return entry, fmt.Errorf("%d fields, want %d", len(fields), lineFields)
	}
	shard, shardErr := strconv.Atoi(fields[3])
	started, startedErr := strconv.ParseInt(fields[5], 10, 64)
	if err := errors.Join(shardErr, startedErr); err != nil {
		return entry, err
	}
	if _, _, err := net.SplitHostPort(fields[1]); err != nil {
		return entry, err
	}
	entry = engine.EndpointEntry{Name: fields[0], Address: fields[1], Zone: fields[2], Shard: shard}
	switch state := fields[4]; state {
	case "serving":
		entry.Serving = true
	case "draining":
	case "gone":
		entry.Removed = true
	default:
		return entry, fmt.Errorf("state %q; allowed: serving, draining, gone", state)
	}
	if started != 0 {
		entry.HasAge = true
		entry.Age = time.Duration(clock-started) * time.Microsecond
	}
	return entry, nil
}
