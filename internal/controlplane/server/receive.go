package server

import (
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/pb"
)

// receive processes a gateway's messages until its stream ends and returns the reason.
func (c *Controller) receive(server followServer, name string) error {
	var report []*pb.Item // records of an incomplete report
	for {
		message, err := server.Recv()
		if err != nil {
			return err
		}
		switch content := message.What.(type) {
		case *pb.EdgeSays_Ack:
			c.handleAck(name, content.Ack)
		case *pb.EdgeSays_Report:
			report = append(report, content.Report.Item...)
			if err := c.handleReport(name, content.Report, report); err != nil {
				return status.Error(codes.ResourceExhausted, err.Error())
			}
			if content.Report.Last {
				report = nil
			}
		}
	}
}

func (c *Controller) handleAck(name string, ack *pb.EdgeAck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Acknowledge(name, ack.GetTenure(), ack.Generation, ack.Beat, now())
}

// handleReport processes a chunk of a gateway's report. collected contains the records of all its chunks so far.
func (c *Controller) handleReport(name string, chunk *pb.EdgeReport, collected []*pb.Item) error {
	if len(collected) > protocol.MaxRecords {
		return fmt.Errorf("a report of more than %d records", protocol.MaxRecords)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.state.MergeReport(name, chunk.Item, chunk.Last, now()); err != nil {
		return err
	}
	if chunk.Last {
		c.reports[name] = collected
		c.reportCount[name]++
		c.mergeReportedEndpoints(collected)
		c.wakeStreams()
	}
	return nil
}
