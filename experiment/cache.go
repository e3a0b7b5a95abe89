package experiment

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// cache is one tier of a runner's checkpoint cache, in the order of use.
type cache struct {
	capacity int64
	used     int64
	entries  []cacheEntry
	// changes counts the changes of what is cached.
	changes int
}

type cacheEntry struct {
	row   structs.RowName
	bytes int64
}

func (c *cache) index(row structs.RowName) int {
	return slices.IndexFunc(c.entries, func(entry cacheEntry) bool { return entry.row == row })
}

func (c *cache) has(row structs.RowName) bool { return c.index(row) >= 0 }

// put adds a checkpoint or marks it used, and drops the least recently used.
func (c *cache) put(row structs.RowName, bytes int64) {
	if i := c.index(row); i >= 0 {
		entry := c.entries[i]
		c.entries = append(slices.Delete(c.entries, i, i+1), entry)
		return
	}
	if bytes > c.capacity {
		return
	}
	for c.used+bytes > c.capacity {
		c.used -= c.entries[0].bytes
		c.entries = slices.Delete(c.entries, 0, 1)
	}
	c.entries = append(c.entries, cacheEntry{row, bytes})
	c.used += bytes
	c.changes++
}

func (c *cache) clear() {
	c.entries = nil
	c.used = 0
	c.changes++
}
