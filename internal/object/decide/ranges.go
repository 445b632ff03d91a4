package decide

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Range is a byte range of an object.
type Range struct{ From, Size int64 }

// ContentRange returns the value of the Content-Range header for an object of size bytes.
func (r Range) ContentRange(size int64) string {
	return fmt.Sprintf("bytes %d-%d/%d", r.From, r.From+r.Size-1, size)
}

// maxRanges is the maximum number of ranges in one request. A Range header with more is ignored, because many small ranges are a
// denial-of-service attack (RFC 9110, section 17.15).
const maxRanges = 16

// ParseRanges parses the Range and If-Range headers (RFC 9110, sections 14.2 and 13.1.5). It merges ranges that overlap or touch and
// returns them in ascending order. An empty result without a fault means that the whole object is to be sent: there is no Range header,
// it can't be parsed, it has more than maxRanges ranges, or If-Range does not hold. The fault is InvalidRange if no range lies within
// the object.
func ParseRanges(header http.Header, current *Representation) ([]Range, *Fault) {
	list, ok := strings.CutPrefix(strings.ReplaceAll(header.Get("Range"), " ", ""), "bytes=")
	if !ok || list == "" || !ifRangeHolds(header.Get("If-Range"), current) {
		return nil, nil
	}
	specs := strings.Split(list, ",")
	if len(specs) > maxRanges {
		return nil, nil
	}
	var ranges []Range
	for _, spec := range specs {
		r, ok := parseRange(spec, current.Size)
		if !ok {
			return nil, nil
		}
		if r.Size > 0 && r.From < current.Size {
			ranges = append(ranges, r)
		}
	}
	if len(ranges) == 0 {
		fault := InvalidRange
		return nil, &fault
	}
	return mergeRanges(ranges), nil
}

// ifRangeHolds reports whether If-Range holds: the entity tag matches in strong comparison, or the date is exactly the modification
// date. An absent header holds.
func ifRangeHolds(value string, current *Representation) bool {
	if value == "" {
		return true
	}
	if date, err := http.ParseTime(value); err == nil {
		return current.Modified.Truncate(time.Second).Equal(date)
	}
	return !strings.HasPrefix(value, "W/") && strings.Trim(value, `"`) == current.ETag
}

// parseRange parses FIRST-LAST, FIRST- or -LENGTH for an object of size bytes. The range may be empty or start beyond the end of the
// object.
func parseRange(spec string, size int64) (r Range, ok bool) {
	first, last, ok := strings.Cut(spec, "-")
	if !ok || first == "" && last == "" {
		return Range{}, false
	}
	if first == "" {
		return parseSuffix(last, size)
	}
	from, err := strconv.ParseInt(first, 10, 64)
	if err != nil || from < 0 {
		return Range{}, false
	}
	to := size - 1
	if last != "" {
		if to, err = strconv.ParseInt(last, 10, 64); err != nil || to < from {
			return Range{}, false
		}
		to = min(to, size-1)
	}
	return Range{from, to - from + 1}, true
}

// parseSuffix returns the range of an object's last bytes, for an object of size bytes.
func parseSuffix(length string, size int64) (r Range, ok bool) {
	n, err := strconv.ParseInt(length, 10, 64)
	if err != nil || n < 0 {
		return Range{}, false
	}
	n = min(n, size)
	return Range{size - n, n}, true
}

// mergeRanges sorts ranges and merges those that overlap or touch.
func mergeRanges(ranges []Range) []Range {
	slices.SortFunc(ranges, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	merged := ranges[:1]
	for _, r := range ranges[1:] {
		last := &merged[len(merged)-1]
		if r.From <= last.From+last.Size {
			last.Size = max(last.Size, r.From+r.Size-last.From)
		} else {
			merged = append(merged, r)
		}
	}
	return merged
}
