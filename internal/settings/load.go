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

// Load reads a file into m and validates it. The error joins all Faults found, or reports that the file is unreadable.
func Load(file string, m proto.Message) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text, m)
}

// Parse is Load for a text. file is the name used in errors.
func Parse(file string, text []byte, m proto.Message) error {
	c, err := parse(file, text, m)
	if err != nil {
		return err
	}
	return errors.Join(c.faults...)
}

// syntaxPosition matches the position in a syntax error of prototext.
var syntaxPosition = regexp.MustCompile(`\(line (\d+):\d+\): ?`)

// parse returns a Fault if the text is malformed; otherwise the checker holds the faults of m's fields.
func parse(file string, text []byte, m proto.Message) (*checker, error) {
	if err := prototext.Unmarshal(text, m); err != nil {
		return nil, syntaxFault(file, err)
	}
	nodes, err := parser.Parse(text)
	if err != nil {
		nodes = nil // faults then have no line numbers
	}
	c := &checker{file: file, lineOf: map[string]int{}}
	c.message(m.ProtoReflect(), "", nodes, 1)
	return c, nil
}

// syntaxFault converts an error of prototext into a Fault with its position.
func syntaxFault(file string, err error) Fault {
	f := Fault{File: file, Allowed: strings.TrimPrefix(err.Error(), "proto:")}
	if position := syntaxPosition.FindStringSubmatchIndex(f.Allowed); position != nil {
		f.Line, _ = strconv.Atoi(f.Allowed[position[2]:position[3]]) // cannot fail: the pattern matched digits
		f.Allowed = f.Allowed[:position[0]] + f.Allowed[position[1]:]
	}
	// prototext puts a random kind of space after "proto:" to keep callers from comparing its messages.
	f.Allowed = strings.Join(strings.FieldsFunc(f.Allowed, unicode.IsSpace), " ")
	return f
}

// Text returns settings in the format that Load reads.
func Text(m proto.Message) ([]byte, error) {
	return prototext.MarshalOptions{Multiline: true}.Marshal(m)
}

// Duration returns the duration in a validated text, or the default if the text is empty.
func Duration(text string, defaultValue time.Duration) time.Duration {
	if d, err := time.ParseDuration(text); err == nil {
		return d
	}
	return defaultValue
}
