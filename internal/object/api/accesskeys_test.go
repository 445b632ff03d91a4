package api

import (
	"os"
	"path/filepath"
	"testing"
)

// A file of access keys is read whole or not at all: never no key, never a short secret.
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
			t.Fatal("no keys and no error")
		}
		for _, k := range keys {
			if len(k.secret) < 8 {
				t.Fatal("a short secret")
			}
		}
	})
}
