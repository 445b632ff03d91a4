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

// The test binary is a writer, too: it puts objects until it is killed, and prints each that was answered.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "writer" {
		x, err := Open(os.Args[2])
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		for n := 0; ; n++ {
			name := fmt.Sprint("o", n%7)
			e := extents(fmt.Sprint(os.Args[3], "-", n), 1+n%3)
			if err := x.Intend("v", e, time.Duration(n)); err != nil {
				os.Exit(1)
			}
			if n%5 == 4 { // given up
				x.Doom("v", e, time.Duration(n))
				continue
			}
			if err := x.Commit(&pb.ObjectRecord{Volume: "v", Name: name, Etag: e[0].Id, Extent: e}, nil, time.Duration(n)); err != nil {
				os.Exit(1)
			}
			fmt.Println(name, e[0].Id)
		}
	}
	os.Exit(m.Run())
}

func extents(id string, n int) (all []*pb.ExtentRecord) {
	for i := range n {
		all = append(all, &pb.ExtentRecord{Id: fmt.Sprint(id, "/", i), Size: 1})
	}
	return all
}

func open(t testing.TB, file string) *Index {
	t.Helper()
	x, err := Open(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.Close() })
	return x
}

// consistent: every extent of an object is held and not loose, and nothing else is held.
func consistent(t interface{ Fatalf(string, ...any) }, x *Index, volume string) {
	l, err := x.List(volume, "", "", "", 1000000)
	if err != nil {
		t.Fatalf("%v", err)
	}
	use := map[string]bool{}
	for _, o := range l.Objects {
		for _, e := range o.Extent {
			use[e.Id] = true
		}
	}
	us, err := x.Uploads(volume)
	if err != nil {
		t.Fatalf("%v", err)
	}
	for _, u := range us {
		ps, err := x.Parts(u.Volume, u.Name, u.Id)
		if err != nil {
			t.Fatalf("%v", err)
		}
		for _, p := range ps {
			for _, e := range p.Extent {
				use[e.Id] = true
			}
		}
	}
	remove, _, err := x.Sweepable(0, 1<<60, 1<<61, 1<<30)
	if err != nil {
		t.Fatalf("%v", err)
	}
	for _, l := range remove {
		if use[l.Extent.Id] {
			t.Fatalf("the sweep would remove %s, which is in use", l.Extent.Id)
		}
	}
	n := 0
	x.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(held).ForEach(func(k, _ []byte) error {
			n++
			if !use[string(k)] {
				t.Fatalf("%s is held by nothing: it would leak", k)
			}
			return nil
		})
	})
	if n != len(use) {
		t.Fatalf("%d extents are held, %d in use", n, len(use))
	}
}

// Killed at any moment, again and again: what was answered is there, whole; what was not is there whole or not at all; every extent is
// held by what uses it, or loose.
func TestKilled(t *testing.T) {
	file := filepath.Join(t.TempDir(), "index.db")
	rng := rand.New(rand.NewSource(1))
	last := map[string]string{}
	for life := range 6 {
		cmd := exec.Command(os.Args[0], "writer", file, fmt.Sprint("life", life))
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines, stop := bufio.NewScanner(out), 10+rng.Intn(60)
		for n := 0; lines.Scan(); n++ {
			name, id, _ := strings.Cut(lines.Text(), " ")
			if last[name] = id; n == stop {
				cmd.Process.Kill() // lines that it printed until then still come
			}
		}
		cmd.Wait()
		x := open(t, file)
		for name, id := range last {
			o, err := x.Get("v", name)
			if err != nil || o == nil {
				t.Fatalf("%s: %v %v", name, o, err)
			}
			if o.Etag != id { // one that was written and not answered any more
				if !strings.HasPrefix(o.Etag, fmt.Sprint("life", life)) {
					t.Fatalf("%s is %s, answered was %s", name, o.Etag, id)
				}
				last[name] = o.Etag
			}
			if !strings.HasPrefix(o.Extent[0].Id, o.Etag[:strings.LastIndex(o.Etag, "/")]) {
				t.Fatalf("%s is of two puts: %v", name, o)
			}
		}
		consistent(t, x, "v")
		x.Close()
	}
}

// Whatever is put, deleted, uploaded, completed, aborted and swept in any order: nothing in use can be swept, nothing leaks.
func TestNothingLeaks(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		x, err := Open(filepath.Join(dir, fmt.Sprint(run)))
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		x.db.NoSync = true
		n := 0
		fresh := func() []*pb.ExtentRecord {
			n++
			e := extents(fmt.Sprint("x", n), 1+n%2)
			if err := x.Intend("v", e, time.Duration(n)); err != nil {
				t.Fatal(err)
			}
			return e
		}
		refuse := func(*pb.ObjectRecord) error { f := decide.Precondition; return &f }
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			var check Check
			if rapid.IntRange(0, 4).Draw(t, "refused") == 0 {
				check = refuse
			}
			us, _ := x.Uploads("v")
			switch what := rapid.IntRange(0, 6).Draw(t, "what"); {
			case what == 0:
				e := fresh()
				if err := x.Commit(&pb.ObjectRecord{Volume: "v", Name: name, Extent: e}, check, 1); err != nil && rapid.Bool().Draw(t, "dooms") {
					x.Doom("v", e, 2)
				}
			case what == 1:
				x.Delete("v", name, check, 3)
			case what == 2:
				x.Begin(&pb.UploadRecord{Volume: "v", Name: name, Id: fmt.Sprint("u", n)})
				n++
			case len(us) == 0:
			case what == 3 || what == 4:
				u := us[rapid.IntRange(0, len(us)-1).Draw(t, "upload")]
				if err := x.PutPart("v", u.Name, u.Id, &pb.PartRecord{Number: uint32(rapid.IntRange(1, 3).Draw(t, "part")), Etag: "00", Size: 1, Extent: fresh()}, 4); err != nil {
					t.Fatal(err)
				}
			case what == 5:
				u := us[0]
				ps, _ := x.Parts("v", u.Name, u.Id)
				var named []decide.Named
				for _, p := range ps {
					if rapid.Bool().Draw(t, "named") {
						named = append(named, decide.Named{Number: p.Number, ETag: p.Etag})
					}
				}
				x.Complete("v", u.Name, u.Id, named, 1, check, 5)
			default:
				x.Abort("v", us[0].Name, us[0].Id, 6)
			}
			consistent(t, x, "v")
		}
	})
}

// Ten thousand parts make one object; a thousand uploads that are never ended age out.
func TestManyParts(t *testing.T) {
	x := open(t, filepath.Join(t.TempDir(), "i"))
	x.db.NoSync = true
	x.Begin(&pb.UploadRecord{Volume: "v", Name: "n", Id: "u"})
	var named []decide.Named
	err := x.db.Update(func(tx *bbolt.Tx) error { // as PutPart does, ten thousand times
		for n := uint32(1); n <= decide.MostParts; n++ {
			p := &pb.PartRecord{Number: n, Etag: "00", Size: 1, Extent: extents(fmt.Sprint("p", n), 1)}
			named = append(named, decide.Named{Number: n, ETag: "00"})
			intended := &pb.LooseRecord{Extent: p.Extent[0], Volume: "v"}
			if err := errors.Join(put(tx.Bucket(loose), []byte(p.Extent[0].Id), intended), hold(tx, p.Extent), put(tx.Bucket(parts), partKey("u", n), p)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	o, err := x.Complete("v", "n", "u", named, 1, nil, 5)
	if err != nil || o.Size != decide.MostParts || len(o.Extent) != decide.MostParts || o.Extent[9999].Id != "p10000/0" {
		t.Fatal(err)
	}
	for i := range 1000 {
		x.Begin(&pb.UploadRecord{Volume: "v", Name: fmt.Sprint("left", i), Id: fmt.Sprint("left", i), Begun: int64(i)})
	}
	old, err := x.Aged(100, 1050)
	if err != nil || len(old) != 951 {
		t.Errorf("%v: %d of 1000 are old", err, len(old))
	}
	consistent(t, x, "v")
}

func TestListPages(t *testing.T) {
	x := open(t, filepath.Join(t.TempDir(), "i"))
	x.db.NoSync = true
	var want []string
	for _, n := range []string{"a", "a/b", "a/b/c", "a0", "b/1", "b/2", "b/3/4", "ü/x", "z"} {
		x.Commit(&pb.ObjectRecord{Volume: "v", Name: n}, nil, 1)
		want = append(want, n)
	}
	x.Commit(&pb.ObjectRecord{Volume: "w", Name: "other"}, nil, 1)
	for _, most := range []int{1, 2, 3, 100} {
		for _, c := range []struct {
			prefix, delimiter string
			want              []string
		}{{"", "", want}, {"", "/", []string{"a", "a/", "a0", "b/", "ü/", "z"}}, {"b/", "/", []string{"b/1", "b/2", "b/3/"}}, {"a/", "", []string{"a/b", "a/b/c"}}, {"q", "", nil}} {
			var got []string
			for after := ""; ; {
				l, err := x.List("v", c.prefix, c.delimiter, after, most)
				if err != nil || len(l.Objects)+len(l.Prefixes) > most {
					t.Fatal(err, l)
				}
				for _, o := range l.Objects {
					got = append(got, o.Name)
				}
				got = append(got, l.Prefixes...)
				if after = l.Next; after == "" {
					break
				}
			}
			slices.Sort(got)
			slices.Sort(c.want)
			if !slices.Equal(got, c.want) {
				t.Errorf("%d a page, prefix %q, delimiter %q: %q, want %q", most, c.prefix, c.delimiter, got, c.want)
			}
		}
	}
}

func TestOnlyOneHost(t *testing.T) {
	file := filepath.Join(t.TempDir(), "i")
	open(t, file)
	if _, err := Open(file); err == nil || !strings.Contains(err.Error(), "another program") {
		t.Error(err)
	}
	if err := os.WriteFile(file+"2", []byte("something else"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(file + "2"); err == nil {
		t.Error("opened")
	}
	var f *decide.Fault
	x := open(t, file+"3")
	if _, err := x.Upload("v", "n", "none"); !errors.As(err, &f) || f.Code != "NoSuchUpload" {
		t.Error(err)
	}
}

// A name never stands for extents that were swept, or that the sweep has begun to remove: whoever lost them is told.
func TestCommitNeedsItsExtents(t *testing.T) {
	x := open(t, filepath.Join(t.TempDir(), "index.db"))
	defer x.Close()
	for _, given := range []struct {
		name string
		up   func(all []*pb.ExtentRecord) error
	}{
		{"forgotten", func(all []*pb.ExtentRecord) error { return x.Removed([]string{all[0].Id, all[1].Id}) }},
		{"removed", func(all []*pb.ExtentRecord) error { return x.Removed([]string{all[0].Id}) }},
		{"given up", func(all []*pb.ExtentRecord) error { return x.Doom("v", all[:1], 2) }},
	} {
		all := extents(given.name, 2)
		if err := x.Intend("v", all, 1); err != nil {
			t.Fatal(err)
		}
		if err := given.up(all); err != nil {
			t.Fatal(err)
		}
		if err := x.Commit(&pb.ObjectRecord{Volume: "v", Name: given.name, Extent: all}, nil, 3); err == nil {
			t.Errorf("%s: a name stands for extents that are gone", given.name)
		}
	}
}
