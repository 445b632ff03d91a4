package capture

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/capture/align"
	"weirhaven/internal/pb"
)

// Load is what was captured, of one host or of several.
type Load struct {
	Heads  []*pb.CaptureHead // one a host's life
	Lines  []*pb.Captured    // by time; commands and bricks name their host
	Lost   uint64
	Torn   Torn
	Files  int
	Offset []align.Offset // by which the hosts' times were moved
}

// Span is from the first command to the last.
func (l *Load) Span() (from, to time.Duration) {
	for _, c := range l.Lines {
		if c.GetCommand() != nil {
			if from == 0 {
				from = time.Duration(c.At)
			}
			to = time.Duration(c.At)
		}
	}
	return from, to
}

// Read reads captures: folders, segments or merged files. Lines stand in the order of their times.
func Read(paths ...string) (*Load, error) {
	l := &Load{}
	lives := map[string]bool{}
	var bad []error
	for _, p := range paths {
		files := []string{p}
		if s, err := os.Stat(p); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		} else if s.IsDir() {
			files, _ = filepath.Glob(filepath.Join(p, "*"+Suffix))
			slices.Sort(files)
		}
		for _, file := range files {
			if err := l.file(file, lives); err != nil {
				bad = append(bad, fmt.Errorf("%s: %w", file, err))
			}
		}
	}
	if l.Files == 0 {
		return nil, errors.Join(append(bad, fmt.Errorf("no capture (*%s) in %s", Suffix, strings.Join(paths, ", ")))...)
	}
	l.Torn.Blocks += len(bad) // a segment that was torn at its head; the others tell the rest
	l.byTime()
	return l, nil
}

func (l *Load) byTime() {
	slices.SortStableFunc(l.Lines, func(a, b *pb.Captured) int { return cmp.Compare(a.At, b.At) })
}

func (l *Load) file(name string, lives map[string]bool) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // only read
	from := len(l.Lines)
	head, torn, err := Segment(f, func(c *pb.Captured) error {
		if n := c.GetLost(); n > 0 {
			l.Lost += n
			return nil
		}
		if c.What != nil {
			l.Lines = append(l.Lines, c)
		}
		return nil
	})
	l.Torn.Blocks += torn.Blocks
	l.Torn.Bytes += torn.Bytes
	if err != nil {
		return err
	}
	l.Files++
	for _, c := range l.Lines[from:] {
		if x := c.GetCommand(); x != nil && x.Host == "" {
			x.Host = head.Host
		}
		if x := c.GetBrick(); x != nil && x.Host == "" {
			x.Host = head.Host
		}
	}
	if id := fmt.Sprint(head.Host, head.Life); !lives[id] {
		lives[id] = true
		l.Heads = append(l.Heads, head)
	}
	return nil
}

// Align moves all hosts' times to one clock, by the bricks' starts that several hosts know. Hosts that share none stay as they are,
// and the error names them.
func (l *Load) Align() error {
	hosts := map[string]align.Marks{}
	for _, h := range l.Heads {
		if hosts[h.Host] == nil {
			hosts[h.Host] = align.Marks{}
		}
	}
	for _, c := range l.Lines {
		if b := c.GetBrick(); b != nil && b.Started > 0 && hosts[b.Host] != nil {
			hosts[b.Host][b.Name] = time.Duration(b.Started)
		}
	}
	offsets, err := align.Offsets(hosts)
	l.Offset = offsets
	add := map[string]int64{}
	for _, o := range offsets {
		add[o.Host] = int64(o.Add)
	}
	for _, c := range l.Lines {
		if x := c.GetCommand(); x != nil {
			c.At += add[x.Host]
		}
		if b := c.GetBrick(); b != nil {
			c.At += add[b.Host]
			if b.Started > 0 {
				b.Started += add[b.Host]
			}
		}
	}
	l.byTime()
	return err
}

// Cut keeps the commands that came in a stretch of the capture, counted from its first command, and all lines of bricks.
func (l *Load) Cut(from, to time.Duration) *Load {
	begin, _ := l.Span()
	cut := *l
	cut.Lines = nil
	for _, c := range l.Lines {
		at := time.Duration(c.At) - begin
		if c.GetBrick() != nil || at >= from && at < to {
			cut.Lines = append(cut.Lines, c)
		}
	}
	return &cut
}

// Write writes it as one file, under the head of its first host with all hosts' names in it.
func (l *Load) Write(out io.Writer) error {
	p, err := newPacker()
	if err != nil {
		return err
	}
	defer func() { _ = p.zip.Close() }() // it holds memory only
	head := proto.Clone(l.Heads[0]).(*pb.CaptureHead)
	for _, h := range l.Heads[1:] {
		if h.Key != head.Key {
			head.Key = "several"
		}
		if h.Host != head.Host {
			head.Host = "merged"
		}
	}
	if err := p.add(head); err != nil {
		return err
	}
	if l.Lost > 0 {
		if err := p.add(&pb.Captured{What: &pb.Captured_Lost{Lost: l.Lost}}); err != nil {
			return err
		}
	}
	for _, c := range l.Lines {
		if err := p.add(c); err != nil {
			return err
		}
		if p.plain.Len() >= blockSize {
			if _, err := out.Write(p.block()); err != nil {
				return err
			}
		}
	}
	if p.lines > 0 {
		_, err = out.Write(p.block())
	}
	return err
}
