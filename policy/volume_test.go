package policy

import (
	"testing"
	"time"
)

// A volume that clients made up must leave nothing behind once it is forgotten, and one that is in use must be kept.
func TestForgetVolume(t *testing.T) {
	h := startScheduler(smallSettings(), "a")
	h.quiet = true
	h.receive("read", "plain", "x", 0, 2)
	h.receive("read", "plain", "y", 99, 2) // no endpoint has the shard
	used, unknownShard := h.volumes["plainx"], h.volumes["plainy"]
	if h.scheduler.ForgetVolume(used) || h.scheduler.ForgetVolume(unknownShard) {
		t.Error("a volume with a request was forgotten")
	}
	h.endOldestAttempt(Served, true)
	h.advance(2 * time.Second)
	if !h.scheduler.ForgetVolume(used) || !h.scheduler.ForgetVolume(unknownShard) {
		t.Error("a volume without requests was kept")
	}
	if len(h.scheduler.volumes) != 0 || h.scheduler.shards[99] != nil || len(h.scheduler.shards[0].queues) != 0 {
		t.Errorf("%d volumes and shards %v are left", len(h.scheduler.volumes), h.scheduler.shards)
	}
}

// Forgetting a volume must not fill its bucket anew before the limit allows it.
func TestForgetVolumeKeepsLimit(t *testing.T) {
	h := startScheduler(smallSettings(), "a")
	h.quiet = true
	h.receive("read", "capped", "x", 0, 2)
	h.endOldestAttempt(Served, true)
	volume := h.volumes["cappedx"]
	if h.scheduler.ForgetVolume(volume) {
		t.Error("a volume was forgotten with its bucket used")
	}
	h.advance(2 * time.Second)
	if !h.scheduler.ForgetVolume(volume) {
		t.Error("a volume was kept with its bucket full")
	}
}
