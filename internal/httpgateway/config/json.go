package config

import (
	"time"

	"github.com/valyala/fastjson"
)

// stringAt is the text at a path of keys, empty if there is none.
func stringAt(v *fastjson.Value, keys ...string) string { return string(v.GetStringBytes(keys...)) }

// microseconds is the number of microseconds at a path of keys, 0 if there is none.
func microseconds(v *fastjson.Value, keys ...string) time.Duration {
	return time.Duration(v.GetFloat64(keys...)) * time.Microsecond
}
