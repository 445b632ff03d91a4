// Package simulatorwire runs schedulers (package policy) behind the simulator's wire protocol. The protocol is JSON lines: each input
// line is a batch of events of any number of gateways, and each output line has the resulting actions. The only clock is the time in
// the batches, so the same input always gives the same output.
//
// The package maps the wire's names, which the simulator defines, to the names used in this repository:
//
//	knock, rid, cls, grade, owner     a request arrives: its ID, class, plan, volume
//	weight, group_no, give_up_at_us   its units, shard, deadline
//	relay, reply, first               an attempt is sent, ends, starts to receive its response
//	push_back, drop_request           a request is rejected, failed
//	drop_attempt, client_gone         an attempt is canceled, a client disconnected
//	brick, region_part, group         an endpoint, its zone and shard
//	sheet, view, tail                 an endpoint list is stored, read by a gateway, requested
//	inspect, probe_result             a health check and its outcome
//	memo_to, from_peer                gossip of the scheduler
//	remind, timeout_fired             a timer is set, is due
//	enlist, crash_now, bail_out       a gateway starts, is killed, has panicked
//	elsewhere, metered                the endpoint's load report
package simulatorwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fastjson"
)

const (
	readBufferSize  = 1 << 20 // bytes
	writeBufferSize = 1 << 18 // bytes
)

// Serve reads batches from in until its end and writes one line to out for each. It returns an error at the first invalid batch, and
// if reading or writing fails.
func Serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferSize)
	writer := bufio.NewWriterSize(out, writeBufferSize)
	a := &adapter{gateways: map[int]*gateway{}, lists: map[int]endpointList{}}
	var parser fastjson.Parser
	for number := 1; ; number++ {
		line, readErr := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			batch, err := parser.ParseBytes(line)
			if err != nil {
				return fmt.Errorf("batch %d is not JSON: %w", number, err)
			}
			if err := a.runBatch(batch, writer); err != nil {
				return fmt.Errorf("batch %d: %w", number, err)
			}
			if err := writer.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// adapter holds all gateways of one simulation.
type adapter struct {
	now      time.Duration // time of the current batch
	gateways map[int]*gateway
	lists    map[int]endpointList // stored lists by the simulator's number
}

// endpointList is a stored endpoint list.
type endpointList struct {
	entries []*fastjson.Value
	parser  *fastjson.Parser // owns the memory of entries
}

func (a *adapter) runBatch(batch *fastjson.Value, writer *bufio.Writer) error {
	if batch.Type() != fastjson.TypeObject {
		return errors.New("not an object")
	}
	fields := fieldReader{object: batch}
	now, parts := fields.micros("ts_us"), fields.array("parts")
	if fields.err != nil {
		return fields.err
	}
	a.now = now
	writer.WriteString(`{"parts":[`)
	first := true
	for _, part := range parts.GetArray() {
		id, g, err := a.runPart(part)
		if err != nil {
			return err
		}
		if len(g.actions) == 0 {
			continue
		}
		if !first {
			writer.WriteByte(',')
		}
		first = false
		fmt.Fprintf(writer, `{"host_id":%d,"do":[`, id)
		writer.Write(g.actions)
		writer.WriteString("]}")
	}
	writer.WriteString("]}\n")
	return nil
}

// runPart runs the events of one gateway and leaves the resulting actions in g.actions.
func (a *adapter) runPart(part *fastjson.Value) (id int64, g *gateway, err error) {
	fields := fieldReader{object: part}
	id = fields.integer("host_id")
	if fields.err != nil {
		return 0, nil, fields.err
	}
	events := fields.array("news")
	if fields.err != nil {
		return 0, nil, fmt.Errorf("gateway %d: %w", id, fields.err)
	}
	g = a.gateways[int(id)]
	if g == nil {
		g = &gateway{adapter: a}
		a.gateways[int(id)] = g
	}
	g.actions = g.actions[:0]
	for i, event := range events.GetArray() {
		if err := g.runEvent(event); err != nil {
			return 0, nil, fmt.Errorf("gateway %d, event %d: %w", id, i, err)
		}
	}
	return id, g, nil
}

// storeList stores an endpoint list under its number, so that gateways can read it later, also in other batches.
func (a *adapter) storeList(event *fastjson.Value) error {
	fields := fieldReader{object: event}
	number, lines := fields.integer("buffer"), fields.array("lines")
	if fields.err != nil {
		return fmt.Errorf("%s: %w", eventStoreList, fields.err)
	}
	parser := &fastjson.Parser{} // not the batch's parser, whose values are valid only during the batch
	stored, err := parser.ParseBytes(lines.MarshalTo(nil))
	if err != nil {
		return err
	}
	a.lists[int(number)] = endpointList{entries: stored.GetArray(), parser: parser}
	return nil
}
