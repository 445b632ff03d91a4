// Package config reads what the platform gives a gateway: its configuration file, and the endpoint lists that stand in it or
// come from the agent. The JSON keys are the platform's; they are mapped to this program's terms here and nowhere else.
//
// A configuration is read whole or not at all: an error names the field. A list from the agent is read as far as it can be,
// since the other entries must not suffer from one. The package does no I/O but Load.
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

// Config is a whole configuration.
type Config struct {
	Name                string
	Listen              string // address for clients, with its port
	Discovery           string // address of the agent, with its port
	Limits              Limits
	KnownEndpoints      List // as of when the configuration was written; empty if it has none
	Settings            policy.Settings
	ConnectTimeout      time.Duration // the longest time that a connection to an endpoint may take to come up; above 0
	EndpointIdleTimeout time.Duration // an endpoint closes a connection that was idle for so long; above 0
}

// Limits are those of all processes of the gateway together.
type Limits struct {
	Cores    float64 // above 0
	MemoryMB int     // MiB, above 0
	Sockets  int     // at least MinSockets
}

// MinSockets is the least number of sockets with which a gateway can work at all.
const MinSockets = 64

// maxFile is the largest configuration file that is read, in bytes.
const maxFile = 4 << 20

// Load reads a configuration file. It returns an error when the file can't be read, is too large or is no configuration.
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
			return fmt.Errorf("%s: %q is no address with a port", field, address)
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

// parseSettings reads the scheduler's settings and the time limits that stand among them.
func (c *Config) parseSettings(v *fastjson.Value) error {
	seed, err := strconv.ParseUint(stringAt(v, "seed"), 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %s is no hexadecimal number", v.Get("seed"))
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

// checkSettings refuses settings without what the scheduler needs in each class and plan; the rest is left to the platform.
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
