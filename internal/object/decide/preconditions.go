package decide

import (
	"net/http"
	"strings"
	"time"
)

// Representation holds the attributes of an object that conditional and range requests depend on. A nil Representation stands for an
// object that does not exist.
type Representation struct {
	ETag     string // without quotes
	Modified time.Time
	Size     int64 // bytes
}

// Verdict is the result of evaluating the preconditions of a request.
type Verdict int

// The verdicts.
const (
	Proceed           Verdict = iota // the request is carried out
	NotModified                      // status 304
	PreconditionFails                // status 412
)

// EvaluatePreconditions evaluates the preconditions of a request in the order of RFC 9110, section 13.2.2. current is nil if the object
// does not exist; read is true for GET and HEAD. A date that can't be parsed is ignored, and so is a date condition if the request has
// the corresponding entity tag condition.
func EvaluatePreconditions(header http.Header, current *Representation, read bool) Verdict {
	if !ifMatchHolds(header, current) {
		return PreconditionFails
	}
	if !ifNoneMatchFails(header, current, read) {
		return Proceed
	}
	if read {
		return NotModified
	}
	return PreconditionFails
}

// ifMatchHolds reports whether If-Match holds or, without that header, If-Unmodified-Since. An absent condition holds.
func ifMatchHolds(header http.Header, current *Representation) bool {
	if tags := header.Get("If-Match"); tags != "" {
		return matchesETag(tags, current, false)
	}
	since, err := http.ParseTime(header.Get("If-Unmodified-Since"))
	return err != nil || current == nil || !current.modifiedAfter(since)
}

// ifNoneMatchFails reports whether If-None-Match fails or, without that header, If-Modified-Since. If-Modified-Since applies to reads only; an
// absent condition does not fail.
func ifNoneMatchFails(header http.Header, current *Representation, read bool) bool {
	if tags := header.Get("If-None-Match"); tags != "" {
		return matchesETag(tags, current, true)
	}
	since, err := http.ParseTime(header.Get("If-Modified-Since"))
	return read && err == nil && current != nil && !current.modifiedAfter(since)
}

// modifiedAfter reports whether the object was modified after date. It compares whole seconds, the resolution of HTTP dates.
func (r *Representation) modifiedAfter(date time.Time) bool {
	return r.Modified.Truncate(time.Second).After(date)
}

// matchesETag reports whether a list of entity tags contains the object's (RFC 9110, section 8.8.3.2). weak selects weak comparison; in
// strong comparison, a weak tag never matches.
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
