package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"weirhaven/internal/pb"
)

// checker validates one file and collects its faults.
type checker struct {
	file   string
	lineOf map[string]int // line numbers by field path
	faults []error
}

// crossFieldFault adds a fault in the relation of a field to other fields.
func (c *checker) crossFieldFault(field, value, format string, args ...any) {
	path := field
	for c.lineOf[path] == 0 && strings.Contains(path, ".") { // a missing field is reported at its message
		path = path[:strings.LastIndex(path, ".")]
	}
	c.fault(c.lineOf[path], field, value, format, args...)
}

func (c *checker) fault(lineNumber int, field, value, format string, args ...any) {
	c.faults = append(c.faults, Fault{File: c.file, Line: lineNumber, Field: field, Value: value, Allowed: fmt.Sprintf(format, args...)})
}

// message checks the fields of m. nodes are the syntax nodes of those fields, and lineNumber is the line of m itself.
func (c *checker) message(m protoreflect.Message, path string, nodes []*ast.Node, lineNumber int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		rule, _ := proto.GetExtension(fd.Options(), pb.E_Allowed).(*pb.Allowed)
		if rule == nil {
			rule = &pb.Allowed{}
		}
		name, fieldNodes := path+string(fd.Name()), nodesOf(fd, nodes)
		switch {
		case !m.Has(fd):
			c.missing(m, fd, rule, name, fieldNodes, lineNumber)
		case fd.IsList():
			c.list(m.Get(fd).List(), fd, rule, name, fieldNodes, lineNumber)
		default:
			line, children := locate(fieldNodes, 0, lineNumber)
			c.value(m.Get(fd), fd, rule, name, children, line)
		}
	}
}

// nodesOf returns the syntax nodes of a field, one per occurrence in the file.
func nodesOf(fd protoreflect.FieldDescriptor, nodes []*ast.Node) (fieldNodes []*ast.Node) {
	for _, n := range nodes {
		if n.Name == string(fd.Name()) {
			fieldNodes = append(fieldNodes, n)
		}
	}
	return fieldNodes
}

// missing checks a field that is not set or has the zero value.
func (c *checker) missing(m protoreflect.Message, fd protoreflect.FieldDescriptor, rule *pb.Allowed, name string, fieldNodes []*ast.Node, lineNumber int) {
	switch {
	case rule.Required && len(fieldNodes) > 0:
		c.fault(int(fieldNodes[0].Start.Line), name, fmt.Sprint(m.Get(fd).Interface()), "must be given%s", bounds(rule))
	case rule.Required:
		c.fault(lineNumber, name, "", "missing; must be given%s", bounds(rule))
	}
}

func (c *checker) list(list protoreflect.List, fd protoreflect.FieldDescriptor, rule *pb.Allowed, name string, fieldNodes []*ast.Node, lineNumber int) {
	if rule.Most > 0 && list.Len() > int(rule.Most) {
		line, _ := locate(fieldNodes, 0, lineNumber)
		c.fault(line, name, strconv.Itoa(list.Len())+" values", "at most %d", rule.Most)
	}
	seen := map[string]bool{}
	for i := range list.Len() {
		line, children := locate(fieldNodes, i, lineNumber)
		item := fmt.Sprintf("%s[%d]", name, i)
		c.value(list.Get(i), fd, rule, item, children, line)
		if !rule.Unique {
			continue
		}
		element := list.Get(i).Message()
		id := element.Get(element.Descriptor().Fields().ByName("name")).String()
		if seen[id] {
			c.fault(line, item+".name", strconv.Quote(id), "duplicate name")
		}
		seen[id] = true
	}
}

// locate returns the line of the i-th value of a field and its child nodes.
func locate(fieldNodes []*ast.Node, i, lineNumber int) (int, []*ast.Node) {
	switch {
	case i < len(fieldNodes):
		return int(fieldNodes[i].Start.Line), fieldNodes[i].Children
	case len(fieldNodes) > 0: // a list written in brackets
		return int(fieldNodes[0].Start.Line), nil
	}
	return lineNumber, nil
}
