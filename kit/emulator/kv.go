package emulator

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// importedLimit is the maximum number of imported caches that wait for their request.
const importedLimit = 256

// importedCaches holds the imported caches by request ID, to account for their last,
// partial blocks. The full blocks are in the prefix cache.
type importedCaches struct {
	caches []engineapi.KVCache
}

func (c *importedCaches) put(cache engineapi.KVCache) {
	same := func(held engineapi.KVCache) bool { return held.ID == cache.ID }
	c.caches = slices.DeleteFunc(c.caches, same)
	if len(c.caches) == importedLimit {
		c.caches = slices.Delete(c.caches, 0, 1)
	}
	c.caches = append(c.caches, cache)
}

// take removes the imported cache of the request and returns the number of tokens it
// covers. The context has the given number of full blocks, and covered tokens are in the
// prefix cache.
func (c *importedCaches) take(request structs.GenerateRequest, blocks, covered int) int {
	for i, held := range c.caches {
		if held.ID != request.ID || held.Row != request.Row {
			continue
		}
		c.caches = slices.Delete(c.caches, i, i+1)
		if held.Generated != request.ResumeFrom || covered < blocks*engineapi.BlockTokens {
			return 0
		}
		return min(held.Tokens, engineapi.PromptTokens(request.Prompt)+request.ResumeFrom)
	}
	return 0
}

// contextBlocks returns the keys of the full blocks of the prompt and of the first
// generated tokens. The key of a block with generated tokens depends on the prompt hash
// and the block's position.
func contextBlocks(request structs.GenerateRequest, seed uint64, generated int) []uint64 {
	keys := engineapi.PromptBlocks(request.Row, request.Prompt)
	whole := (engineapi.PromptTokens(request.Prompt) + generated) / engineapi.BlockTokens
	for position := len(keys); position < whole; position++ {
		keys = append(keys, mix(^seed, uint64(position)))
	}
	return keys
}

// cacheBlocks adds blocks to the prefix cache and publishes the change.
func (e *Engine) cacheBlocks(row structs.RowName, keys []uint64) {
	added := e.prefix.insert(row, keys, e.blockCapacity()-e.batch.reserved)
	if len(added) > 0 {
		e.publish(engineapi.CacheStored, row, added)
	}
	e.fitPrefixCache()
}

// fitPrefixCache evicts blocks to keep the prefix cache within the unreserved KV blocks.
func (e *Engine) fitPrefixCache() {
	dropped := e.prefix.shrink(e.blockCapacity() - e.batch.reserved)
	for len(dropped) > 0 {
		row := dropped[0].row
		var keys []uint64
		for len(dropped) > 0 && dropped[0].row == row {
			keys = append(keys, dropped[0].key)
			dropped = dropped[1:]
		}
		e.publish(engineapi.CacheEvicted, row, keys)
	}
}

func (e *Engine) publish(kind engineapi.CacheEventKind, row structs.RowName, keys []uint64) {
	e.events.add(e.now.Add(e.options.EventLag), kind, row, keys, e.options.EventLossRate, e.options.Random)
}

// exportCache exports the KV cache of a running request.
func (e *Engine) exportCache(call CallID, id structs.RequestID, row structs.RowName) {
	record := e.requests.byID[id]
	exportable := record != nil && record.sequence != nil && record.sequence.execution != nil &&
		record.sequence.next > record.sequence.request.ResumeFrom && record.sequence.request.Row == row
	if !exportable {
		e.refuse(call, structs.ExecutionNotRun, structs.NewError(structs.ErrorNotFound,
			"no running request with this ID and row has generated a token", "Resume the request elsewhere without its cache."))
		return
	}
	current := record.sequence
	generated := current.next
	tokens := engineapi.PromptTokens(current.request.Prompt) + generated
	cache := engineapi.KVCache{
		ID:        id,
		Row:       row,
		Tokens:    tokens,
		Generated: generated,
		Blocks:    contextBlocks(current.request, current.seed, generated),
		SizeBytes: int64(tokens) * e.options.KVBytesPerToken,
	}
	e.after(e.transferTime(cache), func() {
		e.emit(EngineOutput{Kind: OutputExport, Call: call, Cache: &cache})
	})
}

// importCache imports the KV cache of a request to be resumed on this engine.
func (e *Engine) importCache(call CallID, cache engineapi.KVCache) {
	if _, refusal := e.servingReplica(cache.Row); refusal != nil {
		e.emit(EngineOutput{Kind: OutputRefused, Call: call, Refusal: refusal})
		return
	}
	if cache.ID == "" || cache.Tokens < cache.Generated || len(cache.Blocks) != cache.Tokens/engineapi.BlockTokens {
		e.refuse(call, structs.ExecutionNotRun, structs.NewError(structs.ErrorInvalid,
			"the KV cache has no ID or its blocks do not match its tokens", "Export the cache again."))
		return
	}
	if len(cache.Blocks) > e.blockCapacity()-e.batch.reserved {
		e.refuse(call, structs.ExecutionNotRun, structs.NewError(structs.ErrorOverloaded,
			"there are not enough free KV blocks for the cache", "Resume the request without it or on another replica."))
		return
	}
	e.after(e.transferTime(cache), func() {
		e.imported.put(cache)
		e.cacheBlocks(cache.Row, cache.Blocks)
		e.emit(EngineOutput{Kind: OutputImport, Call: call, Import: &engineapi.ImportReply{Tokens: cache.Tokens}})
	})
}

func (e *Engine) transferTime(cache engineapi.KVCache) time.Duration {
	return e.faults.slow(transferTime(cache.SizeBytes, e.options.KVSpeed))
}

// transferTime returns the time to transfer sizeBytes at speed bytes per second.
func transferTime(sizeBytes, speed int64) time.Duration {
	return time.Duration(float64(sizeBytes) / float64(speed) * float64(time.Second))
}
