package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"weirhaven/client"
)

type objectCmd struct {
	Put objectPut `cmd:"" help:"Store a file as an object."`
	Get objectGet `cmd:"" help:"Download an object to a file."`
	Cat objectCat `cmd:"" help:"Print an object, or a range of it."`
	Ls  objectLs  `cmd:"" help:"List a volume's objects."`
	Rm  objectRm  `cmd:"" help:"Remove objects."`
}

type objectFlags struct {
	Endpoint string `required:"" env:"WEIRHAVEN_ENDPOINT" help:"URL of the object API, such as http://127.0.0.1:8600." placeholder:"URL"`
	Key      string `env:"WEIRHAVEN_KEY" help:"Access key; without it, requests are not signed."`
	Secret   string `env:"WEIRHAVEN_SECRET" help:"Secret of the access key."`
}

func (f *objectFlags) open() (*client.Client, context.Context, context.CancelFunc, error) {
	c, err := client.New(client.Config{Endpoint: f.Endpoint, Key: f.Key, Secret: f.Secret})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return c, ctx, stop, err
}

// parseObjectPath splits VOLUME/NAME.
func parseObjectPath(s string) (volume, name string, err error) {
	volume, name, ok := strings.Cut(s, "/")
	if !ok || volume == "" || name == "" {
		return "", "", fmt.Errorf("%q: expected VOLUME/NAME", s)
	}
	return volume, name, nil
}

// progress returns a function that prints the progress of a transfer on standard error: after the first second, at most every
// 300 ms.
func progress(label string, size int64) func(done int64) {
	var mu sync.Mutex
	start, last := time.Now(), time.Time{}
	return func(done int64) {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); now.Sub(start) > time.Second && (now.Sub(last) > 300*time.Millisecond || done == size) {
			last = now
			fmt.Fprintf(os.Stderr, "\r%s: %d of %d MiB, %.1f MiB/s ", label, done>>20, size>>20, float64(done)/(1<<20)/now.Sub(start).Seconds())
			if done == size {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
}

type objectPut struct {
	objectFlags
	File     string `arg:"" type:"existingfile" help:"File to store."`
	To       string `arg:"" help:"Object to write, as VOLUME/NAME."`
	Type     string `help:"Content type of the object."`
	Part     int64  `help:"Size of a part, in bytes." default:"16777216"`
	Parallel int    `help:"Number of parts that are uploaded in parallel." default:"4"`
	OnlyNew  bool   `help:"Fail if the object exists already."`
}

// Run stores a file as an object and prints its entity tag.
func (c *objectPut) Run() error {
	o, ctx, stop, err := c.open()
	if err != nil {
		return err
	}
	defer stop()
	volume, name, err := parseObjectPath(c.To)
	if err != nil {
		return err
	}
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	s, err := f.Stat()
	if err != nil {
		return err
	}
	etag, err := o.Put(ctx, volume, name, f, s.Size(), client.PutOptions{ContentType: c.Type, Part: c.Part, Parallel: c.Parallel, OnlyNew: c.OnlyNew,
		Progress: progress(c.To, s.Size())})
	if err == nil {
		fmt.Println(etag)
	}
	return err
}

type objectGet struct {
	objectFlags
	From string `arg:"" help:"Object to read, as VOLUME/NAME."`
	File string `arg:"" help:"File to write."`
}

// Run downloads an object. The file appears under its name only when the download is complete.
func (c *objectGet) Run() error {
	o, ctx, stop, err := c.open()
	if err != nil {
		return err
	}
	defer stop()
	volume, name, err := parseObjectPath(c.From)
	if err != nil {
		return err
	}
	i, body, err := o.Get(ctx, volume, name, 0, 0)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	tmp := c.File + ".part" // renamed after the download, so that no partial file appears under the final name
	f, err := os.Create(tmp)
	if err != nil {
		return err
	}
	report, done := progress(c.From, i.Size), int64(0)
	_, err = io.Copy(f, io.TeeReader(body, counter(func(n int) { done += int64(n); report(done) })))
	if err = errors.Join(err, f.Close()); err != nil {
		_ = os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, c.File)
}

// counter is a writer that passes the size of each write to a function.
type counter func(n int)

// Write reports the number of bytes written.
func (c counter) Write(b []byte) (int, error) {
	c(len(b))
	return len(b), nil
}

type objectCat struct {
	objectFlags
	From  string `arg:"" help:"Object to read, as VOLUME/NAME."`
	Range string `help:"Range of bytes, counted from 0 and including TO: FROM-TO, FROM- or -LAST (the last LAST bytes)." placeholder:"RANGE"`
}

// Run prints an object, or a range of it.
func (c *objectCat) Run() error {
	o, ctx, stop, err := c.open()
	if err != nil {
		return err
	}
	defer stop()
	volume, name, err := parseObjectPath(c.From)
	if err != nil {
		return err
	}
	from, size, err := parseRange(c.Range)
	if err != nil {
		return err
	}
	_, body, err := o.Get(ctx, volume, name, from, size)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	_, err = io.Copy(os.Stdout, body)
	return err
}

// parseRange parses the value of --range: FROM-TO, FROM- or -LAST. Size 0 means the rest of the object; a negative from counts
// from its end.
func parseRange(s string) (from, size int64, err error) {
	if s == "" {
		return 0, 0, nil
	}
	bad := fmt.Errorf("range %q: expected FROM-TO, FROM- or -LAST", s)
	a, b, ok := strings.Cut(s, "-")
	if !ok || a == "" && b == "" {
		return 0, 0, bad
	}
	x, err1 := strconv.ParseInt("0"+a, 10, 64)
	y, err2 := strconv.ParseInt("0"+b, 10, 64)
	switch {
	case err1 != nil || err2 != nil || a != "" && b != "" && y < x:
		return 0, 0, bad
	case a == "":
		return -y, 0, nil
	case b == "":
		return x, 0, nil
	}
	return x, y - x + 1, nil
}

type objectLs struct {
	objectFlags
	Volume string `arg:"" help:"Objects to list, as VOLUME or VOLUME/PREFIX."`
	All    bool   `help:"List all names with the prefix instead of grouping them at the next slash."`
}

// Run prints the size, modification time and name of each object.
func (c *objectLs) Run() error {
	o, ctx, stop, err := c.open()
	if err != nil {
		return err
	}
	defer stop()
	volume, prefix, _ := strings.Cut(c.Volume, "/")
	delimiter := "/"
	if c.All {
		delimiter = ""
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	for i, err := range o.List(ctx, volume, prefix, delimiter) {
		if err != nil {
			return err
		}
		if i.Size < 0 {
			fmt.Fprintf(w, "\t\t%s\n", i.Name)
		} else {
			fmt.Fprintf(w, "%d\t%s\t%s\n", i.Size, i.Modified.UTC().Format(time.RFC3339), i.Name)
		}
	}
	return nil
}

type objectRm struct {
	objectFlags
	Names []string `arg:"" help:"Objects to remove, as VOLUME/NAME."`
}

// Run removes objects.
func (c *objectRm) Run() error {
	o, ctx, stop, err := c.open()
	if err != nil {
		return err
	}
	defer stop()
	for _, n := range c.Names {
		volume, name, err := parseObjectPath(n)
		if err != nil {
			return err
		}
		if err := o.Delete(ctx, volume, name); err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
	}
	return nil
}
