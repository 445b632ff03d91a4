package api

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// minSecretBytes is the minimum length of a secret key.
const minSecretBytes = 8

// Access holds the secret and the permissions of an access key.
type Access struct {
	secret  string
	volumes []string // names of the volumes that the key may access; "*": all
}

// Allows reports whether the key may access a volume. A nil Access, which stands for a request that needs no signature, allows all.
func (a *Access) Allows(volume string) bool {
	return a == nil || slices.Contains(a.volumes, "*") || slices.Contains(a.volumes, volume)
}

// Keys maps the ids of access keys to what they allow.
type Keys map[string]*Access

// ReadKeys reads a file of access keys. Each line has the form "access-key secret-key volume,volume,..."; # begins a comment. A file
// without any key is an error.
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
			return nil, fmt.Errorf("access keys: %s:%d: want access-key secret-key (at least 8 bytes) volume,volume,..., with each access key only once", file, i+1)
		}
		keys[fields[0]] = &Access{fields[1], strings.Split(fields[2], ",")}
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("access keys: %s contains no keys", file)
	}
	return keys, nil
}
