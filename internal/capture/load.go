package capture

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"weirhaven/internal/capture/align"
	"weirhaven/internal/pb"
)

// Load is what was captured, by one gateway or by several.
type Load struct {
	Heads   []*pb.CaptureHead // one for each run of a gateway
	Records []*pb.Captured    // records by time; those of requests and endpoints name their gateway
	Lost    uint64            // records that gateways could not write, as the captures say
	Torn    Torn
	Files   int            // that were read
	Offsets []align.Offset // by which Align moved the times of the gateways
}

// Span returns when the first and the last request were received, in ns since 1970; 0 if there is none.
func (l *Load) Span() (from, to time.Duration) {
	for _, record := range l.Records {
		if record.GetCommand() != nil {
			if from == 0 {
				from = time.Duration(record.At)
			}
			to = time.Duration(record.At)
		}
	}
	return from, to
}

// Read reads captures: folders, segments or merged files. It fails if none of the files can be read; if only some can't, each of these counts
// as a torn block.
func Read(paths ...string) (*Load, error) {
	load := &Load{}
	runs := map[string]bool{}
	var unreadable []error
	for _, path := range paths {
		files, err := segmentsOf(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			if err := load.readFile(file, runs); err != nil {
				unreadable = append(unreadable, fmt.Errorf("%s: %w", file, err))
			}
		}
	}
	if load.Files == 0 {
		return nil, errors.Join(append(unreadable, fmt.Errorf("no capture (*%s) in %s", Suffix, strings.Join(paths, ", ")))...)
	}
	load.Torn.Blocks += len(unreadable)
	load.sort()
	return load, nil
}

// segmentsOf returns the segments of a folder by name, or the file itself.
func segmentsOf(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, _ := filepath.Glob(filepath.Join(path, "*"+Suffix)) // fails for a malformed pattern only: none is found then
	slices.Sort(files)
	return files, nil
}

func (l *Load) sort() {
	slices.SortStableFunc(l.Records, func(a, b *pb.Captured) int { return cmp.Compare(a.At, b.At) })
}

// readFile adds a file. runs are the runs of gateways whose heads were added already.
func (l *Load) readFile(name string, runs map[string]bool) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // only read
	before := len(l.Records)
	head, torn, err := ReadSegment(file, func(record *pb.Captured) error {
		l.add(record)
		return nil
	})
	l.Torn.Blocks += torn.Blocks
	l.Torn.Bytes += torn.Bytes
	if err != nil {
		return err
	}
	l.Files++
	for _, record := range l.Records[before:] {
		setGateway(record, head.Host)
	}
	if run := fmt.Sprint(head.Host, head.Life); !runs[run] {
		runs[run] = true
		l.Heads = append(l.Heads, head)
	}
	return nil
}

func (l *Load) add(record *pb.Captured) {
	if lost := record.GetLost(); lost > 0 {
		l.Lost += lost
		return
	}
	if record.What != nil {
		l.Records = append(l.Records, record)
	}
}

// setGateway names the gateway of a record, unless it does already, as records of merged files do.
func setGateway(record *pb.Captured, gateway string) {
	if request := record.GetCommand(); request != nil && request.Host == "" {
		request.Host = gateway
	}
	if endpoint := record.GetBrick(); endpoint != nil && endpoint.Host == "" {
		endpoint.Host = gateway
	}
}
