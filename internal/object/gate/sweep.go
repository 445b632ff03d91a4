package gate

import (
	"context"
	"slices"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// sweepBatch is how many extents one Sweep removes at most.
const sweepBatch = 256

// Sweep aborts uploads that are idle for too long and removes unreferenced extents: it overwrites their bytes by none, then drops their
// records. It returns how many extents it removed, and how many unreferenced ones remain.
func (g *Gate) Sweep(ctx context.Context) (removed, remaining int, err error) {
	now := g.config.Now()
	if err := g.abortIdleUploads(now); err != nil {
		return 0, 0, err
	}
	found, total, err := g.config.Index.RemovableExtents(g.config.IntentTimeout, now, g.oldestRead(g.config.Now()+1), sweepBatch)
	if err != nil {
		return 0, total, err
	}
	claimed, err := g.config.Index.ClaimForRemoval(g.withoutOwnWrites(found))
	if err != nil {
		return 0, total, err
	}
	ids := g.removeContent(ctx, claimed)
	if len(ids) > 0 {
		err = g.config.Index.Forget(ids)
	}
	return len(ids), total - len(ids), err
}

func (g *Gate) abortIdleUploads(now time.Duration) error {
	idle, err := g.config.Index.IdleUploads(g.config.UploadIdleTimeout, now)
	if err != nil {
		return err
	}
	for _, upload := range idle {
		g.config.Log.Info("idle upload aborted", "volume", upload.Volume, "name", upload.Name, "upload", upload.Id)
		if err := g.config.Index.AbortUpload(upload.Volume, upload.Name, upload.Id, now); err != nil {
			return err
		}
	}
	return nil
}

// withoutOwnWrites leaves out the extents that this process still writes.
//
// It guards against a sweep of an upload in progress: a write may last longer than IntentTimeout, and Sweep then mistakes its extents for
// leftovers of a process that died. The upload would fail at its commit, or be acknowledged without its bytes. It holds since an extent
// is in writing before its intent is recorded and until its caller has committed or abandoned it.
func (g *Gate) withoutOwnWrites(found []*pb.LooseRecord) []*pb.LooseRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(found, func(record *pb.LooseRecord) bool { return !record.Doomed && g.writing[record.Extent.Id] })
}

// removeContent overwrites extents by empty ones, one after another, and returns the ids of those where that succeeded. It ends with ctx.
func (g *Gate) removeContent(ctx context.Context, claimed []*pb.LooseRecord) (removed []string) {
	for _, record := range claimed {
		extent := record.Extent
		request := &engine.Request{Volume: record.Volume, Class: g.config.WriteClass, Object: extentObject(extent.Id), Tag: extent.Id + "-gone",
			Shard: int(extent.Cell), Units: 1}
		if _, fault := g.submit(ctx, request); fault == nil {
			removed = append(removed, extent.Id)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return removed
}
