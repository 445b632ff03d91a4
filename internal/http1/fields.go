package http1

import (
	"bytes"
	"net/textproto"
	"strings"
)

// field is one header field, with its name in canonical form.
type field struct{ name, value string }

// fieldOverhead is the number of bytes that a parsed field takes beside its text.
const fieldOverhead = 64

// readFields reads header fields up to the empty line after them. They are at most maxFields, and together with their line ends
// at most limit bytes. It counts and charges each field before it keeps it.
func (r *Reader) readFields(limit int) (fields []field, err error) {
	for {
		line, err := r.readLine(limit)
		if err != nil {
			return nil, err
		}
		limit -= len(line) + 1
		if len(line) == 0 {
			return fields, nil
		}
		if fields, err = r.addField(fields, line); err != nil {
			return nil, err
		}
	}
}

// addField parses a line, which is a field or the continuation of the last one.
func (r *Reader) addField(fields []field, line []byte) ([]field, error) {
	if err := r.chargeHead(len(line) + fieldOverhead); err != nil {
		return nil, err
	}
	if line[0] == ' ' || line[0] == '\t' {
		return continueField(fields, line)
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	switch {
	case !ok || len(name) == 0 || bytes.IndexFunc(name, notTokenOrSpace) >= 0 || hasControl(value):
		return nil, malformed(400, "malformed head")
	case bytes.IndexByte(name, ' ') >= 0: // a less strict parser could take it for another field
		return nil, malformed(400, "malformed field name")
	case len(fields) == maxFields || len(value) > maxLine:
		return nil, malformed(431, "header fields exceed the size or count limit")
	}
	return append(fields, field{textproto.CanonicalMIMEHeaderKey(string(name)), string(value)}), nil
}

// continueField appends a continuation line to the last field, as a space and the line's text (RFC 9112, 5.2).
func continueField(fields []field, line []byte) ([]field, error) {
	if len(fields) == 0 || hasControl(line) {
		return nil, malformed(400, "malformed head")
	}
	last := &fields[len(fields)-1]
	last.value = strings.TrimLeft(last.value+" "+string(bytes.Trim(line, " \t")), " ")
	if len(last.value) > maxLine {
		return nil, malformed(431, "header fields exceed the size or count limit")
	}
	return fields, nil
}

// chargeHead charges n bytes for the present head.
func (r *Reader) chargeHead(n int) error {
	if err := r.memory.Charge(n); err != nil {
		return err
	}
	r.headCharged += n
	return nil
}

func hasControl(text []byte) bool { return bytes.IndexFunc(text, isControl) >= 0 }

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// notToken reports whether a character may not be part of a field's name (RFC 9110, 5.6.2).
func notToken(r rune) bool {
	switch {
	case r >= '0' && r <= '9', r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

func notTokenOrSpace(r rune) bool { return r != ' ' && notToken(r) }
