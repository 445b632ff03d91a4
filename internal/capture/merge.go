package capture

import (
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/capture/align"
	"weirhaven/internal/pb"
)

// Align converts the times of all gateways to the clock of the first gateway by name, by means of endpoint starts that several gateways
// recorded. The times of gateways that share no start with the others stay unchanged, and the error names these gateways.
func (l *Load) Align() error {
	offsets, err := align.Offsets(l.endpointStarts())
	l.Offsets = offsets
	add := map[string]int64{} // ns, by gateway
	for _, offset := range offsets {
		add[offset.Gateway] = int64(offset.Add)
	}
	for _, record := range l.Records {
		if request := record.GetCommand(); request != nil {
			record.At += add[request.Host]
		}
		if endpoint := record.GetBrick(); endpoint != nil {
			record.At += add[endpoint.Host]
			if endpoint.Started > 0 {
				endpoint.Started += add[endpoint.Host]
			}
		}
	}
	l.sort()
	return err
}

// endpointStarts returns, for each gateway that wrote a head, the time of the last start of each endpoint on that gateway's clock.
func (l *Load) endpointStarts() map[string]align.Marks {
	starts := map[string]align.Marks{}
	for _, head := range l.Heads {
		if starts[head.Host] == nil {
			starts[head.Host] = align.Marks{}
		}
	}
	for _, record := range l.Records {
		if endpoint := record.GetBrick(); endpoint != nil && endpoint.Started > 0 && starts[endpoint.Host] != nil {
			starts[endpoint.Host][endpoint.Name] = time.Duration(endpoint.Started)
		}
	}
	return starts
}

// Cut returns the requests received at from or later and before to, relative to the first request, and all records of endpoints.
func (l *Load) Cut(from, to time.Duration) *Load {
	begin, _ := l.Span()
	cut := *l
	cut.Records = nil
	for _, record := range l.Records {
		received := time.Duration(record.At) - begin
		if record.GetBrick() != nil || received >= from && received < to {
			cut.Records = append(cut.Records, record)
		}
	}
	return &cut
}

// Write writes the load as one segment. The head is that of the first gateway, with the gateway name "merged" if there are several.
func (l *Load) Write(out io.Writer) error {
	block, err := newBlockBuilder()
	if err != nil {
		return err
	}
	defer block.close()
	if err := block.add(l.mergedHead()); err != nil {
		return err
	}
	if l.Lost > 0 {
		if err := block.add(&pb.Captured{What: &pb.Captured_Lost{Lost: l.Lost}}); err != nil {
			return err
		}
	}
	for _, record := range l.Records {
		if err := block.add(record); err != nil {
			return err
		}
		if block.full() {
			if _, err := out.Write(block.finish()); err != nil {
				return err
			}
		}
	}
	if block.records > 0 {
		_, err = out.Write(block.finish())
	}
	return err
}

func (l *Load) mergedHead() *pb.CaptureHead {
	merged := proto.Clone(l.Heads[0]).(*pb.CaptureHead)
	for _, head := range l.Heads[1:] {
		if head.Key != merged.Key {
			merged.Key = "several"
		}
		if head.Host != merged.Host {
			merged.Host = "merged"
		}
	}
	return merged
}
