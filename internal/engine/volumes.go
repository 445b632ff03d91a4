package engine

import (
	"container/list"
	"time"

	"weirhaven/policy"
)

const (
	// volumeIdleTime is the time after its last request at which a volume is forgotten.
	volumeIdleTime = 30 * time.Second
	// maxForgetAttempts is the number of idle volumes that are tried for each new one when there are MaxVolumes.
	maxForgetAttempts = 16
	// defaultMaxVolumes is the number of volumes that are kept if Core.MaxVolumes is 0.
	defaultMaxVolumes = 4096
)

// VolumeMemory is about what a volume holds in the engine and the scheduler, in bytes.
const VolumeMemory = 1 << 10

// volumeEntry is a volume's state, made when a request for it arrives.
type volumeEntry struct {
	policy.Volume
	key      string // key in Core.volumes
	gateways int
	open     int           // number of requests that are not released
	idleAt   time.Duration // time at which the last request was released
	idle     *list.Element // element of Core.idleVolumes; nil: a request is open, or the volume is configured
}

// useVolume returns a request's volume, and notifies the scheduler if the number of gateways that use it has changed. It returns nil
// if there are MaxVolumes that can't be forgotten.
func (c *Core) useVolume(use volumeUse) *volumeEntry {
	entry := c.volumes[use.key]
	if entry == nil {
		if !c.makeRoomForVolume() {
			return nil
		}
		entry = &volumeEntry{key: use.key, gateways: use.gateways}
		c.volumes[use.key] = entry
	}
	if entry.idle != nil {
		c.idleVolumes.Remove(entry.idle)
		entry.idle = nil
	}
	entry.open++
	if entry.gateways != use.gateways {
		entry.gateways = use.gateways
		c.scheduler.SetVolumeGateways(&entry.Volume, use.gateways)
	}
	return entry
}

// leaveVolume ends the use of a volume by a request. Volumes of the configuration are kept.
func (c *Core) leaveVolume(entry *volumeEntry) {
	if entry.open--; entry.open == 0 && c.lookupVolume == nil {
		entry.idleAt = c.now
		entry.idle = c.idleVolumes.PushBack(entry)
	}
}

// makeRoomForVolume forgets an idle volume if there are MaxVolumes, the one idle for longest first. It reports whether there is space
// for another one.
func (c *Core) makeRoomForVolume() bool {
	limit := c.MaxVolumes
	if limit == 0 {
		limit = defaultMaxVolumes
	}
	if c.lookupVolume != nil || len(c.volumes) < limit {
		return true
	}
	element := c.idleVolumes.Front()
	for range maxForgetAttempts {
		if element == nil {
			return false
		}
		next := element.Next()
		if c.forgetVolume(element.Value.(*volumeEntry)) {
			return true
		}
		element = next
	}
	return false
}

// forgetIdleVolumes forgets the volumes that have had no request for volumeIdleTime.
func (c *Core) forgetIdleVolumes() {
	for element := c.idleVolumes.Front(); element != nil; {
		entry := element.Value.(*volumeEntry)
		if c.now-entry.idleAt < volumeIdleTime {
			return
		}
		element = element.Next()
		c.forgetVolume(entry)
	}
}

// forgetVolume forgets an idle volume, unless the scheduler still needs its state.
func (c *Core) forgetVolume(entry *volumeEntry) bool {
	if !c.scheduler.ForgetVolume(&entry.Volume) {
		return false
	}
	c.idleVolumes.Remove(entry.idle)
	delete(c.volumes, entry.key)
	return true
}
