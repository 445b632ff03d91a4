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

// Load is the captured load of one or several gateways.
type Load struct {
	Heads   []*pb.CaptureHead // one for each gateway process
	Records []*pb.Captured    // in order of time; records of requests and endpoints name their gateway
	Lost    uint64            // records that gateways could not write, according to the captures
	Torn    Torn
	Files   int            // number of files read
	Offsets []align.Offset // that Align added to the times of the gateways
}

// Span returns the times when the first and the last request were received, since 1970; 0 if there are no requests.
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

// Read reads captures from folders, segments or merged files. It fails if no file can be read; if only some can't be read, each of these
// counts as a torn block.
func Read(paths ...string) (*Load, error) {
	load := &Load{}
	processes := map[string]bool{}
	var unreadable []error
	for _, path := range paths {
		files, err := segmentsOf(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			if err := load.readFile(file, processes); err != nil {
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

// segmentsOf returns the segments of a folder, sorted by name, or the file itself.
func segmentsOf(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, _ := filepath.Glob(filepath.Join(path, "*"+Suffix)) // fails only for a malformed pattern, and finds no files then
	slices.Sort(files)
	return files, nil
}

func (l *Load) sort() {
	slices.SortStableFunc(l.Records, func(a, b *pb.Captured) int { return cmp.Compare(a.At, b.At) })
}

// readFile adds the records of a file. processes holds the gateway processes whose heads have been added.
func (l *Load) readFile(name string, processes map[string]bool) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // was only read
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
	if process := fmt.Sprint(head.Host, head.Life); !processes[process] {
		processes[process] = true
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

// setGateway sets the gateway of a record if it has none. Records of merged files have one.
func setGateway(record *pb.Captured, gateway string) {
	if request := record.GetCommand(); request != nil && request.Host == "" {
		request.Host = gateway
	}
	if endpoint := record.GetBrick(); endpoint != nil && endpoint.Host == "" {
		endpoint.Host = gateway
	}
}
