package http1

import (
	"maps"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Head is a start line with its fields.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Close          bool   // the sender closes the connection after this message
	Length         int64  // of the body in bytes, or Chunked or UntilEnd
	fields         textproto.MIMEHeader
}

// Lengths of a body that no number gives.
const (
	Chunked  = -1 // its last chunk ends it
	UntilEnd = -2 // the end of the connection ends it
)

// Get is a field's value, empty when absent; more than one value is none. The name must be in canonical form.
func (h *Head) Get(name string) string {
	if values := h.fields[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}

// Count is how often a field stands in the head. The name must be in canonical form.
func (h *Head) Count(name string) int { return len(h.fields[name]) }

// hopByHop fields are for the next hop alone (RFC 9110, 7.6.1), as are those that Connection names; the framing of what is
// passed on is its sender's own.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true}

// AppendForward appends the fields that a proxy has to pass on, known to it or not, but for those that it sets itself (own, in
// canonical form).
func (h *Head) AppendForward(text []byte, own ...string) []byte {
	named := h.connectionOptions()
	for i, option := range named {
		named[i] = textproto.CanonicalMIMEHeaderKey(option)
	}
	for _, name := range slices.Sorted(maps.Keys(h.fields)) {
		if hopByHop[name] || slices.Contains(own, name) || slices.Contains(named, name) {
			continue
		}
		for _, value := range h.fields[name] {
			text = AppendField(text, name, value)
		}
	}
	return text
}

// connectionOptions are the tokens of all Connection fields.
func (h *Head) connectionOptions() (options []string) {
	for _, value := range h.fields["Connection"] {
		for _, option := range strings.Split(value, ",") {
			options = append(options, strings.TrimSpace(option))
		}
	}
	return options
}

// readFields reads the fields of a head whose start line was read, and how its body is framed.
func (r *Reader) readFields(h *Head) (err error) {
	if h.fields, err = r.text.ReadMIMEHeader(); err != nil {
		return r.cause(err)
	}
	if err := checkFields(h.fields); err != nil {
		return err
	}
	for _, option := range h.connectionOptions() {
		h.Close = h.Close || strings.EqualFold(option, "close")
	}
	h.Length, err = framing(h)
	return err
}

// checkFields checks the bounds of fields, and that none holds what a less strict reader could take for another field.
func checkFields(fields textproto.MIMEHeader) error {
	n := 0
	for name, values := range fields {
		if strings.IndexFunc(name, notVisible) >= 0 {
			return malformed(400, "malformed field name")
		}
		for _, value := range values {
			if n++; n > maxFields || len(value) > maxLine {
				return malformed(431, "fields longer or more than allowed")
			}
			if strings.IndexFunc(value, isControl) >= 0 {
				return malformed(400, "control character in field %s", clip(name))
			}
		}
	}
	return nil
}

func notVisible(r rune) bool { return r <= ' ' || r >= 0x7f }

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// framing is how the end of a body is found. A message that gives two ways is an error and not guessed at: the next hop might
// take the other way, and another message might hide in the body (request smuggling).
func framing(h *Head) (int64, error) {
	length, coding := h.fields["Content-Length"], h.fields["Transfer-Encoding"]
	switch {
	case len(length) > 0 && len(coding) > 0:
		return 0, malformed(400, "both Content-Length and Transfer-Encoding")
	case len(length) > 1:
		return 0, malformed(400, "%d lengths", len(length))
	case len(coding) > 1 || len(coding) == 1 && !strings.EqualFold(coding[0], "chunked"):
		return 0, malformed(501, "transfer coding %q", clip(strings.Join(coding, ", ")))
	case len(coding) == 1:
		return Chunked, nil
	case len(length) == 0:
		return UntilEnd, nil
	}
	n, ok := ParseDigits(length[0])
	if !ok {
		return 0, malformed(400, "length %q is no whole number", clip(length[0]))
	}
	return n, nil
}

// ParseDigits reads a number of digits only, without a sign, of at most 18 digits; ok is false for all else.
func ParseDigits(text string) (n int64, ok bool) {
	if text == "" || len(text) > 18 || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// clip bounds what an error quotes.
func clip(text string) string {
	const most = 32
	if len(text) > most {
		return text[:most] + "..."
	}
	return text
}
