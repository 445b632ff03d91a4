package index

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"pgregory.net/rapid"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/pb"
)

// TestMain also runs the process that TestAcknowledgedObjectsSurviveKill kills: called with "writer FILE PREFIX", the test binary commits
// objects in an endless loop and prints each one after its commit has returned.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "writer" {
		idx, err := Open(os.Args[2])
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		for n := 0; ; n++ {
			name := fmt.Sprint("o", n%7)
			extents := testExtents(fmt.Sprint(os.Args[3], "-", n), 1+n%3)
			if err := idx.RecordIntent("v", extents, time.Duration(n)); err != nil {
				os.Exit(1)
			}
			if n%5 == 4 { // as after a failed write
				idx.Abandon("v", extents, time.Duration(n))
				continue
			}
			if err := idx.Commit(&pb.ObjectRecord{Volume: "v", Name: name, Etag: extents[0].Id, Extent: extents}, nil, time.Duration(n)); err != nil {
				os.Exit(1)
			}
			fmt.Println(name, extents[0].Id)
		}
	}
	os.Exit(m.Run())
}

// testExtents returns n extents of one byte each, whose ids begin with id.
func testExtents(id string, n int) (all []*pb.ExtentRecord) {
	for i := range n {
		all = append(all, &pb.ExtentRecord{Id: fmt.Sprint(id, "/", i), Size: 1})
	}
	return all
}

func openIndex(t testing.TB, file string) *Index {
	t.Helper()
	idx, err := Open(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { idx.Close() })
	return idx
}

// checkConsistent checks the package's invariant: the referenced extents are exactly those that an object or a part refers to, and the
// sweep would remove none of them.
func checkConsistent(t interface{ Fatalf(string, ...any) }, idx *Index, volume string) {
	page, err := idx.List(volume, "", "", "", 1000000)
	if err != nil {
		t.Fatalf("%v", err)
	}
	inUse := map[string]bool{}
	for _, o := range page.Objects {
		for _, e := range o.Extent {
			inUse[e.Id] = true
		}
	}
	uploads, err := idx.ListUploads(volume)
	if err != nil {
		t.Fatalf("%v", err)
	}
	for _, u := range uploads {
		parts, err := idx.ListParts(u.Volume, u.Name, u.Id)
		if err != nil {
			t.Fatalf("%v", err)
		}
		for _, p := range parts {
			for _, e := range p.Extent {
				inUse[e.Id] = true
			}
		}
	}
	remove, _, err := idx.RemovableExtents(0, 1<<60, 1<<61, 1<<30)
	if err != nil {
		t.Fatalf("%v", err)
	}
	for _, record := range remove {
		if inUse[record.Extent.Id] {
			t.Fatalf("the sweep would remove extent %s, which is in use", record.Extent.Id)
		}
	}
	referenced := 0
	idx.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(referencedBucket).ForEach(func(k, _ []byte) error {
			referenced++
			if !inUse[string(k)] {
				t.Fatalf("extent %s is marked as referenced, but no object or part refers to it: it would leak", k)
			}
			return nil
		})
	})
	if referenced != len(inUse) {
		t.Fatalf("%d extents are marked as referenced, %d are in use", referenced, len(inUse))
	}
}

// Guards against lost or partial objects after a crash. A process that commits objects to one index file is killed six times, at random
// moments. After each kill, every acknowledged object is complete, an object that was not acknowledged is complete or absent, and the
// states of all extents are consistent.
func TestAcknowledgedObjectsSurviveKill(t *testing.T) {
	file := filepath.Join(t.TempDir(), "index.db")
	rng := rand.New(rand.NewSource(1))
	acknowledged := map[string]string{}
	for run := range 6 {
		cmd := exec.Command(os.Args[0], "writer", file, fmt.Sprint("run", run))
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines, killAfter := bufio.NewScanner(stdout), 10+rng.Intn(60)
		for n := 0; lines.Scan(); n++ {
			name, id, _ := strings.Cut(lines.Text(), " ")
			if acknowledged[name] = id; n == killAfter {
				cmd.Process.Kill() // lines printed before the kill are still read
			}
		}
		cmd.Wait()
		idx := openIndex(t, file)
		for name, id := range acknowledged {
			o, err := idx.Get("v", name)
			if err != nil || o == nil {
				t.Fatalf("%s: %v %v", name, o, err)
			}
			if o.Etag != id { // the process was killed between the commit and its acknowledgement
				if !strings.HasPrefix(o.Etag, fmt.Sprint("run", run)) {
					t.Fatalf("%s has ETag %s, but %s was acknowledged", name, o.Etag, id)
				}
				acknowledged[name] = o.Etag
			}
			if !strings.HasPrefix(o.Extent[0].Id, o.Etag[:strings.LastIndex(o.Etag, "/")]) {
				t.Fatalf("%s mixes extents of two writes: %v", name, o)
			}
		}
		checkConsistent(t, idx, "v")
		idx.Close()
	}
}

// Guards against leaked extents and against the sweep removing extents in use. It runs random sequences of operations on objects and
// uploads, some with a failing precondition, and checks the states of all extents after each step.
func TestNoExtentLeaks(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		idx, err := Open(filepath.Join(dir, fmt.Sprint(run)))
		if err != nil {
			t.Fatal(err)
		}
		defer idx.Close()
		idx.db.NoSync = true
		counter := 0
		intended := func() []*pb.ExtentRecord {
			counter++
			e := testExtents(fmt.Sprint("x", counter), 1+counter%2)
			if err := idx.RecordIntent("v", e, time.Duration(counter)); err != nil {
				t.Fatal(err)
			}
			return e
		}
		failing := func(*pb.ObjectRecord) error { f := decide.PreconditionFailed; return &f }
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			var precondition Precondition
			if rapid.IntRange(0, 4).Draw(t, "precondition fails") == 0 {
				precondition = failing
			}
			uploads, _ := idx.ListUploads("v")
			switch operation := rapid.IntRange(0, 6).Draw(t, "what"); {
			case operation == 0:
				e := intended()
				if err := idx.Commit(&pb.ObjectRecord{Volume: "v", Name: name, Extent: e}, precondition, 1); err != nil && rapid.Bool().Draw(t, "abandons") {
					idx.Abandon("v", e, 2)
				}
			case operation == 1:
				idx.Delete("v", name, precondition, 3)
			case operation == 2:
				idx.CreateUpload(&pb.UploadRecord{Volume: "v", Name: name, Id: fmt.Sprint("u", counter)})
				counter++
			case len(uploads) == 0:
			case operation == 3 || operation == 4:
				u := uploads[rapid.IntRange(0, len(uploads)-1).Draw(t, "upload")]
				if err := idx.PutPart("v", u.Name, u.Id, &pb.PartRecord{Number: uint32(rapid.IntRange(1, 3).Draw(t, "part")), Etag: "00", Size: 1, Extent: intended()}, 4); err != nil {
					t.Fatal(err)
				}
			case operation == 5:
				u := uploads[0]
				parts, _ := idx.ListParts("v", u.Name, u.Id)
				var named []decide.CompletedPart
				for _, p := range parts {
					if rapid.Bool().Draw(t, "named") {
						named = append(named, decide.CompletedPart{Number: p.Number, ETag: p.Etag})
					}
				}
				idx.CompleteUpload("v", u.Name, u.Id, named, 1, precondition, 5)
			default:
				idx.AbortUpload("v", uploads[0].Name, uploads[0].Id, 6)
			}
			checkConsistent(t, idx, "v")
		}
	})
}

// An upload with the maximum number of parts becomes one object. Of a thousand uploads without parts, IdleUploads returns those that are
// at least as old as the given age.
func TestManyParts(t *testing.T) {
	idx := openIndex(t, filepath.Join(t.TempDir(), "i"))
	idx.db.NoSync = true
	idx.CreateUpload(&pb.UploadRecord{Volume: "v", Name: "n", Id: "u"})
	var named []decide.CompletedPart
	err := idx.db.Update(func(tx *bbolt.Tx) error { // has the effect of PutPart for each part, but in one transaction
		for n := uint32(1); n <= decide.MaxParts; n++ {
			p := &pb.PartRecord{Number: n, Etag: "00", Size: 1, Extent: testExtents(fmt.Sprint("p", n), 1)}
			named = append(named, decide.CompletedPart{Number: n, ETag: "00"})
			intended := &pb.LooseRecord{Extent: p.Extent[0], Volume: "v"}
			if err := errors.Join(putMessage(tx.Bucket(unreferencedBucket), []byte(p.Extent[0].Id), intended), addReferences(tx, p.Extent), putMessage(tx.Bucket(partsBucket), partKey("u", n), p)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	o, err := idx.CompleteUpload("v", "n", "u", named, 1, nil, 5)
	if err != nil || o.Size != decide.MaxParts || len(o.Extent) != decide.MaxParts || o.Extent[9999].Id != "p10000/0" {
		t.Fatal(err)
	}
	for i := range 1000 {
		idx.CreateUpload(&pb.UploadRecord{Volume: "v", Name: fmt.Sprint("left", i), Id: fmt.Sprint("left", i), Begun: int64(i)})
	}
	idle, err := idx.IdleUploads(100, 1050)
	if err != nil || len(idle) != 951 {
		t.Errorf("%v: %d of 1000 uploads are idle, want 951", err, len(idle))
	}
	checkConsistent(t, idx, "v")
}

// Guards against names that are missing or returned twice when a listing is read in pages, also if a page ends with a common prefix.
func TestListPages(t *testing.T) {
	idx := openIndex(t, filepath.Join(t.TempDir(), "i"))
	idx.db.NoSync = true
	var want []string
	for _, n := range []string{"a", "a/b", "a/b/c", "a0", "b/1", "b/2", "b/3/4", "ü/x", "z"} {
		idx.Commit(&pb.ObjectRecord{Volume: "v", Name: n}, nil, 1)
		want = append(want, n)
	}
	idx.Commit(&pb.ObjectRecord{Volume: "w", Name: "other"}, nil, 1)
	for _, limit := range []int{1, 2, 3, 100} {
		for _, c := range []struct {
			prefix, delimiter string
			want              []string
		}{{"", "", want}, {"", "/", []string{"a", "a/", "a0", "b/", "ü/", "z"}}, {"b/", "/", []string{"b/1", "b/2", "b/3/"}}, {"a/", "", []string{"a/b", "a/b/c"}}, {"q", "", nil}} {
			var got []string
			for after := ""; ; {
				l, err := idx.List("v", c.prefix, c.delimiter, after, limit)
				if err != nil || len(l.Objects)+len(l.Prefixes) > limit {
					t.Fatal(err, l)
				}
				for _, o := range l.Objects {
					got = append(got, o.Name)
				}
				got = append(got, l.Prefixes...)
				if after = l.NextAfter; after == "" {
					break
				}
			}
			slices.Sort(got)
			slices.Sort(c.want)
			if !slices.Equal(got, c.want) {
				t.Errorf("%d a page, prefix %q, delimiter %q: %q, want %q", limit, c.prefix, c.delimiter, got, c.want)
			}
		}
	}
}

// Open must fail if the index file is already open, because two gateways would overwrite each other's records, and if the file is not an
// index. GetUpload must return NoSuchUpload for an unknown id.
func TestOpenFailures(t *testing.T) {
	file := filepath.Join(t.TempDir(), "i")
	openIndex(t, file)
	if _, err := Open(file); err == nil || !strings.Contains(err.Error(), "another program") {
		t.Error(err)
	}
	if err := os.WriteFile(file+"2", []byte("something else"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(file + "2"); err == nil {
		t.Error("a file that is not an index was opened")
	}
	var f *decide.Fault
	idx := openIndex(t, file+"3")
	if _, err := idx.GetUpload("v", "n", "none"); !errors.As(err, &f) || f.Code != "NoSuchUpload" {
		t.Error(err)
	}
}

// Guards against acknowledging an object that can't be read: an upload takes so long that the sweep abandons or removes its extents
// before the commit. The commit must fail.
func TestCommitRejectsRemovedExtents(t *testing.T) {
	idx := openIndex(t, filepath.Join(t.TempDir(), "index.db"))
	defer idx.Close()
	for _, c := range []struct {
		name   string
		remove func(all []*pb.ExtentRecord) error
	}{
		{"forgotten", func(all []*pb.ExtentRecord) error { return idx.Forget([]string{all[0].Id, all[1].Id}) }},
		{"removed", func(all []*pb.ExtentRecord) error { return idx.Forget([]string{all[0].Id}) }},
		{"abandoned", func(all []*pb.ExtentRecord) error { return idx.Abandon("v", all[:1], 2) }},
	} {
		all := testExtents(c.name, 2)
		if err := idx.RecordIntent("v", all, 1); err != nil {
			t.Fatal(err)
		}
		if err := c.remove(all); err != nil {
			t.Fatal(err)
		}
		if err := idx.Commit(&pb.ObjectRecord{Volume: "v", Name: c.name, Extent: all}, nil, 3); err == nil {
			t.Errorf("%s: an object was committed that refers to removed extents", c.name)
		}
	}
}
