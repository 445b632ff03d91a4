package lineproto

import (
	"fmt"
	"net/textproto"
	"strconv"
	"time"
)

// Bounds of field values. Larger numbers would overflow or lose precision in later arithmetic.
const (
	maxNumber = 1e18
	maxMicros = 1 << 50
)

// Message is a received message. It owns its body.
type Message struct {
	Verb   string
	ID     uint64               // 0: none
	Fields textproto.MIMEHeader // fields by canonical name
	Body   []byte
}

// Get returns the value of a field, or an empty string if it is absent. The name must be canonical (Like-This).
func (m *Message) Get(name string) string {
	if values := m.Fields[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// Int returns the value of an integer field, or defaultValue if it is absent.
func (m *Message) Int(name string, defaultValue int64) (int64, error) {
	text := m.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is not a whole number", name, clip(text))
	}
	return n, nil
}

// Float returns the value of a field that holds a finite number, or defaultValue if it is absent.
func (m *Message) Float(name string, defaultValue float64) (float64, error) {
	text := m.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	isNaN := n != n
	if err != nil || isNaN || n > maxNumber || n < -maxNumber {
		return 0, fmt.Errorf("%s: %q is not a number", name, clip(text))
	}
	return n, nil
}

// Duration returns the value of a field that holds a duration in microseconds, or defaultValue if it is absent.
func (m *Message) Duration(name string, defaultValue time.Duration) (time.Duration, error) {
	n, err := m.Int(name, defaultValue.Microseconds())
	if err == nil && (n > maxMicros || n < -maxMicros) {
		err = fmt.Errorf("%s: %d us is too long", name, n)
	}
	return time.Duration(n) * time.Microsecond, err
}

// clip truncates text received from a peer for use in an error message.
func clip(s string) string {
	const most = 32
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
