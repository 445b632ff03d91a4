package capture

import (
	"encoding/binary"
	"io"

	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

func endpointRecord(change engine.EndpointChange) *pb.Captured {
	return &pb.Captured{At: int64(change.ChangedAt), What: &pb.Captured_Brick{Brick: &pb.CapturedBrick{Name: change.Endpoint, Zone: change.Zone,
		Cell: int64(change.Shard), Serving: change.Serving, Gone: change.Removed, Started: int64(change.StartedAt)}}}
}

func (w *Writer) requestRecord(request *engine.RequestRecord) *pb.Captured {
	captured := &pb.CapturedCommand{Volume: request.Volume, Plan: request.Plan, QueueType: request.Class, Units: request.Units, Cell: int64(request.Shard),
		Repeat: request.Retry, Object: w.objectHash(request.Object), Timeout: int64(request.Timeout), Took: int64(request.Duration),
		Final: pb.CapturedCommand_Final(request.Result), Body: uint32(request.BodyBytes)}
	for _, attempt := range request.Attempts {
		captured.Dispatch = append(captured.Dispatch, &pb.CapturedDispatch{Brick: attempt.Endpoint, After: int64(attempt.SentAt - request.ReceivedAt),
			Took: int64(attempt.Duration), How: int32(attempt.Outcome)})
	}
	return &pb.Captured{At: int64(request.ReceivedAt), What: &pb.Captured_Command{Command: captured}}
}

// objectHash returns a keyed hash of an object's name, by which requests for the same object can be matched; 0 if there is no name.
func (w *Writer) objectHash(object string) uint64 {
	if object == "" {
		return 0
	}
	w.mac.Reset()
	_, _ = io.WriteString(w.mac, object) // a hash never fails
	return binary.LittleEndian.Uint64(w.mac.Sum(nil)) | 1
}
