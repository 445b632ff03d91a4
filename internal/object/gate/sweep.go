package gate

import (
	"context"
	"slices"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// sweepBatch is the maximum number of extents that one call of Sweep removes.
const sweepBatch = 256

// Sweep aborts uploads that have been idle for UploadIdleTimeout and removes unreferenced extents: it overwrites them with empty content
// and then deletes their records. It returns the number of removed extents and the number of unreferenced extents that remain.
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

// withoutOwnWrites returns found without the extents that this process is still writing.
//
// It prevents the sweep from removing extents of an upload in progress: a write may take longer than IntentTimeout, and Sweep would then
// take its extents for leftovers of a crashed process. The commit of the upload would fail, or an object without its bytes would be
// acknowledged. An extent is in g.writing from before its intent is recorded until the caller has committed or abandoned it.
func (g *Gate) withoutOwnWrites(found []*pb.LooseRecord) []*pb.LooseRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(found, func(record *pb.LooseRecord) bool { return !record.Doomed && g.writing[record.Extent.Id] })
}

// removeContent overwrites extents with empty content, one at a time, and returns the ids of those that were overwritten. It stops when
// ctx is done.
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
