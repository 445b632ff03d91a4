// Package config parses the input from the platform: a gateway's configuration file, and the endpoint lists from that file and
// from the agent. Only this package maps the platform's JSON keys to this program's terms.
//
// An invalid field makes the whole configuration invalid; the error names the field. An invalid entry in a list from the agent
// doesn't affect the other entries. Only Load does I/O.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/policy"
)

// Config is the configuration of a gateway.
type Config struct {
	Name                string
	Listen              string // address for clients, with its port
	Discovery           string // address of the agent, with its port
	Limits              Limits
	KnownEndpoints      List // endpoint list at the time the configuration was written; may be empty
	Settings            policy.Settings
	ConnectTimeout      time.Duration // limit on establishing a connection to an endpoint; above 0
	EndpointIdleTimeout time.Duration // idle time after which an endpoint closes a connection; above 0
}

// Limits are the resource limits of all processes of the gateway together.
type Limits struct {
	Cores    float64 // CPU cores; above 0
	MemoryMB int     // memory in MiB; above 0
	Sockets  int     // open sockets; at least MinSockets
}

// MinSockets is the minimum number of sockets that a gateway needs.
const MinSockets = 64

// maxFile is the maximum size of a configuration file in bytes.
const maxFile = 4 << 20

// Load reads a configuration file. It returns an error if the file can't be read, is too large or isn't a valid configuration.
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

// Parse parses a configuration. An error names the invalid field.
func Parse(text []byte) (*Config, error) {
	var parser fastjson.Parser
	v, err := parser.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("not an object")
	}
	c := &Config{Name: stringAt(v, "name"), Listen: stringAt(v, "listen"), Discovery: stringAt(v, "discovery")}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if c.Limits, err = parseLimits(v.Get("limits")); err != nil {
		return nil, err
	}
	if err := c.parseSettings(v); err != nil {
		return nil, err
	}
	if known := v.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if c.KnownEndpoints, err = parseKnownEndpoints(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

func (c *Config) checkAddresses() error {
	for field, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%s: %q is not an address with a port", field, address)
		}
	}
	return nil
}

func parseLimits(v *fastjson.Value) (Limits, error) {
	limits := Limits{Cores: v.GetFloat64("cores"), MemoryMB: v.GetInt("memory_mb"), Sockets: v.GetInt("sockets")}
	switch {
	case !(limits.Cores > 0):
		return limits, fmt.Errorf("limits.cores: %v, wanted more than 0", limits.Cores)
	case limits.MemoryMB <= 0:
		return limits, fmt.Errorf("limits.memory_mb: %d, wanted more than 0", limits.MemoryMB)
	case limits.Sockets < MinSockets:
		return limits, fmt.Errorf("limits.sockets: %d, wanted at least %d", limits.Sockets, MinSockets)
	}
	return limits, nil
}

// parseSettings parses the scheduler's settings and the timeouts in the same JSON object.
func (c *Config) parseSettings(v *fastjson.Value) error {
	seed, err := strconv.ParseUint(stringAt(v, "seed"), 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %s is not a hexadecimal number", v.Get("seed"))
	}
	settings := v.Get("settings")
	if c.Settings, err = ParseSettings(settings, int64(seed)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := checkSettings(c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.ConnectTimeout = microseconds(settings, "limits", "connect_timeout_us")
	c.EndpointIdleTimeout = microseconds(settings, "limits", "conn_idle_us")
	if c.ConnectTimeout <= 0 || c.EndpointIdleTimeout <= 0 {
		return errors.New("settings: limits.connect_timeout_us and limits.conn_idle_us must be more than 0")
	}
	return nil
}

// checkSettings rejects settings that lack what the scheduler needs in each class and plan. It doesn't check other values.
func checkSettings(settings policy.Settings) error {
	if len(settings.Classes) == 0 || len(settings.Plans) == 0 {
		return errors.New("no classes or no plans")
	}
	for i, class := range settings.Classes {
		if class.Name == "" || class.LatencyObjective <= 0 || class.Timeout <= 0 {
			return fmt.Errorf("classes[%d]: name, aim_us and give_up_us must be set", i)
		}
	}
	for i, plan := range settings.Plans {
		if plan.Name == "" || plan.Limit < 0 || plan.Reservation < 0 || plan.NominalRate < 0 {
			return fmt.Errorf("plans[%d]: a name must be set, and no rate may be below 0", i)
		}
	}
	if settings.MaxAttempts < 1 {
		return fmt.Errorf("limits.max_attempts: %d, wanted at least 1", settings.MaxAttempts)
	}
	return nil
}
