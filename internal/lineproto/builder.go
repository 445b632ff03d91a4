package lineproto

import (
	"strconv"
	"time"
)

// Out builds messages in one buffer, to be written in one go. The zero value is an empty buffer. The names of fields have to be
// canonical (Like-This).
type Out struct{ B []byte }

// Start begins a message; id 0 is left out.
func (o *Out) Start(verb string, id uint64) *Out {
	o.B = append(o.B, verb...)
	if id != 0 {
		o.B = strconv.AppendUint(append(o.B, ' '), id, 10)
	}
	o.B = append(o.B, "\r\n"...)
	return o
}

// Text adds a field. An empty value adds none, and control characters in it become spaces, so that no value can end the
// field.
func (o *Out) Text(name, value string) *Out {
	if value == "" {
		return o
	}
	o.B = append(append(o.B, name...), ": "...)
	for i := range len(value) {
		if c := value[i]; isControl(rune(c)) {
			o.B = append(o.B, ' ')
		} else {
			o.B = append(o.B, c)
		}
	}
	o.B = append(o.B, "\r\n"...)
	return o
}

// Whole adds a field that holds a whole number.
func (o *Out) Whole(name string, n int64) *Out {
	o.B = append(append(o.B, name...), ": "...)
	o.B = append(strconv.AppendInt(o.B, n, 10), "\r\n"...)
	return o
}

// Number adds a field that holds a number.
func (o *Out) Number(name string, n float64) *Out {
	o.B = append(append(o.B, name...), ": "...)
	o.B = append(strconv.AppendFloat(o.B, n, 'g', -1, 64), "\r\n"...)
	return o
}

// Micros adds a field that holds a time in microseconds.
func (o *Out) Micros(name string, d time.Duration) *Out { return o.Whole(name, d.Microseconds()) }

// End completes the message with its body, which may be nil.
func (o *Out) End(body []byte) *Out {
	if len(body) > 0 {
		o.Whole(FieldLength, int64(len(body)))
	}
	o.B = append(append(o.B, "\r\n"...), body...)
	return o
}
