package api

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// minSecretBytes is the shortest secret that an access key may have.
const minSecretBytes = 8

// Access is what an access key allows.
type Access struct {
	secret  string
	volumes []string // "*": all
}

// Allows reports whether the key reaches a volume. A nil Access, of a request that needs no signature, reaches all.
func (a *Access) Allows(volume string) bool {
	return a == nil || slices.Contains(a.volumes, "*") || slices.Contains(a.volumes, volume)
}

// Keys are the access keys by their id.
type Keys map[string]*Access

// ReadKeys reads a file of access keys. Each line is "access-key secret-key volume,volume,..."; # begins a comment. A file without any key is
// an error.
func ReadKeys(file string) (Keys, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("access keys: %w", err)
	}
	keys := Keys{}
	for i, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 3 || keys[fields[0]] != nil || len(fields[1]) < minSecretBytes {
			return nil, fmt.Errorf("access keys: %s:%d: wanted: access-key secret-key (8 bytes or more) volume,volume,... and each key once", file, i+1)
		}
		keys[fields[0]] = &Access{fields[1], strings.Split(fields[2], ",")}
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("access keys: %s names none", file)
	}
	return keys, nil
}
