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

// checker collects the faults of one file.
type checker struct {
	file   string
	lineOf map[string]int // by path of the field
	faults []error
}

// across reports a fault that shows only beside other fields.
func (c *checker) across(field, value, format string, args ...any) {
	path := field
	for c.lineOf[path] == 0 && strings.Contains(path, ".") { // a missing field stands where its message does
		path = path[:strings.LastIndex(path, ".")]
	}
	c.fault(c.lineOf[path], field, value, format, args...)
}

func (c *checker) fault(lineNumber int, field, value, format string, args ...any) {
	c.faults = append(c.faults, Fault{File: c.file, Line: lineNumber, Field: field, Value: value, Allowed: fmt.Sprintf(format, args...)})
}

// message checks the fields of m, which nodes spell; lineNumber is that of m itself.
func (c *checker) message(m protoreflect.Message, path string, nodes []*ast.Node, lineNumber int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		rule, _ := proto.GetExtension(fd.Options(), pb.E_Allowed).(*pb.Allowed)
		if rule == nil {
			rule = &pb.Allowed{}
		}
		name, own := path+string(fd.Name()), nodesOf(fd, nodes)
		switch {
		case !m.Has(fd):
			c.absent(m, fd, rule, name, own, lineNumber)
		case fd.IsList():
			c.list(m.Get(fd).List(), fd, rule, name, own, lineNumber)
		default:
			place, children := locate(own, 0, lineNumber)
			c.value(m.Get(fd), fd, rule, name, children, place)
		}
	}
}

// nodesOf are the nodes that spell a field.
func nodesOf(fd protoreflect.FieldDescriptor, nodes []*ast.Node) (own []*ast.Node) {
	for _, n := range nodes {
		if n.Name == string(fd.Name()) {
			own = append(own, n)
		}
	}
	return own
}

// absent checks a field that has no value, or the zero value.
func (c *checker) absent(m protoreflect.Message, fd protoreflect.FieldDescriptor, rule *pb.Allowed, name string, own []*ast.Node, lineNumber int) {
	switch {
	case rule.Required && len(own) > 0:
		c.fault(int(own[0].Start.Line), name, fmt.Sprint(m.Get(fd).Interface()), "must be given%s", bounds(rule))
	case rule.Required:
		c.fault(lineNumber, name, "", "missing; must be given%s", bounds(rule))
	}
}

func (c *checker) list(list protoreflect.List, fd protoreflect.FieldDescriptor, rule *pb.Allowed, name string, own []*ast.Node, lineNumber int) {
	if rule.Most > 0 && list.Len() > int(rule.Most) {
		place, _ := locate(own, 0, lineNumber)
		c.fault(place, name, strconv.Itoa(list.Len())+" of them", "at most %d", rule.Most)
	}
	seen := map[string]bool{}
	for i := range list.Len() {
		place, children := locate(own, i, lineNumber)
		item := fmt.Sprintf("%s[%d]", name, i)
		c.value(list.Get(i), fd, rule, item, children, place)
		if !rule.Unique {
			continue
		}
		element := list.Get(i).Message()
		id := element.Get(element.Descriptor().Fields().ByName("name")).String()
		if seen[id] {
			c.fault(place, item+".name", strconv.Quote(id), "stands twice; names must differ")
		}
		seen[id] = true
	}
}

// locate returns the line of the i-th value of a field and the nodes below it.
func locate(own []*ast.Node, i, lineNumber int) (int, []*ast.Node) {
	switch {
	case i < len(own):
		return int(own[i].Start.Line), own[i].Children
	case len(own) > 0: // a list written in brackets
		return int(own[0].Start.Line), nil
	}
	return lineNumber, nil
}
