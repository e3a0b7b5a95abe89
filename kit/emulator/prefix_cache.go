package emulator

import (
	"github.com/lotusferry/lotusferry/structs"
)

// prefixBlock is an entry of the prefix cache's LRU list.
type prefixBlock struct {
	key          uint64
	row          structs.RowName
	newer, older *prefixBlock
}

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	blocks         map[uint64]*prefixBlock
	newest, oldest *prefixBlock
}

// leading returns the number of leading keys that are cached and marks them as used. The
// first key becomes the most recent, so that prefixes are evicted from their ends.
func (c *prefixCache) leading(keys []uint64) int {
	count := 0
	for count < len(keys) && c.blocks[keys[count]] != nil {
		count++
	}
	for i := count - 1; i >= 0; i-- {
		block := c.blocks[keys[i]]
		c.unlink(block)
		c.link(block)
	}
	return count
}

// insert adds the leading keys that fit within limit blocks and returns those that were
// new.
func (c *prefixCache) insert(row structs.RowName, keys []uint64, limit int) []uint64 {
	keys = keys[:min(len(keys), max(limit, 0))]
	if c.blocks == nil && len(keys) > 0 {
		c.blocks = make(map[uint64]*prefixBlock)
	}
	var added []uint64
	for i := len(keys) - 1; i >= 0; i-- {
		block := c.blocks[keys[i]]
		if block == nil {
			block = &prefixBlock{key: keys[i], row: row}
			c.blocks[keys[i]] = block
			added = append(added, keys[i])
		} else {
			c.unlink(block)
		}
		c.link(block)
	}
	return added
}

// shrink evicts the least recently used blocks down to limit and returns them.
func (c *prefixCache) shrink(limit int) []*prefixBlock {
	var dropped []*prefixBlock
	for len(c.blocks) > max(limit, 0) {
		block := c.oldest
		c.unlink(block)
		delete(c.blocks, block.key)
		dropped = append(dropped, block)
	}
	return dropped
}

// removeRow removes all blocks of a row and returns their number.
func (c *prefixCache) removeRow(row structs.RowName) int {
	removed := 0
	for block := c.newest; block != nil; {
		older := block.older
		if block.row == row {
			c.unlink(block)
			delete(c.blocks, block.key)
			removed++
		}
		block = older
	}
	return removed
}

func (c *prefixCache) link(block *prefixBlock) {
	block.newer, block.older = nil, c.newest
	if c.newest != nil {
		c.newest.newer = block
	} else {
		c.oldest = block
	}
	c.newest = block
}

func (c *prefixCache) unlink(block *prefixBlock) {
	if block.newer != nil {
		block.newer.older = block.older
	} else {
		c.newest = block.older
	}
	if block.older != nil {
		block.older.newer = block.newer
	} else {
		c.oldest = block.newer
	}
	block.newer, block.older = nil, nil
}
