package settings

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"time"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"google.golang.org/protobuf/reflect/protoreflect"

	"weirhaven/internal/pb"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// value checks one value against its rule. children are the value's child nodes.
func (c *checker) value(v protoreflect.Value, fd protoreflect.FieldDescriptor, rule *pb.Allowed, name string, children []*ast.Node, lineNumber int) {
	c.lineOf[name] = lineNumber
	switch fd.Kind() {
	case protoreflect.MessageKind:
		c.message(v.Message(), name+".", children, lineNumber)
	case protoreflect.StringKind:
		c.text(v.String(), rule, name, lineNumber)
	case protoreflect.EnumKind:
		if fd.Enum().Values().ByNumber(v.Enum()) == nil {
			c.fault(lineNumber, name, strconv.Itoa(int(v.Enum())), "not a value of %s", fd.Enum().Name())
		}
	case protoreflect.DoubleKind, protoreflect.Uint32Kind, protoreflect.Int64Kind, protoreflect.Int32Kind:
		c.number(v, rule, name, lineNumber)
	}
}

func (c *checker) number(v protoreflect.Value, rule *pb.Allowed, name string, lineNumber int) {
	n, err := strconv.ParseFloat(fmt.Sprint(v.Interface()), 64)
	inRange := n >= numberBound(rule.Min, n) && n <= numberBound(rule.Max, n) // false for NaN
	if err != nil || !inRange {
		c.fault(lineNumber, name, fmt.Sprint(v.Interface()), "out of range%s", bounds(rule))
	}
}

// numberBound parses a bound from the schema. Without a bound it returns none.
func numberBound(text string, none float64) float64 {
	if text == "" {
		return none
	}
	bound, _ := strconv.ParseFloat(text, 64) // valid, since it is part of the schema
	return bound
}

func (c *checker) text(s string, rule *pb.Allowed, name string, lineNumber int) {
	switch {
	case rule.Duration:
		c.duration(s, rule, name, lineNumber)
	case rule.Address:
		if !isAddress(s) {
			c.fault(lineNumber, name, strconv.Quote(s), `not an address such as "127.0.0.1:8400"`)
		}
	case rule.Name:
		if !namePattern.MatchString(s) {
			c.fault(lineNumber, name, strconv.Quote(s), "not a name: 1 to 64 letters, digits, '.', '_' or '-'")
		}
	case rule.Most > 0 && len(s) > int(rule.Most):
		c.fault(lineNumber, name, strconv.Quote(s[:16])+"...", "longer than %d bytes", rule.Most)
	}
}

func (c *checker) duration(s string, rule *pb.Allowed, name string, lineNumber int) {
	d, err := time.ParseDuration(s)
	if err != nil {
		c.fault(lineNumber, name, strconv.Quote(s), `not a duration such as "250ms"%s`, bounds(rule))
		return
	}
	if d < durationBound(rule.Min, d) || d > durationBound(rule.Max, d) {
		c.fault(lineNumber, name, strconv.Quote(s), "out of range%s", bounds(rule))
	}
}

// durationBound parses a bound from the schema. Without a bound it returns none.
func durationBound(text string, none time.Duration) time.Duration {
	if text == "" {
		return none
	}
	bound, _ := time.ParseDuration(text) // valid, since it is part of the schema
	return bound
}

// isAddress reports whether s is host:port.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// bounds returns the text of a rule's bounds for a fault.
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
