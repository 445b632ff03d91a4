package http1

import (
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Head is the start line and the header fields of a message.
type Head struct {
	Method, Target string // set for a request
	Status         int    // set for a response
	Close          bool   // true: the sender closes the connection after this message
	Length         int64  // length of the body in bytes, or Chunked or UntilEnd
	fields         []field
}

// Values of Head.Length for a body of unknown length.
const (
	Chunked  = -1 // the body ends with its last chunk
	UntilEnd = -2 // the body ends when the connection is closed
)

// Get returns the value of a field, or "" if the field is absent or occurs more than once. The name must be in canonical form.
func (h *Head) Get(name string) string {
	if values := h.values(name); len(values) == 1 {
		return values[0]
	}
	return ""
}

// values returns the values of a field in their order.
func (h *Head) values(name string) (values []string) {
	for _, f := range h.fields {
		if f.name == name {
			values = append(values, f.value)
		}
	}
	return values
}

// Size returns the number of bytes that the start line and the fields take.
func (h *Head) Size() (size int) {
	for _, f := range h.fields {
		size += len(f.name) + len(f.value) + len(": \r\n")
	}
	return size + len(h.Method) + len(h.Target)
}

// Count returns the number of occurrences of a field. The name must be in canonical form.
func (h *Head) Count(name string) int { return len(h.values(name)) }

// hopByHop is the set of fields that are not forwarded (RFC 9110, 7.6.1), besides those that Connection names. It includes the
// framing fields, since each sender frames the forwarded message itself.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true}

// AppendForward appends the fields that a proxy has to forward, including unknown ones, except those that it sets itself (own,
// in canonical form).
func (h *Head) AppendForward(text []byte, own ...string) []byte {
	named := h.connectionOptions()
	for i, option := range named {
		named[i] = textproto.CanonicalMIMEHeaderKey(option)
	}
	sorted := slices.Clone(h.fields)
	slices.SortStableFunc(sorted, func(a, b field) int { return strings.Compare(a.name, b.name) })
	for _, f := range sorted {
		if !hopByHop[f.name] && !slices.Contains(own, f.name) && !slices.Contains(named, f.name) {
			text = AppendField(text, f.name, f.value)
		}
	}
	return text
}

// connectionOptions returns the tokens of all Connection fields.
func (h *Head) connectionOptions() (options []string) {
	for _, value := range h.values("Connection") {
		for _, option := range strings.Split(value, ",") {
			options = append(options, strings.TrimSpace(option))
		}
	}
	return options
}

// startLine reads the first line of a head. It releases the charge of the previous head.
func (r *Reader) startLine() (string, error) {
	r.ReleaseHead()
	line, err := r.readLine(maxHead)
	if err != nil {
		return "", err
	}
	if len(line) > maxLine {
		return "", malformed(431, "start line longer than %d bytes", maxLine)
	}
	return string(line), r.chargeHead(len(line))
}

// readRest reads the fields that follow the start line, in at most limit bytes, and sets Length and Close from them.
func (r *Reader) readRest(h *Head, limit int) (err error) {
	if h.fields, err = r.readFields(limit); err != nil {
		return err
	}
	for _, option := range h.connectionOptions() {
		h.Close = h.Close || strings.EqualFold(option, "close")
	}
	h.Length, err = framing(h)
	return err
}

func notVisible(r rune) bool { return r <= ' ' || r >= 0x7f }

// framing returns the length of the body, or how its end is found. A message with contradicting framing fields is an error:
// the next hop might interpret them differently, so that another message could hide in the body (request smuggling).
func framing(h *Head) (int64, error) {
	length, coding := h.values("Content-Length"), h.values("Transfer-Encoding")
	switch {
	case len(length) > 0 && len(coding) > 0:
		return 0, malformed(400, "both Content-Length and Transfer-Encoding")
	case len(length) > 1:
		return 0, malformed(400, "%d Content-Length fields", len(length))
	case len(coding) > 1 || len(coding) == 1 && !strings.EqualFold(coding[0], "chunked"):
		return 0, malformed(501, "unsupported transfer coding %q", clip(strings.Join(coding, ", ")))
	case len(coding) == 1:
		return Chunked, nil
	case len(length) == 0:
		return UntilEnd, nil
	}
	n, ok := ParseDigits(length[0])
	if !ok {
		return 0, malformed(400, "invalid Content-Length %q", clip(length[0]))
	}
	return n, nil
}

// ParseDigits parses a non-negative decimal number of at most 18 digits, without a sign; ok is false for any other text.
func ParseDigits(text string) (n int64, ok bool) {
	if text == "" || len(text) > 18 || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// clip shortens a text to be quoted in an error.
func clip(text string) string {
	const maxLength = 32 // bytes
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}
