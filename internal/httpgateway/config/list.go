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

// List is a list of endpoints, or what changed in it.
type List struct {
	Revision int64
	Complete bool // it is the whole list; else the entries are those that changed
	Entries  []engine.EndpointEntry
}

// Phases of an endpoint on the wire.
const (
	phaseInService   = "in_service"
	phaseTerminating = "terminating" // it drains
	phaseTerminated  = "terminated"
)

// onBadEntry decides what becomes of an entry that can't be read; an error makes the whole list unreadable.
type onBadEntry func(entry engine.EndpointEntry, err error) (engine.EndpointEntry, error)

// ParseList reads a list from the agent. An entry that can't be read does not take the others with it: it is marked
// Unreadable, or left out where it has no name. What parser holds is overwritten; the list keeps nothing of it.
func ParseList(parser *fastjson.Parser, text []byte) (List, error) {
	v, err := parser.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("not JSON: %w", err)
	}
	return parseEntries(v, func(entry engine.EndpointEntry, _ error) (engine.EndpointEntry, error) {
		return engine.EndpointEntry{Name: entry.Name, Unreadable: true}, nil
	})
}

// parseKnownEndpoints reads the list of a configuration, which has to be readable as a whole.
func parseKnownEndpoints(v *fastjson.Value) (List, error) {
	return parseEntries(v, func(entry engine.EndpointEntry, err error) (engine.EndpointEntry, error) { return entry, err })
}

func parseEntries(v *fastjson.Value, onBad onBadEntry) (List, error) {
	if v.Type() != fastjson.TypeObject {
		return List{}, errors.New("not an object")
	}
	members := v.Get("members")
	if members == nil || members.Type() != fastjson.TypeArray {
		return List{}, errors.New("no members")
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

// parseEntry reads one endpoint of a list. An error names the field; the endpoint's name is there if it can be read. Of one
// that is gone only the name counts.
func parseEntry(member *fastjson.Value) (engine.EndpointEntry, error) {
	entry := engine.EndpointEntry{Name: stringAt(member, "id"), Address: stringAt(member, "host_port"),
		Zone: stringAt(member, "locality"), Shard: -1}
	phase := stringAt(member, "phase")
	entry.Serving, entry.Removed = phase == phaseInService, phase == phaseTerminated
	if phase != phaseInService && phase != phaseTerminating && phase != phaseTerminated {
		return entry, fmt.Errorf("phase: unknown phase %q", phase)
	}
	if entry.Name == "" {
		return entry, errors.New("id: none")
	}
	if _, err := netip.ParseAddrPort(entry.Address); err != nil && !entry.Removed {
		return entry, fmt.Errorf("host_port: %q is no address with a port", entry.Address)
	}
	if shard, err := strconv.Atoi(jsonText(member.Get("cell"))); err == nil && shard >= 0 {
		entry.Shard = shard
	} else if !entry.Removed {
		return entry, errors.New("cell: no whole number from 0")
	}
	entry.Started = startTime(member)
	return entry, nil
}

// startTime is when an endpoint started, as Unix time on the agent's wall clock; 0: long ago.
func startTime(member *fastjson.Value) time.Duration {
	if startMs := member.GetFloat64("up_since_ms"); startMs > 0 && startMs < math.MaxInt64/1e6 {
		return time.Duration(startMs) * time.Millisecond
	}
	return 0
}

// jsonText is a value as it stands in the text; empty if there is none.
func jsonText(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	return string(v.MarshalTo(nil))
}
