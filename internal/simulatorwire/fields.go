package simulatorwire

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/valyala/fastjson"
)

// fieldReader reads required fields of a JSON object. err is the error for the first field that is missing or of the wrong type;
// after an error, all reads return zero values.
type fieldReader struct {
	object *fastjson.Value
	err    error
}

func (r *fieldReader) integer(name string) int64 {
	field := r.field(name)
	if field == nil {
		return 0
	}
	n, err := field.Int64()
	if err != nil {
		r.err = fmt.Errorf("%s is not a whole number", name)
		return 0
	}
	return n
}

// micros reads a duration, or a time on the simulator's clock, in microseconds.
func (r *fieldReader) micros(name string) time.Duration {
	return time.Duration(r.integer(name)) * time.Microsecond
}

func (r *fieldReader) text(name string) string {
	field := r.field(name)
	if field == nil {
		return ""
	}
	s, err := field.StringBytes()
	if err != nil {
		r.err = fmt.Errorf("%s is not text", name)
		return ""
	}
	return string(s)
}

func (r *fieldReader) base64(name string) []byte {
	text := r.text(name)
	if r.err != nil {
		return nil
	}
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		r.err = fmt.Errorf("%s is not base64", name)
		return nil
	}
	return data
}

func (r *fieldReader) array(name string) *fastjson.Value {
	field := r.field(name)
	if field != nil && field.Type() != fastjson.TypeArray {
		r.err = fmt.Errorf("no %s", name)
	}
	return field
}

// field returns a field's value. It returns nil and sets err if the field is missing, and returns nil after an error.
func (r *fieldReader) field(name string) *fastjson.Value {
	if r.err != nil {
		return nil
	}
	field := r.object.Get(name)
	if field == nil {
		r.err = fmt.Errorf("no %s", name)
	}
	return field
}
