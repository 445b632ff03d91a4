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

// RFC 9110, section 13.2.2, row by row.
func TestConditions(t *testing.T) {
	c := &Current{ETag: "a", Modified: day, Size: 10}
	at := func(d time.Duration) string { return day.Add(d).Format(http.TimeFormat) }
	for _, x := range []struct {
		fields string
		cur    *Current
		read   bool
		want   Verdict
	}{
		{"", c, true, Proceed}, {`If-Match: "a"`, c, true, Proceed}, {`If-Match: "b"`, c, true, Failed}, {`If-Match: "b", "a"`, c, false, Proceed},
		{`If-Match: W/"a"`, c, true, Failed}, {`If-Match: *`, c, false, Proceed}, {`If-Match: *`, nil, false, Failed}, {`If-Match: "a"`, nil, false, Failed},
		{`If-None-Match: "a"`, c, true, NotModified}, {`If-None-Match: W/"a"`, c, true, NotModified}, {`If-None-Match: "a"`, c, false, Failed},
		{`If-None-Match: *`, c, false, Failed}, {`If-None-Match: *`, nil, false, Proceed}, {`If-None-Match: "b"`, c, true, Proceed},
		{"If-Modified-Since: " + at(0), c, true, NotModified}, {"If-Modified-Since: " + at(-time.Hour), c, true, Proceed},
		{"If-Modified-Since: " + at(0), c, false, Proceed}, {"If-Modified-Since: some day", c, true, Proceed},
		{"If-Unmodified-Since: " + at(0), c, true, Proceed}, {"If-Unmodified-Since: " + at(-time.Hour), c, false, Failed},
		{`If-Match: "a"|If-Unmodified-Since: ` + at(-time.Hour), c, true, Proceed},   // the date does not count beside the tag
		{`If-None-Match: "b"|If-Modified-Since: ` + at(time.Hour), c, true, Proceed}, // nor here
		{`If-Match: "a"|If-None-Match: "a"`, c, true, NotModified},
	} {
		h := http.Header{}
		for _, f := range strings.Split(x.fields, "|") {
			if k, v, ok := strings.Cut(f, ": "); ok {
				h.Set(k, v)
			}
		}
		if got := Conditions(h, x.cur, x.read); got != x.want {
			t.Errorf("%s, there %v, read %v: %v, want %v", x.fields, x.cur != nil, x.read, got, x.want)
		}
	}
}

// Section 14, row by row; ten bytes.
func TestRanges(t *testing.T) {
	c := &Current{ETag: "a", Modified: day, Size: 10}
	for spec, want := range map[string]string{
		"bytes=0-0": "[{0 1}]", "bytes=2-": "[{2 8}]", "bytes=-3": "[{7 3}]", "bytes=-30": "[{0 10}]", "bytes=5-100": "[{5 5}]", "bytes=9-9": "[{9 1}]",
		"bytes=10-": "416", "bytes=-0": "416", "bytes=20-30,40-": "416", "bytes=0-1,20-30": "[{0 2}]",
		"bytes=0-1,4-5": "[{0 2} {4 2}]", "bytes=4-5,0-1": "[{0 2} {4 2}]", "bytes=0-4,2-6": "[{0 7}]", "bytes=0-1,2-3": "[{0 4}]",
		"": "all", "bytes=": "all", "bytes=a-b": "all", "bytes=5-2": "all", "lines=0-1": "all", "bytes=-": "all", "bytes=1": "all", "bytes=--1": "all",
		"bytes=" + strings.Repeat("0-0,", 16) + "1-1": "all",
	} {
		all, none, bad := Ranges(http.Header{"Range": {spec}}, c)
		got := fmt.Sprint(all)
		if none {
			got = "all"
		} else if bad {
			got = "416"
		}
		if got != want {
			t.Errorf("%q: %s, want %s", spec, got, want)
		}
	}
	for ir, whole := range map[string]bool{`"a"`: false, `"b"`: true, `W/"a"`: true, day.Format(http.TimeFormat): false, day.Add(time.Hour).Format(http.TimeFormat): true} {
		if _, none, _ := Ranges(http.Header{"Range": {"bytes=0-1"}, "If-Range": {ir}}, c); none != whole {
			t.Errorf("If-Range %s: whole %v", ir, none)
		}
	}
	if r := (Range{2, 3}); r.ContentRange(10) != "bytes 2-4/10" {
		t.Error(r.ContentRange(10))
	}
}

// Any ranges read from any extents give the bytes that they name, each once.
func TestPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*pb.ExtentRecord
		var whole []byte
		parts := map[string][]byte{}
		for i := range rapid.IntRange(0, 6).Draw(t, "extents") {
			b := rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "bytes")
			e := &pb.ExtentRecord{Id: fmt.Sprint(i), Size: int64(len(b))}
			all, whole, parts[e.Id] = append(all, e), append(whole, b...), b
		}
		if len(whole) == 0 {
			return
		}
		from := rapid.IntRange(0, len(whole)-1).Draw(t, "from")
		size := rapid.IntRange(1, len(whole)-from).Draw(t, "size")
		var got []byte
		for _, p := range Pieces(all, Range{int64(from), int64(size)}) {
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
		all, _, _ := Ranges(http.Header{"Range": {spec}}, &Current{Size: size})
		end := int64(-1)
		for _, r := range all {
			if r.From <= end || r.Size <= 0 || r.From < 0 || r.From+r.Size > size {
				t.Fatalf("%q of %d: %v", spec, size, all)
			}
			end = r.From + r.Size
		}
	})
}

// Each cell gets its share, and one that goes moves only what was on it.
func TestCells(t *testing.T) {
	cells := []uint32{1, 2, 3, 4, 5}
	count := map[uint32]int{}
	for i := range 5000 {
		id := fmt.Sprint(i)
		first := Cells(cells, id)[0]
		count[first]++
		if less := Cells([]uint32{1, 2, 4, 5}, id)[0]; first != 3 && less != first {
			t.Fatal("moved")
		}
	}
	for c, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("cell %d: %d of 5000", c, n)
		}
	}
}

func TestComplete(t *testing.T) {
	part := func(n uint32, size int64) *pb.PartRecord {
		d := md5.Sum([]byte{byte(n)})
		return &pb.PartRecord{Number: n, Etag: hex.EncodeToString(d[:]), Size: size, Extent: []*pb.ExtentRecord{{Id: fmt.Sprint("x", n), Size: size}}}
	}
	parts := []*pb.PartRecord{part(1, 10), part(2, 10), part(5, 3), part(9, 1)}
	name := func(ns ...uint32) (all []CompletedPart) {
		for _, n := range ns {
			all = append(all, CompletedPart{n, part(n, 0).Etag})
		}
		return all
	}
	extents, rest, size, etag, f := Complete(name(1, 2, 5), parts, 10)
	if f != nil || len(extents) != 3 || len(rest) != 1 || rest[0].Id != "x9" || size != 23 || !strings.HasSuffix(etag, "-3") {
		t.Error(extents, rest, size, etag, f)
	}
	for code, n := range map[string][]CompletedPart{"InvalidPartOrder": name(2, 1), "InvalidPart": name(1, 3), "EntityTooSmall": name(1, 5, 9), "MalformedXML": nil} {
		if _, _, _, _, f := Complete(n, parts, 10); f == nil || f.Code != code {
			t.Errorf("%v: %v, want %s", n, f, code)
		}
	}
	if _, _, _, _, f := Complete([]CompletedPart{{1, "other"}}, parts, 10); f == nil || f.Code != "InvalidPart" {
		t.Error(f)
	}
}

// The sweep takes what nothing holds and no writer can be at, never what is held or may be read.
func TestSweep(t *testing.T) {
	loose := func(id string, since int64, doomed bool) *pb.LooseRecord {
		return &pb.LooseRecord{Extent: &pb.ExtentRecord{Id: id}, Since: since, Doomed: doomed}
	}
	var got []string
	for _, l := range Sweep([]*pb.LooseRecord{loose("young", 95, false), loose("old", 10, false), loose("doomed", 90, true), loose("read", 99, true), loose("held", 1, true)},
		func(id string) bool { return id == "held" }, 100, 50, 95) {
		got = append(got, l.Extent.Id)
	}
	if !slices.Equal(got, []string{"old", "doomed"}) {
		t.Error(got)
	}
}
