// Package config reads what the platform tells a host: its configuration file and the lists of bricks that stand in it or
// come from discovery.
package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/internal/engine"
	"weirhaven/policy"
)

// Config is a whole configuration.
type Config struct {
	Name, Listen, Discovery string
	Limits                  Limits
	KnownEndpoints          List
	Settings                policy.Settings
	ConnectTimeout          time.Duration // most that a connection to a brick may take to come up
	EndpointIdleTimeout     time.Duration // a brick closes a connection left idle for so long
}

// Limits are those of the host's processes together.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// List is a list of bricks, or what changed in it.
type List struct {
	Revision int64
	Complete bool
	Entries  []engine.EndpointEntry
}

const maxFile = 4 << 20

// Load reads a configuration file.
func Load(path string) (*Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("configuration %s: %d bytes, at most %d", path, info.Size(), maxFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration. An error names the field.
func Parse(text []byte) (*Config, error) {
	var parser fastjson.Parser
	v, err := parser.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("not an object")
	}
	c := &Config{Name: string(v.GetStringBytes("name")), Listen: string(v.GetStringBytes("listen")),
		Discovery: string(v.GetStringBytes("discovery"))}
	for field, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("%s: %q is no address with a port", field, address)
		}
	}
	c.Limits = Limits{Cores: v.GetFloat64("limits", "cores"), MemoryMB: v.GetInt("limits", "memory_mb"),
		Sockets: v.GetInt("limits", "sockets")}
	switch l := c.Limits; {
	case !(l.Cores > 0):
		return nil, fmt.Errorf("limits.cores: %v, wanted more than 0", l.Cores)
	case l.MemoryMB <= 0:
		return nil, fmt.Errorf("limits.memory_mb: %d, wanted more than 0", l.MemoryMB)
	case l.Sockets < MinSockets:
		return nil, fmt.Errorf("limits.sockets: %d, wanted at least %d", l.Sockets, MinSockets)
	}
	seed, err := strconv.ParseUint(string(v.GetStringBytes("seed")), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %s is no hexadecimal number", v.Get("seed"))
	}
	p := v.Get("settings")
	if c.Settings, err = Settings(p, int64(seed)); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := check(c.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.ConnectTimeout, c.EndpointIdleTimeout = micros(p, "limits", "connect_timeout_us"), micros(p, "limits", "conn_idle_us")
	if c.ConnectTimeout <= 0 || c.EndpointIdleTimeout <= 0 {
		return nil, errors.New("settings: limits.connect_timeout_us and limits.conn_idle_us must be more than 0")
	}
	if k := v.Get("known"); k != nil && k.Type() != fastjson.TypeNull {
		if c.KnownEndpoints, err = known(k); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// MinSockets is the least with which a host can work at all.
const MinSockets = 64

func check(s policy.Settings) error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return errors.New("no classes or no plans")
	}
	for i, q := range s.Classes {
		if q.Name == "" || q.LatencyObjective <= 0 || q.Timeout <= 0 {
			return fmt.Errorf("classes[%d]: name, aim_us and give_up_us are wanted", i)
		}
	}
	for i, p := range s.Plans {
		if p.Name == "" || p.Limit < 0 || p.Reservation < 0 || p.NominalRate < 0 {
			return fmt.Errorf("plans[%d]: a name is wanted, and no rate below 0", i)
		}
	}
	if s.MaxAttempts < 1 {
		return fmt.Errorf("limits.max_attempts: %d, wanted at least 1", s.MaxAttempts)
	}
	return nil
}

// ParseList reads a list as discovery tells it. An entry that can't be read does not take the others with it: it is marked
// Unreadable, or left out where it names no server.
func ParseList(p *fastjson.Parser, text []byte) (List, error) {
	v, err := p.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("not JSON: %w", err)
	}
	return list(v, func(entry engine.EndpointEntry, _ error) (engine.EndpointEntry, error) {
		return engine.EndpointEntry{Name: entry.Name, Unreadable: true}, nil
	})
}

// known reads the list of a configuration, which has to be readable as a whole.
func known(v *fastjson.Value) (List, error) {
	return list(v, func(entry engine.EndpointEntry, err error) (engine.EndpointEntry, error) { return entry, err })
}

// list reads a list; unreadable tells what becomes of an entry with an error.
func list(v *fastjson.Value, unreadable func(engine.EndpointEntry, error) (engine.EndpointEntry, error)) (List, error) {
	if v.Type() != fastjson.TypeObject {
		return List{}, errors.New("not an object")
	}
	members := v.Get("members")
	if members == nil || members.Type() != fastjson.TypeArray {
		return List{}, errors.New("no members")
	}
	l := List{Revision: v.GetInt64("revision"), Complete: v.GetBool("complete")}
	for i, m := range members.GetArray() {
		b, err := entry(m)
		if err != nil {
			b, err = unreadable(b, fmt.Errorf("members[%d].%w", i, err))
		}
		if err != nil {
			return List{}, err
		}
		if b.Name != "" {
			l.Entries = append(l.Entries, b)
		}
	}
	return l, nil
}

// entry reads one server of a list. An error names the field; the server's name is there if it can be read.
func entry(m *fastjson.Value) (engine.EndpointEntry, error) {
	b := engine.EndpointEntry{Name: string(m.GetStringBytes("id")), Address: string(m.GetStringBytes("host_port")),
		Zone: string(m.GetStringBytes("locality")), Shard: -1}
	phase := string(m.GetStringBytes("phase"))
	b.Serving, b.Gone = phase == "in_service", phase == "terminated"
	if phase != "in_service" && phase != "terminating" && phase != "terminated" {
		return b, fmt.Errorf("phase: unknown phase %q", phase)
	}
	if b.Name == "" {
		return b, errors.New("id: none")
	}
	if _, err := netip.ParseAddrPort(b.Address); err != nil && !b.Gone {
		return b, fmt.Errorf("host_port: %q is no address with a port", b.Address)
	}
	if n, err := strconv.Atoi(cellText(m.Get("cell"))); err == nil && n >= 0 {
		b.Shard = n
	} else if !b.Gone {
		return b, errors.New("cell: no whole number from 0")
	}
	if up := m.GetFloat64("up_since_ms"); up > 0 && up < math.MaxInt64/1e6 {
		b.Started = time.Duration(up) * time.Millisecond
	}
	return b, nil
}

func cellText(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	return string(v.MarshalTo(nil))
}
