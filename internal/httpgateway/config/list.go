package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/internal/engine"
)

// List is a complete list of endpoints, or the changes to one.
type List struct {
	Revision int64
	Complete bool // true: Entries is the complete list; false: it holds the changed entries
	Entries  []engine.EndpointEntry
}

// Phases of an endpoint on the wire.
const (
	phaseInService   = "in_service"
	phaseTerminating = "terminating" // draining
	phaseTerminated  = "terminated"
)

// onBadEntry returns the replacement for an invalid entry; an error makes the whole list invalid.
type onBadEntry func(entry engine.EndpointEntry, err error) (engine.EndpointEntry, error)

// ParseList parses a list from the agent. An invalid entry is marked Unreadable, or omitted if it has no name; the other
// entries are kept. ParseList overwrites the values held by parser; the returned list doesn't refer to them.
func ParseList(parser *fastjson.Parser, text []byte) (List, error) {
	v, err := parser.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("not JSON: %w", err)
	}
	return parseEntries(v, func(entry engine.EndpointEntry, _ error) (engine.EndpointEntry, error) {
		return engine.EndpointEntry{Name: entry.Name, Unreadable: true}, nil
	})
}

// parseKnownEndpoints parses the list in a configuration, in which every entry must be valid.
func parseKnownEndpoints(v *fastjson.Value) (List, error) {
	return parseEntries(v, func(entry engine.EndpointEntry, err error) (engine.EndpointEntry, error) { return entry, err })
}

func parseEntries(v *fastjson.Value, onBad onBadEntry) (List, error) {
	if v.Type() != fastjson.TypeObject {
		return List{}, errors.New("not an object")
	}
	members := v.Get("members")
	if members == nil || members.Type() != fastjson.TypeArray {
		return List{}, errors.New("members: missing or not an array")
	}
	list := List{Revision: v.GetInt64("revision"), Complete: v.GetBool("complete")}
	for i, member := range members.GetArray() {
		entry, err := parseEntry(member)
		if err != nil {
			entry, err = onBad(entry, fmt.Errorf("members[%d].%w", i, err))
		}
		if err != nil {
			return List{}, err
		}
		if entry.Name != "" {
			list.Entries = append(list.Entries, entry)
		}
	}
	return list, nil
}

// parseEntry parses one endpoint of a list. An error names the invalid field; the returned entry then still has the endpoint's
// name, if that is valid. For a terminated endpoint only the name is checked.
func parseEntry(member *fastjson.Value) (engine.EndpointEntry, error) {
	entry := engine.EndpointEntry{Name: stringAt(member, "id"), Address: stringAt(member, "host_port"),
		Zone: stringAt(member, "locality"), Shard: -1}
	phase := stringAt(member, "phase")
	entry.Serving, entry.Removed = phase == phaseInService, phase == phaseTerminated
	if phase != phaseInService && phase != phaseTerminating && phase != phaseTerminated {
		return entry, fmt.Errorf("phase: unknown phase %q", phase)
	}
	if entry.Name == "" {
		return entry, errors.New("id: missing")
	}
	if _, err := netip.ParseAddrPort(entry.Address); err != nil && !entry.Removed {
		return entry, fmt.Errorf("host_port: %q is not an address with a port", entry.Address)
	}
	if shard, err := strconv.Atoi(jsonText(member.Get("cell"))); err == nil && shard >= 0 {
		entry.Shard = shard
	} else if !entry.Removed {
		return entry, errors.New("cell: not a non-negative integer")
	}
	entry.StartedAt = startTime(member)
	return entry, nil
}

// startTime returns the start time of an endpoint as Unix time on the agent's wall clock; 0: long ago.
func startTime(member *fastjson.Value) time.Duration {
	if startMs := member.GetFloat64("up_since_ms"); startMs > 0 && startMs < math.MaxInt64/1e6 {
		return time.Duration(startMs) * time.Millisecond
	}
	return 0
}

// jsonText returns the JSON text of a value, or "" for nil.
func jsonText(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	return string(v.MarshalTo(nil))
}
