package settings

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
)

// Load reads a file into m and checks it. The error joins all Faults found, or says why the file can't be read.
func Load(file string, m proto.Message) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text, m)
}

// Parse is Load on a text; file names it in errors.
func Parse(file string, text []byte, m proto.Message) error {
	c, err := parse(file, text, m)
	if err != nil {
		return err
	}
	return errors.Join(c.faults...)
}

// syntaxPlace is where prototext says that a text is malformed.
var syntaxPlace = regexp.MustCompile(`\(line (\d+):\d+\): ?`)

// parse fails with a Fault where the text is malformed; else the checker holds the faults of m's fields.
func parse(file string, text []byte, m proto.Message) (*checker, error) {
	if err := prototext.Unmarshal(text, m); err != nil {
		return nil, syntaxFault(file, err)
	}
	nodes, err := parser.Parse(text)
	if err != nil {
		nodes = nil // faults then have no lines
	}
	c := &checker{file: file, lineOf: map[string]int{}}
	c.message(m.ProtoReflect(), "", nodes, 1)
	return c, nil
}

// syntaxFault takes the place out of prototext's error.
func syntaxFault(file string, err error) Fault {
	f := Fault{File: file, Allowed: strings.TrimPrefix(err.Error(), "proto:")}
	if place := syntaxPlace.FindStringSubmatchIndex(f.Allowed); place != nil {
		f.Line, _ = strconv.Atoi(f.Allowed[place[2]:place[3]]) // digits, as matched
		f.Allowed = f.Allowed[:place[0]] + f.Allowed[place[1]:]
	}
	// The library puts either kind of space behind "proto:", so that nobody compares its texts.
	f.Allowed = strings.Join(strings.FieldsFunc(f.Allowed, unicode.IsSpace), " ")
	return f
}

// Text spells settings as they are read.
func Text(m proto.Message) ([]byte, error) {
	return prototext.MarshalOptions{Multiline: true}.Marshal(m)
}

// Duration returns the duration that a checked text gives, or the default if it is empty.
func Duration(text string, defaultValue time.Duration) time.Duration {
	if d, err := time.ParseDuration(text); err == nil {
		return d
	}
	return defaultValue
}
