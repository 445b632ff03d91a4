package decide

import (
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"weirhaven/internal/pb"
)

var day = time.Date(2026, 3, 1, 12, 0, 0, 500, time.UTC)

// Checks preconditions in the order of RFC 9110, section 13.2.2.
func TestPreconditions(t *testing.T) {
	existing := &Representation{ETag: "a", Modified: day, Size: 10}
	at := func(d time.Duration) string { return day.Add(d).Format(http.TimeFormat) }
	for _, row := range []struct {
		fields string
		cur    *Representation
		read   bool
		want   Verdict
	}{
		{"", existing, true, Proceed}, {`If-Match: "a"`, existing, true, Proceed}, {`If-Match: "b"`, existing, true, PreconditionFails}, {`If-Match: "b", "a"`, existing, false, Proceed},
		{`If-Match: W/"a"`, existing, true, PreconditionFails}, {`If-Match: *`, existing, false, Proceed}, {`If-Match: *`, nil, false, PreconditionFails}, {`If-Match: "a"`, nil, false, PreconditionFails},
		{`If-None-Match: "a"`, existing, true, NotModified}, {`If-None-Match: W/"a"`, existing, true, NotModified}, {`If-None-Match: "a"`, existing, false, PreconditionFails},
		{`If-None-Match: *`, existing, false, PreconditionFails}, {`If-None-Match: *`, nil, false, Proceed}, {`If-None-Match: "b"`, existing, true, Proceed},
		{"If-Modified-Since: " + at(0), existing, true, NotModified}, {"If-Modified-Since: " + at(-time.Hour), existing, true, Proceed},
		{"If-Modified-Since: " + at(0), existing, false, Proceed}, {"If-Modified-Since: some day", existing, true, Proceed},
		{"If-Unmodified-Since: " + at(0), existing, true, Proceed}, {"If-Unmodified-Since: " + at(-time.Hour), existing, false, PreconditionFails},
		{`If-Match: "a"|If-Unmodified-Since: ` + at(-time.Hour), existing, true, Proceed},   // the date is ignored if there is a tag condition
		{`If-None-Match: "b"|If-Modified-Since: ` + at(time.Hour), existing, true, Proceed}, // as above
		{`If-Match: "a"|If-None-Match: "a"`, existing, true, NotModified},
	} {
		h := http.Header{}
		for _, f := range strings.Split(row.fields, "|") {
			if k, v, ok := strings.Cut(f, ": "); ok {
				h.Set(k, v)
			}
		}
		if got := EvaluatePreconditions(h, row.cur, row.read); got != row.want {
			t.Errorf("%s, object exists %v, read %v: %v, want %v", row.fields, row.cur != nil, row.read, got, row.want)
		}
	}
}

// Checks range requests on an object of ten bytes (RFC 9110, section 14).
func TestRanges(t *testing.T) {
	existing := &Representation{ETag: "a", Modified: day, Size: 10}
	for spec, want := range map[string]string{
		"bytes=0-0": "[{0 1}]", "bytes=2-": "[{2 8}]", "bytes=-3": "[{7 3}]", "bytes=-30": "[{0 10}]", "bytes=5-100": "[{5 5}]", "bytes=9-9": "[{9 1}]",
		"bytes=10-": "416", "bytes=-0": "416", "bytes=20-30,40-": "416", "bytes=0-1,20-30": "[{0 2}]",
		"bytes=0-1,4-5": "[{0 2} {4 2}]", "bytes=4-5,0-1": "[{0 2} {4 2}]", "bytes=0-4,2-6": "[{0 7}]", "bytes=0-1,2-3": "[{0 4}]",
		"": "all", "bytes=": "all", "bytes=a-b": "all", "bytes=5-2": "all", "lines=0-1": "all", "bytes=-": "all", "bytes=1": "all", "bytes=--1": "all",
		"bytes=" + strings.Repeat("0-0,", 16) + "1-1": "all",
	} {
		ranges, fault := ParseRanges(http.Header{"Range": {spec}}, existing)
		got := fmt.Sprint(ranges)
		if fault != nil {
			got = fmt.Sprint(fault.Status)
		} else if ranges == nil {
			got = "all"
		}
		if got != want {
			t.Errorf("%q: %s, want %s", spec, got, want)
		}
	}
	for ifRange, whole := range map[string]bool{`"a"`: false, `"b"`: true, `W/"a"`: true, day.Format(http.TimeFormat): false, day.Add(time.Hour).Format(http.TimeFormat): true} {
		if ranges, fault := ParseRanges(http.Header{"Range": {"bytes=0-1"}, "If-Range": {ifRange}}, existing); (ranges == nil) != whole || fault != nil {
			t.Errorf("If-Range %s: %v %v", ifRange, ranges, fault)
		}
	}
	if r := (Range{2, 3}); r.ContentRange(10) != "bytes 2-4/10" {
		t.Error(r.ContentRange(10))
	}
}

// Guards against missing, repeated or wrong bytes when a random range is read from random extents.
func TestExtentRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var extents []*pb.ExtentRecord
		var whole []byte
		parts := map[string][]byte{}
		for i := range rapid.IntRange(0, 6).Draw(t, "extents") {
			b := rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "bytes")
			e := &pb.ExtentRecord{Id: fmt.Sprint(i), Size: int64(len(b))}
			extents, whole, parts[e.Id] = append(extents, e), append(whole, b...), b
		}
		if len(whole) == 0 {
			return
		}
		from := rapid.IntRange(0, len(whole)-1).Draw(t, "from")
		size := rapid.IntRange(1, len(whole)-from).Draw(t, "size")
		var got []byte
		for _, p := range ExtentRanges(extents, Range{int64(from), int64(size)}) {
			got = append(got, parts[p.Extent.Id][p.From:p.From+p.Size]...)
		}
		if string(got) != string(whole[from:from+size]) {
			t.Fatalf("%q, want %q", got, whole[from:from+size])
		}
	})
}

func FuzzRanges(f *testing.F) {
	f.Add("bytes=0-1,-5", int64(10))
	f.Fuzz(func(t *testing.T, spec string, size int64) {
		if size < 0 {
			return
		}
		ranges, _ := ParseRanges(http.Header{"Range": {spec}}, &Representation{Size: size})
		end := int64(-1)
		for _, r := range ranges {
			if r.From <= end || r.Size <= 0 || r.From < 0 || r.From+r.Size > size {
				t.Fatalf("%q of %d: %v", spec, size, ranges)
			}
			end = r.From + r.Size
		}
	})
}

// Guards against an uneven distribution of extents over shards, and against removing a shard moving the extents of other shards.
func TestShardRanking(t *testing.T) {
	shards := []uint32{1, 2, 3, 4, 5}
	count := map[uint32]int{}
	for i := range 5000 {
		id := fmt.Sprint(i)
		first := RankShards(shards, id)[0]
		count[first]++
		if firstOfFewer := RankShards([]uint32{1, 2, 4, 5}, id)[0]; first != 3 && firstOfFewer != first {
			t.Fatal("an extent moved although its shard was not removed")
		}
	}
	for shard, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("shard %d: %d of 5000", shard, n)
		}
	}
}

// An upload is completed with three of its four parts. Completing it fails with the matching fault if a part was not uploaded, is out of
// order, has a different entity tag or is too small, or if no part is listed.
func TestCompleteUpload(t *testing.T) {
	part := func(n uint32, size int64) *pb.PartRecord {
		d := md5.Sum([]byte{byte(n)})
		return &pb.PartRecord{Number: n, Etag: hex.EncodeToString(d[:]), Size: size, Extent: []*pb.ExtentRecord{{Id: fmt.Sprint("x", n), Size: size}}}
	}
	parts := []*pb.PartRecord{part(1, 10), part(2, 10), part(5, 3), part(9, 1)}
	named := func(ns ...uint32) (all []CompletedPart) {
		for _, n := range ns {
			all = append(all, CompletedPart{n, part(n, 0).Etag})
		}
		return all
	}
	object, fault := CompleteUpload(named(1, 2, 5), parts, 10)
	if fault != nil || len(object.Extents) != 3 || len(object.Unused) != 1 || object.Unused[0].Id != "x9" || object.Size != 23 || !strings.HasSuffix(object.ETag, "-3") {
		t.Error(object, fault)
	}
	for code, n := range map[string][]CompletedPart{"InvalidPartOrder": named(2, 1), "InvalidPart": named(1, 3), "EntityTooSmall": named(1, 5, 9), "MalformedXML": nil} {
		if _, fault := CompleteUpload(n, parts, 10); fault == nil || fault.Code != code {
			t.Errorf("%v: %v, want %s", n, fault, code)
		}
	}
	if _, fault := CompleteUpload([]CompletedPart{{1, "other"}}, parts, 10); fault == nil || fault.Code != "InvalidPart" {
		t.Error(fault)
	}
}

// Guards against removing an extent that is still needed: one that is referenced, one that a read in progress may use, or a recent
// intended one.
func TestRemovableExtents(t *testing.T) {
	unreferenced := func(id string, since int64, abandoned bool) *pb.LooseRecord {
		return &pb.LooseRecord{Extent: &pb.ExtentRecord{Id: id}, Since: since, Doomed: abandoned}
	}
	var got []string
	for _, l := range RemovableExtents([]*pb.LooseRecord{unreferenced("young", 95, false), unreferenced("old", 10, false), unreferenced("abandoned", 90, true), unreferenced("read", 99, true), unreferenced("referenced", 1, true)},
		func(id string) bool { return id == "referenced" }, 100, 50, 95) {
		got = append(got, l.Extent.Id)
	}
	if !slices.Equal(got, []string{"old", "abandoned"}) {
		t.Error(got)
	}
}
