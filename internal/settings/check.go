// Package settings reads settings as protobuf text format, checks them against the ranges that stand in the
// schema (proto/), and turns those of a host into policy.Settings.
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"weirhaven/internal/pb"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File  string
	Line  int    // from 1; 0: not known
	Field string // path, such as plan[1].weight
	Value string // as given; empty where the field is missing
	Want  string // what is allowed
}

func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", at, f.Want)
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: %s: %s", at, f.Field, f.Want)
	}
	return fmt.Sprintf("%s: %s: %s: %s", at, f.Field, f.Value, f.Want)
}

var (
	syntaxPlace = regexp.MustCompile(`\(line (\d+):\d+\): ?`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
)

// Load reads a file into m and checks it. The error joins all Faults found.
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

// parse fails where the text is not spelled right; else the checker holds what is out of range.
func parse(file string, text []byte, m proto.Message) (*checker, error) {
	if err := prototext.Unmarshal(text, m); err != nil {
		f := Fault{File: file, Want: strings.TrimPrefix(err.Error(), "proto:")}
		if at := syntaxPlace.FindStringSubmatchIndex(f.Want); at != nil {
			f.Line, _ = strconv.Atoi(f.Want[at[2]:at[3]])
			f.Want = f.Want[:at[0]] + f.Want[at[1]:]
		}
		// The library puts either kind of space behind "proto:", so that nobody compares its texts.
		f.Want = strings.Join(strings.FieldsFunc(f.Want, unicode.IsSpace), " ")
		return nil, f
	}
	nodes, err := parser.Parse(text)
	if err != nil {
		nodes = nil // lines are a help, not a need
	}
	c := &checker{file: file, lines: map[string]int{}}
	c.message(m.ProtoReflect(), "", nodes, 1)
	return c, nil
}

type checker struct {
	file   string
	lines  map[string]int // by path
	faults []error
}

// across is a fault that shows only beside other fields.
func (c *checker) across(field, value, format string, args ...any) {
	at := field
	for c.lines[at] == 0 && strings.Contains(at, ".") { // what is missing stands where its message does
		at = at[:strings.LastIndex(at, ".")]
	}
	c.fault(c.lines[at], field, value, format, args...)
}

func (c *checker) fault(line int, field, value, format string, args ...any) {
	c.faults = append(c.faults, Fault{c.file, line, field, value, fmt.Sprintf(format, args...)})
}

// message checks m, which the nodes below one line of the file spell.
func (c *checker) message(m protoreflect.Message, path string, nodes []*ast.Node, line int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		rule, _ := proto.GetExtension(fd.Options(), pb.E_Allowed).(*pb.Allowed)
		if rule == nil {
			rule = &pb.Allowed{}
		}
		name := path + string(fd.Name())
		var own []*ast.Node
		for _, n := range nodes {
			if n.Name == string(fd.Name()) {
				own = append(own, n)
			}
		}
		if !m.Has(fd) {
			switch {
			case rule.Required && len(own) > 0:
				c.fault(int(own[0].Start.Line), name, fmt.Sprint(m.Get(fd).Interface()), "must be given%s", bounds(rule))
			case rule.Required:
				c.fault(line, name, "", "missing; must be given%s", bounds(rule))
			}
			continue
		}
		if !fd.IsList() {
			at, below := place(own, 0, line)
			c.value(m.Get(fd), fd, rule, name, below, at)
			continue
		}
		list := m.Get(fd).List()
		if rule.Most > 0 && list.Len() > int(rule.Most) {
			at, _ := place(own, 0, line)
			c.fault(at, name, strconv.Itoa(list.Len())+" of them", "at most %d", rule.Most)
		}
		seen := map[string]bool{}
		for k := range list.Len() {
			at, below := place(own, k, line)
			item := fmt.Sprintf("%s[%d]", name, k)
			c.value(list.Get(k), fd, rule, item, below, at)
			if rule.Unique {
				e := list.Get(k).Message()
				id := e.Get(e.Descriptor().Fields().ByName("name")).String()
				if seen[id] {
					c.fault(at, item+".name", strconv.Quote(id), "stands twice; names must differ")
				}
				seen[id] = true
			}
		}
	}
}

// place is the line of the k-th value of a field and the nodes below it.
func place(own []*ast.Node, k, line int) (int, []*ast.Node) {
	switch {
	case k < len(own):
		return int(own[k].Start.Line), own[k].Children
	case len(own) > 0: // a list written in brackets
		return int(own[0].Start.Line), nil
	}
	return line, nil
}

func (c *checker) value(v protoreflect.Value, fd protoreflect.FieldDescriptor, rule *pb.Allowed, name string,
	below []*ast.Node, line int) {
	c.lines[name] = line
	switch fd.Kind() {
	case protoreflect.MessageKind:
		c.message(v.Message(), name+".", below, line)
	case protoreflect.StringKind:
		c.text(v.String(), rule, name, line)
	case protoreflect.EnumKind:
		if fd.Enum().Values().ByNumber(v.Enum()) == nil {
			c.fault(line, name, strconv.Itoa(int(v.Enum())), "no value of %s", fd.Enum().Name())
		}
	case protoreflect.DoubleKind, protoreflect.Uint32Kind, protoreflect.Int64Kind, protoreflect.Int32Kind:
		x, err := strconv.ParseFloat(fmt.Sprint(v.Interface()), 64)
		low, high := limit(rule.Min, x), limit(rule.Max, x)
		if err != nil || !(x >= low && x <= high) { // also NaN
			c.fault(line, name, fmt.Sprint(v.Interface()), "out of range%s", bounds(rule))
		}
	}
}

func limit(text string, none float64) float64 {
	if text == "" {
		return none
	}
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

func (c *checker) text(s string, rule *pb.Allowed, name string, line int) {
	switch {
	case rule.Duration:
		d, err := time.ParseDuration(s)
		if err != nil {
			c.fault(line, name, strconv.Quote(s), `not a duration such as "250ms"%s`, bounds(rule))
			return
		}
		low, high := d, d
		if rule.Min != "" {
			low, _ = time.ParseDuration(rule.Min)
		}
		if rule.Max != "" {
			high, _ = time.ParseDuration(rule.Max)
		}
		if d < low || d > high {
			c.fault(line, name, strconv.Quote(s), "out of range%s", bounds(rule))
		}
	case rule.Address:
		host, port, err := net.SplitHostPort(s)
		_, perr := strconv.ParseUint(port, 10, 16)
		if err != nil || perr != nil || host == "" {
			c.fault(line, name, strconv.Quote(s), `not an address such as "127.0.0.1:8400"`)
		}
	case rule.Name:
		if !namePattern.MatchString(s) {
			c.fault(line, name, strconv.Quote(s), "not a name: 1 to 64 letters, digits, '.', '_' or '-'")
		}
	case rule.Most > 0 && len(s) > int(rule.Most):
		c.fault(line, name, strconv.Quote(s[:16])+"...", "longer than %d bytes", rule.Most)
	}
}

func bounds(rule *pb.Allowed) string {
	switch {
	case rule.Min != "" && rule.Max != "":
		return fmt.Sprintf("; allowed: %s to %s", rule.Min, rule.Max)
	case rule.Min != "":
		return "; allowed: " + rule.Min + " or more"
	case rule.Max != "":
		return "; allowed: at most " + rule.Max
	}
	return ""
}

// Duration is the time that a checked text gives; an empty one gives none.
func Duration(text string, none time.Duration) time.Duration {
	if d, err := time.ParseDuration(text); err == nil {
		return d
	}
	return none
}
