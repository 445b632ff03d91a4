package decide

import (
	"net/http"
	"strings"
	"time"
)

// Representation is an object as it stands, as far as conditions and ranges look at it; a nil one does not exist.
type Representation struct {
	ETag     string // without quotes
	Modified time.Time
	Size     int64 // bytes
}

// Verdict is what the preconditions of a request come to.
type Verdict int

// The verdicts.
const (
	Proceed           Verdict = iota
	NotModified               // status 304
	PreconditionFails         // status 412
)

// EvaluatePreconditions evaluates the preconditions of a request in the order of RFC 9110, section 13.2.2. A nil current stands for no
// object; read is true for GET and HEAD. Dates that can't be parsed are ignored, as are dates next to an entity tag condition.
func EvaluatePreconditions(header http.Header, current *Representation, read bool) Verdict {
	if !mayProceed(header, current) {
		return PreconditionFails
	}
	if !unchanged(header, current, read) {
		return Proceed
	}
	if read {
		return NotModified
	}
	return PreconditionFails
}

// mayProceed evaluates If-Match, or in its absence If-Unmodified-Since.
func mayProceed(header http.Header, current *Representation) bool {
	if tags := header.Get("If-Match"); tags != "" {
		return matchesETag(tags, current, false)
	}
	since, err := http.ParseTime(header.Get("If-Unmodified-Since"))
	return err != nil || current == nil || !current.modifiedAfter(since)
}

// unchanged evaluates If-None-Match, or in its absence If-Modified-Since, which counts for reads only.
func unchanged(header http.Header, current *Representation, read bool) bool {
	if tags := header.Get("If-None-Match"); tags != "" {
		return matchesETag(tags, current, true)
	}
	since, err := http.ParseTime(header.Get("If-Modified-Since"))
	return read && err == nil && current != nil && !current.modifiedAfter(since)
}

// modifiedAfter compares in whole seconds, the unit of dates in HTTP.
func (r *Representation) modifiedAfter(date time.Time) bool {
	return r.Modified.Truncate(time.Second).After(date)
}

// matchesETag compares a list of entity tags with the object's (section 8.8.3.2): weakly, or strongly, by which a weak tag matches
// nothing.
func matchesETag(list string, current *Representation, weak bool) bool {
	if strings.TrimSpace(list) == "*" {
		return current != nil
	}
	if current == nil {
		return false
	}
	for _, tag := range strings.Split(list, ",") {
		tag, isWeak := strings.CutPrefix(strings.TrimSpace(tag), "W/")
		if isWeak && !weak {
			continue
		}
		if strings.Trim(tag, `"`) == current.ETag {
			return true
		}
	}
	return false
}
