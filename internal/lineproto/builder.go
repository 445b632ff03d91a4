package lineproto

import (
	"strconv"
	"time"
)

// Builder builds messages in one buffer, so that they can be sent in a single write. The zero value is an empty buffer. Field names
// must be canonical (Like-This).
type Builder struct{ Buffer []byte }

// Start starts a message. It omits an id of 0.
func (b *Builder) Start(verb string, id uint64) *Builder {
	b.Buffer = append(b.Buffer, verb...)
	if id != 0 {
		b.Buffer = strconv.AppendUint(append(b.Buffer, ' '), id, 10)
	}
	b.Buffer = append(b.Buffer, "\r\n"...)
	return b
}

// Text adds a field, or none if value is empty. It replaces control characters by spaces, so that a value can't end the field.
func (b *Builder) Text(name, value string) *Builder {
	if value == "" {
		return b
	}
	b.Buffer = append(append(b.Buffer, name...), ": "...)
	for i := range len(value) {
		if c := value[i]; isControl(rune(c)) {
			b.Buffer = append(b.Buffer, ' ')
		} else {
			b.Buffer = append(b.Buffer, c)
		}
	}
	b.Buffer = append(b.Buffer, "\r\n"...)
	return b
}

// Int adds a field that holds a whole number.
func (b *Builder) Int(name string, n int64) *Builder {
	b.Buffer = append(append(b.Buffer, name...), ": "...)
	b.Buffer = append(strconv.AppendInt(b.Buffer, n, 10), "\r\n"...)
	return b
}

// Float adds a field that holds a floating-point number.
func (b *Builder) Float(name string, n float64) *Builder {
	b.Buffer = append(append(b.Buffer, name...), ": "...)
	b.Buffer = append(strconv.AppendFloat(b.Buffer, n, 'g', -1, 64), "\r\n"...)
	return b
}

// Duration adds a field that holds a duration in microseconds.
func (b *Builder) Duration(name string, d time.Duration) *Builder {
	return b.Int(name, d.Microseconds())
}

// End completes the message with its body, which may be nil.
func (b *Builder) End(body []byte) *Builder {
	if len(body) > 0 {
		b.Int(FieldLength, int64(len(body)))
	}
	b.Buffer = append(append(b.Buffer, "\r\n"...), body...)
	return b
}
