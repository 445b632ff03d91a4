// Package decide holds the object API's decisions: conditions and ranges (RFC 9110), which pieces of which extents a read takes, where an
// extent goes, what a multipart upload comes to, what the sweep may remove, what a command's end means to a client. It has no
// I/O, clock or goroutine.
package decide

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Current is an object as it stands; a nil one does not exist.
type Current struct {
	ETag     string // without quotes
	Modified time.Time
	Size     int64
}

// Verdict on a request's conditions.
type Verdict int

// The verdicts.
const (
	Proceed Verdict = iota
	NotModified
	Failed // a precondition: status 412
)

// Conditions weighs preconditions in the order of RFC 9110, section 13.2.2. read: GET or HEAD.
func Conditions(h http.Header, c *Current, read bool) Verdict {
	if m := h.Get("If-Match"); m != "" {
		if !matches(m, c, false) {
			return Failed
		}
	} else if s, err := http.ParseTime(h.Get("If-Unmodified-Since")); err == nil && c != nil && c.Modified.Truncate(time.Second).After(s) {
		return Failed
	}
	if m := h.Get("If-None-Match"); m != "" {
		if matches(m, c, true) {
			if read {
				return NotModified
			}
			return Failed
		}
	} else if s, err := http.ParseTime(h.Get("If-Modified-Since")); read && err == nil && c != nil && !c.Modified.Truncate(time.Second).After(s) {
		return NotModified
	}
	return Proceed
}

// matches compares entity tags (section 8.8.3.2): weakly, or strongly, by which a weak tag matches nothing.
func matches(list string, c *Current, weak bool) bool {
	if strings.TrimSpace(list) == "*" {
		return c != nil
	}
	if c == nil {
		return false
	}
	for _, t := range strings.Split(list, ",") {
		t = strings.TrimSpace(t)
		if w, ok := strings.CutPrefix(t, "W/"); ok {
			if !weak {
				continue
			}
			t = w
		}
		if strings.Trim(t, `"`) == c.ETag {
			return true
		}
	}
	return false
}

// Range is a stretch of an object's bytes.
type Range struct{ From, Size int64 }

// Most ranges that are answered; more are taken as an attempt to make work (section 17.15).
const mostRanges = 16

// Ranges reads a Range field (section 14). none: there is none, it can't be read, or If-Range does not hold: the whole object is
// answered. unsatisfiable: 416. Ranges that overlap or touch become one.
func Ranges(h http.Header, c *Current) (all []Range, none, unsatisfiable bool) {
	spec, ok := strings.CutPrefix(strings.ReplaceAll(h.Get("Range"), " ", ""), "bytes=")
	if !ok || spec == "" {
		return nil, true, false
	}
	if ir := h.Get("If-Range"); ir != "" { // section 13.1.5: strong comparison, or the exact date
		if t, err := http.ParseTime(ir); err == nil {
			if !c.Modified.Truncate(time.Second).Equal(t) {
				return nil, true, false
			}
		} else if strings.HasPrefix(ir, "W/") || strings.Trim(ir, `"`) != c.ETag {
			return nil, true, false
		}
	}
	parts := strings.Split(spec, ",")
	if len(parts) > mostRanges {
		return nil, true, false
	}
	for _, p := range parts {
		a, b, ok := strings.Cut(p, "-")
		if !ok || a == "" && b == "" {
			return nil, true, false
		}
		var r Range
		switch a {
		case "": // the last so many
			n, err := strconv.ParseInt(b, 10, 64)
			if err != nil || n < 0 {
				return nil, true, false
			}
			n = min(n, c.Size)
			r = Range{c.Size - n, n}
		default:
			from, err := strconv.ParseInt(a, 10, 64)
			to := c.Size - 1
			if err != nil || from < 0 {
				return nil, true, false
			}
			if b != "" {
				if to, err = strconv.ParseInt(b, 10, 64); err != nil || to < from {
					return nil, true, false
				}
				to = min(to, c.Size-1)
			}
			r = Range{from, to - from + 1}
		}
		if r.Size > 0 && r.From < c.Size {
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		return nil, false, true
	}
	if len(all) > 1 {
		slices.SortFunc(all, func(a, b Range) int { return int(min(max(a.From-b.From, -1), 1)) })
		out := all[:1]
		for _, r := range all[1:] {
			last := &out[len(out)-1]
			if r.From <= last.From+last.Size {
				last.Size = max(last.Size, r.From+r.Size-last.From)
			} else {
				out = append(out, r)
			}
		}
		all = out
	}
	return all, false, false
}

// ContentRange is the field's value.
func (r Range) ContentRange(size int64) string {
	return fmt.Sprintf("bytes %d-%d/%d", r.From, r.From+r.Size-1, size)
}
