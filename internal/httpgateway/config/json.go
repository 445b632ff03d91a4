package config

import (
	"time"

	"github.com/valyala/fastjson"
)

// stringAt returns the string at a path of keys, or "" if there is none.
func stringAt(v *fastjson.Value, keys ...string) string { return string(v.GetStringBytes(keys...)) }

// microseconds returns the number of microseconds at a path of keys as a duration, or 0 if there is none.
func microseconds(v *fastjson.Value, keys ...string) time.Duration {
	return time.Duration(v.GetFloat64(keys...)) * time.Microsecond
}
