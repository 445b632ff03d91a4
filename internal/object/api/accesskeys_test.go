package api

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against accepting a file without keys, or a key with a secret that is too short.
func FuzzReadKeys(f *testing.F) {
	f.Add([]byte("key a-long-secret yard,other # one\n"))
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, text []byte) {
		file := filepath.Join(dir, "access")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(file)
		if err == nil && len(keys) == 0 {
			t.Fatal("a file without keys was read without an error")
		}
		for _, k := range keys {
			if len(k.secret) < 8 {
				t.Fatal("a secret that is too short was accepted")
			}
		}
	})
}
