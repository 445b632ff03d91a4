package index

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/pb"
)

const (
	storedMoment = 1_790_000_000 * time.Second // time at which the newest object of the sample was written, since 1970
	storedTag    = "9e107d9d372bb6826bd81d3542a419d6"
	storedPart1  = "e4d909c290d0fb1ca068ffaddf22cbd0"
	storedPart2  = "d41d8cd98f00b204e9800998ecf8427e"
	storedUpload = "upload-1"
)

// storedObjects returns the objects of volume-1 in the sample, sorted by name.
func storedObjects() []*pb.ObjectRecord {
	return []*pb.ObjectRecord{
		{Volume: "volume-1", Name: "drawings/bridge.dwg", Etag: storedTag, Size: 262144 + 17, Modified: int64(storedMoment), ContentType: "image/vnd.dwg",
			Meta: map[string]string{"author": "Ada", "title": "Brücke über die Aare"}, Extent: []*pb.ExtentRecord{
				{Id: "extent-b", Cell: 7, Size: 262144, Sum: 0xdeadbeef}, {Id: "extent-a", Cell: 3, Size: 17, Sum: 1}}},
		{Volume: "volume-1", Name: "drawings/empty", Etag: storedPart2, Modified: int64(storedMoment - time.Hour)},
		{Volume: "volume-1", Name: "records/2026-09-21", Etag: storedTag + "-2", Size: 1, Modified: int64(storedMoment - time.Second),
			ContentType: "text/plain; charset=utf-8", Extent: []*pb.ExtentRecord{{Id: "extent-c", Cell: 1_000_000, Size: 1, Sum: 1<<32 - 1}}},
	}
}

// storedOther returns the only object of volume-2 in the sample. An object of volume-1 has the same name.
func storedOther() *pb.ObjectRecord {
	return &pb.ObjectRecord{Volume: "volume-2", Name: "drawings/bridge.dwg", Etag: storedTag, Size: 5, Modified: int64(storedMoment - time.Minute),
		Extent: []*pb.ExtentRecord{{Id: "extent-d", Size: 5, Sum: 55}}}
}

func storedUploads() []*pb.UploadRecord {
	return []*pb.UploadRecord{
		{Volume: "volume-1", Name: "records/large", Id: storedUpload, Begun: int64(storedMoment - 2*time.Hour), ContentType: "application/zip",
			Meta: map[string]string{"year": "2026"}},
		{Volume: "volume-2", Name: "zeta", Id: "upload-0", Begun: int64(storedMoment - 3*time.Hour)},
	}
}

// storedParts returns the parts of the first upload in the sample.
func storedParts() []*pb.PartRecord {
	return []*pb.PartRecord{
		{Number: 1, Etag: storedPart1, Size: 5 << 20, Modified: int64(storedMoment - 100*time.Minute),
			Extent: []*pb.ExtentRecord{{Id: "extent-e", Cell: 2, Size: 4 << 20, Sum: 21}, {Id: "extent-f", Cell: 4, Size: 1 << 20, Sum: 22}}},
		{Number: 10, Etag: storedPart2, Size: 3, Modified: int64(storedMoment - 90*time.Minute),
			Extent: []*pb.ExtentRecord{{Id: "extent-g", Cell: 2, Size: 3, Sum: 23}}},
	}
}

// storedUnreferenced returns the unreferenced extents of the sample: one that is intended, one that was abandoned before it was
// referenced, and one of an object that was replaced.
func storedUnreferenced() []*pb.LooseRecord {
	return []*pb.LooseRecord{
		{Extent: &pb.ExtentRecord{Id: "loose-1", Cell: 5, Size: 9, Sum: 31}, Volume: "volume-1", Since: int64(storedMoment - 30*time.Minute)},
		{Extent: &pb.ExtentRecord{Id: "loose-2", Cell: 6, Size: 10, Sum: 32}, Volume: "volume-2", Since: int64(storedMoment - 20*time.Minute), Doomed: true},
		{Extent: &pb.ExtentRecord{Id: "loose-3", Cell: 7, Size: 11, Sum: 33}, Volume: "volume-1", Since: int64(storedMoment), Doomed: true},
	}
}

// openStored opens a copy of the sample index, testdata/index.db.
func openStored(t *testing.T) *Index {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "index.db"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "index.db")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return openIndex(t, file)
}

// checkEqual checks that got has the same messages as want, in the same order.
func checkEqual[M proto.Message](t *testing.T, what string, got, want []M) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: %d, wanted %d: %v", what, len(got), len(want), got)
		return
	}
	for i := range want {
		if !proto.Equal(got[i], want[i]) {
			t.Errorf("%s %d: %v\nwanted %v", what, i, got[i], want[i])
		}
	}
}

// Guards against an incompatible change of the stored form of objects. The sample was written by version a32f63c; each object must be
// found with exactly the same extents, and listed in the same order.
func TestStoredObjectsAreRead(t *testing.T) {
	idx := openStored(t)
	for _, want := range append(storedObjects(), storedOther()) {
		if got, err := idx.Get(want.Volume, want.Name); err != nil || !proto.Equal(got, want) {
			t.Errorf("%v: %v\nwanted %v", err, got, want)
		}
	}
	if got, err := idx.Get("volume-1", "drawings/bridge"); got != nil || err != nil {
		t.Errorf("an object that never existed: %v %v", got, err)
	}
	all, err := idx.List("volume-1", "", "", "", 1000)
	if err != nil || all.NextAfter != "" || len(all.Prefixes) > 0 {
		t.Errorf("%v %+v", err, all)
	}
	checkEqual(t, "object", all.Objects, storedObjects())
	folders, err := idx.List("volume-1", "", "/", "", 1000)
	if err != nil || len(folders.Objects) > 0 || len(folders.Prefixes) != 2 || folders.Prefixes[0] != "drawings/" || folders.Prefixes[1] != "records/" {
		t.Errorf("%v %+v", err, folders)
	}
	other, err := idx.List("volume-2", "", "", "", 1000)
	if err != nil {
		t.Error(err)
	}
	checkEqual(t, "object of volume-2", other.Objects, []*pb.ObjectRecord{storedOther()})
}

// Guards against an incompatible change of the stored form of open uploads and their parts. The sample was written by version a32f63c.
func TestStoredUploadsAreRead(t *testing.T) {
	idx := openStored(t)
	uploads, err := idx.ListUploads("")
	if err != nil {
		t.Error(err)
	}
	checkEqual(t, "upload", uploads, storedUploads())
	u, err := idx.GetUpload("volume-1", "records/large", storedUpload)
	if err != nil || !proto.Equal(u, storedUploads()[0]) {
		t.Errorf("%v %v", err, u)
	}
	parts, err := idx.ListParts("volume-1", "records/large", storedUpload)
	if err != nil {
		t.Error(err)
	}
	checkEqual(t, "part", parts, storedParts())
	aged, err := idx.IdleUploads(2*time.Hour, storedMoment) // the first upload received its newest part 90 minutes before
	if err != nil {
		t.Error(err)
	}
	checkEqual(t, "idle upload", aged, storedUploads()[1:])
}

// Guards against an incompatible change of the stored form of unreferenced extents. The sample was written by version a32f63c; the sweep
// must find exactly its unreferenced extents, each at the right time.
func TestStoredUnreferencedExtentsAreRead(t *testing.T) {
	idx := openStored(t)
	want := storedUnreferenced()
	for _, c := range []struct {
		age, reader time.Duration
		want        []*pb.LooseRecord
	}{
		{time.Minute, storedMoment + 1, want},
		{time.Minute, storedMoment, want[:2]},
		{time.Hour, storedMoment + 1, want[1:]},
		{time.Hour, 0, nil},
	} {
		remove, all, err := idx.RemovableExtents(c.age, storedMoment, c.reader, 1000)
		if err != nil || all != len(want) {
			t.Errorf("%v, %d unreferenced, wanted %d", err, all, len(want))
		}
		checkEqual(t, "extent to sweep", remove, c.want)
	}
}

// A part of an upload that version a32f63c created is uploaded again. It must replace the stored part, and the extents of the stored part
// must be abandoned.
func TestReplacePartOfStoredUpload(t *testing.T) {
	idx := openStored(t)
	parts, now := storedParts(), storedMoment+time.Second
	replacement := &pb.PartRecord{Number: 10, Etag: storedTag, Size: 4, Modified: int64(now), Extent: []*pb.ExtentRecord{{Id: "extent-h", Cell: 1, Size: 4, Sum: 24}}}
	if err := idx.RecordIntent("volume-1", replacement.Extent, now); err != nil {
		t.Fatal(err)
	}
	if err := idx.PutPart("volume-1", "records/large", storedUpload, replacement, now); err != nil {
		t.Fatal(err)
	}
	got, err := idx.ListParts("volume-1", "records/large", storedUpload)
	if err != nil {
		t.Error(err)
	}
	checkEqual(t, "part", got, []*pb.PartRecord{parts[0], replacement})
	abandoned := &pb.LooseRecord{Extent: parts[1].Extent[0], Volume: "volume-1", Since: int64(now), Doomed: true}
	remove, _, err := idx.RemovableExtents(time.Hour, now, now+1, 1000)
	if err != nil {
		t.Error(err)
	}
	checkEqual(t, "extent to sweep", remove, append([]*pb.LooseRecord{abandoned}, storedUnreferenced()[1:]...))
}

// Guards against changes to an index written by version a32f63c that leave it inconsistent: a stored upload is completed, an intended
// extent is referenced, a commit with an abandoned extent is rejected, and an object is deleted. Each extent must then be in the right
// state.
func TestChangeStoredIndex(t *testing.T) {
	idx := openStored(t)
	parts, unreferenced, now := storedParts(), storedUnreferenced(), storedMoment+time.Second
	o, err := idx.CompleteUpload("volume-1", "records/large", storedUpload, []decide.CompletedPart{{Number: 1, ETag: storedPart1}, {Number: 10, ETag: storedPart2}},
		5<<20, nil, now)
	if err != nil {
		t.Fatal(err)
	}
	if o.Size != 5<<20+3 || o.ContentType != "application/zip" || o.Meta["year"] != "2026" || o.Modified != int64(now) {
		t.Errorf("%v", o)
	}
	checkEqual(t, "extent", o.Extent, append(parts[0].Extent, parts[1].Extent...))
	fresh := &pb.ObjectRecord{Volume: "volume-1", Name: "fresh", Etag: storedTag, Size: 9, Extent: []*pb.ExtentRecord{unreferenced[0].Extent}}
	if err := idx.Commit(fresh, nil, now); err != nil {
		t.Errorf("an intended extent: %v", err)
	}
	late := &pb.ObjectRecord{Volume: "volume-1", Name: "late", Etag: storedTag, Size: 11, Extent: []*pb.ExtentRecord{unreferenced[2].Extent}}
	if err := idx.Commit(late, nil, now); !errors.Is(err, ErrExtentsRemoved) {
		t.Errorf("an abandoned extent: %v", err)
	}
	if existed, err := idx.Delete("volume-2", "drawings/bridge.dwg", nil, now); !existed || err != nil {
		t.Errorf("deleting an object: %v, it existed: %v", err, existed)
	}
	removed := &pb.LooseRecord{Extent: storedOther().Extent[0], Volume: "volume-2", Since: int64(now), Doomed: true}
	remove, _, err := idx.RemovableExtents(time.Hour, now, now+1, 1000)
	if err != nil {
		t.Error(err)
	}
	checkEqual(t, "extent to sweep", remove, []*pb.LooseRecord{removed, unreferenced[1], unreferenced[2]})
	checkConsistent(t, idx, "volume-1") // volume-2 has no objects or uploads with extents any more
}
