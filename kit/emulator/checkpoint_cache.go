package emulator

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// tierCache is an LRU cache of checkpoints in one tier. There are few checkpoints, so a
// slice in order of use suffices.
type tierCache struct {
	capacity int64
	used     int64
	// checkpoints are sorted from the least to the most recently used.
	checkpoints []checkpoint
}

type checkpoint struct {
	row       structs.RowName
	sizeBytes int64
}

func (c *tierCache) index(row structs.RowName) int {
	return slices.IndexFunc(c.checkpoints, func(held checkpoint) bool { return held.row == row })
}

func (c *tierCache) has(row structs.RowName) bool { return c.index(row) >= 0 }

// put adds a checkpoint or marks it as used. A checkpoint larger than the tier is not
// cached.
func (c *tierCache) put(row structs.RowName, sizeBytes int64) {
	if i := c.index(row); i >= 0 {
		c.used -= c.checkpoints[i].sizeBytes
		c.checkpoints = slices.Delete(c.checkpoints, i, i+1)
	}
	if sizeBytes > c.capacity {
		return
	}
	for c.used+sizeBytes > c.capacity {
		c.used -= c.checkpoints[0].sizeBytes
		c.checkpoints = slices.Delete(c.checkpoints, 0, 1)
	}
	c.checkpoints = append(c.checkpoints, checkpoint{row: row, sizeBytes: sizeBytes})
	c.used += sizeBytes
}

func (c *tierCache) clear() {
	c.checkpoints = nil
	c.used = 0
}

// CheckpointCache is an LRU cache of the checkpoints in a runner's host memory and on
// its disk. It is not safe for concurrent use.
type CheckpointCache struct {
	memory tierCache
	disk   tierCache
	// listed is the last result of List; stale tells that it is outdated.
	listed []structs.CachedRow
	stale  bool
}

// NewCheckpointCache returns an empty cache with tiers of the given sizes in bytes.
func NewCheckpointCache(memoryBytes, diskBytes int64) *CheckpointCache {
	return &CheckpointCache{memory: tierCache{capacity: memoryBytes}, disk: tierCache{capacity: diskBytes}}
}

// Tier returns the nearest tier that holds the row.
func (c *CheckpointCache) Tier(row structs.RowName) structs.CacheTier {
	switch {
	case c.memory.has(row):
		return structs.TierMemory
	case c.disk.has(row):
		return structs.TierDisk
	}
	return structs.TierStore
}

// Put adds a checkpoint to the tier or marks it as used there. A checkpoint larger than
// the tier is not cached. Any tier other than memory means disk.
func (c *CheckpointCache) Put(tier structs.CacheTier, row structs.RowName, sizeBytes int64) {
	target := &c.disk
	if tier == structs.TierMemory {
		target = &c.memory
	}
	c.stale = c.stale || !target.has(row)
	target.put(row, sizeBytes)
}

// ClearMemory drops the checkpoints in host memory.
func (c *CheckpointCache) ClearMemory() {
	c.memory.clear()
	c.stale = true
}

// ClearDisk drops the checkpoints on disk.
func (c *CheckpointCache) ClearDisk() {
	c.disk.clear()
	c.stale = true
}

// List returns the nearest tier of each cached row, sorted by name. The result is shared
// and must not be modified.
func (c *CheckpointCache) List() []structs.CachedRow {
	if !c.stale {
		return c.listed
	}
	var cached []structs.CachedRow
	for _, held := range c.memory.checkpoints {
		cached = append(cached, structs.CachedRow{Row: held.row, Tier: structs.TierMemory})
	}
	for _, held := range c.disk.checkpoints {
		if !c.memory.has(held.row) {
			cached = append(cached, structs.CachedRow{Row: held.row, Tier: structs.TierDisk})
		}
	}
	slices.SortFunc(cached, func(a, b structs.CachedRow) int { return cmp.Compare(a.Row, b.Row) })
	c.listed, c.stale = cached, false
	return cached
}
