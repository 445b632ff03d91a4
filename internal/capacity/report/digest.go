package report

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// InputFile identifies a file that an answer was computed from.
type InputFile struct {
	File   string // path
	SHA256 string // hexadecimal
}

// Digest returns the digests of files and, for each folder, of all files in it.
func Digest(paths ...string) ([]InputFile, error) {
	var files []InputFile
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			sum, err := digestFile(name)
			if err != nil {
				return err
			}
			files = append(files, InputFile{name, sum})
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return files, nil
}

func digestFile(name string) (string, error) {
	file, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }() // only read
	hash := sha256.New()
	if _, err := io.Copy(hash, file); err != nil {
		return "", err
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}
