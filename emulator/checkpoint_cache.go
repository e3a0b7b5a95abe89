package emulator

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// tierCache holds checkpoints in one cache tier and drops the least recently
// used ones. Checkpoints are few, so a slice in the order of use serves.
type tierCache struct {
	capacity int64
	used     int64
	// checkpoints run from the least to the most recently used.
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

// put adds a checkpoint or marks it used. One that is larger than the tier is
// not kept.
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

// checkpointCache holds the cache tiers of a runner.
type checkpointCache struct {
	memory tierCache
	disk   tierCache
}

// tier returns the nearest tier that has the row.
func (c *checkpointCache) tier(row structs.RowName) structs.CacheTier {
	switch {
	case c.memory.has(row):
		return structs.TierMemory
	case c.disk.has(row):
		return structs.TierDisk
	}
	return structs.TierStore
}

// list returns the nearest tier of each cached row, by name.
func (c *checkpointCache) list() []structs.CachedRow {
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
	return cached
}
