package emulator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// timeToFirstToken runs a request to completion and returns the time to its first token.
func (h *harness) timeToFirstToken(each structs.GenerateRequest) time.Duration {
	began := h.now
	call := h.generate(each)
	h.run(5 * time.Second)
	h.Assert(checkAnswer(each, h.tokens(call)), qt.Equals, "")
	return h.tokenAt[call][0].Sub(began)
}

func (h *harness) events(after uint64) engineapi.EventPage {
	return *h.last(h.step(emulator.EngineInput{Kind: emulator.InputEvents, After: after})).Events
}

func TestPrefixCacheShortensPrefill(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	h.ready("n")
	long := prompt("p", 1600)
	options := h.engine.Options()
	step := options.DecodeBase + options.DecodePerSequence
	h.Check(h.timeToFirstToken(request("1", "m", long)), qt.Equals, step+1600*options.PrefillPerToken)
	h.Check(h.timeToFirstToken(request("2", "m", long)), qt.Equals, step)
	h.Check(h.timeToFirstToken(request("3", "m", long+prompt("q", 160))), qt.Equals, step+160*options.PrefillPerToken)
	h.Check(h.timeToFirstToken(request("4", "n", long)), qt.Equals, step+1600*options.PrefillPerToken, qt.Commentf("another row"))
	h.Check(h.timeToFirstToken(request("5", "m", prompt("r", 4096))), qt.Equals, 2*step+4096*options.PrefillPerToken, qt.Commentf("two chunks"))
}

func TestPrefixCacheIsBoundedAndPublishesChanges(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) {
		o.KVBytesPerToken = 1
		o.KVBytes = 100 * engineapi.BlockTokens
	})
	h.ready("m")
	cached := make(map[uint64]bool)
	after := uint64(0)
	for i := range 20 {
		h.timeToFirstToken(request(fmt.Sprint(i), "m", prompt(fmt.Sprint(i), 480)))
		page := h.events(after)
		for _, event := range page.Events {
			h.Assert(event.Sequence, qt.Equals, after+1, qt.Commentf("no gap without loss"))
			after = event.Sequence
			for _, block := range event.Blocks {
				h.Assert(cached[block], qt.Equals, event.Kind == engineapi.CacheEvicted)
				cached[block] = event.Kind == engineapi.CacheStored
			}
		}
		held := 0
		for _, is := range cached {
			if is {
				held++
			}
		}
		h.Assert(held > 0 && held <= 100, qt.IsTrue, qt.Commentf("%d blocks", held))
	}
	h.timeToFirstToken(request("again", "m", prompt("17", 480)))
	h.timeToFirstToken(request("new", "m", prompt("new", 480)))
	options := h.engine.Options()
	step := options.DecodeBase + options.DecodePerSequence
	h.Check(h.timeToFirstToken(request("used", "m", prompt("17", 480))), qt.Equals, step, qt.Commentf("a recently used prefix is retained"))
	after = h.events(after).Next
	for i := range 20 {
		blocks := engineapi.PromptBlocks("m", prompt(fmt.Sprint(i), 480))
		h.Check(cached[blocks[0]], qt.Equals, i >= 17, qt.Commentf("prompt %d: the newest are retained", i))
	}
	h.Check(h.engine.Records().PeakKV <= 100*engineapi.BlockTokens, qt.IsTrue)
	h.order(structs.Order{Kind: structs.OrderUnload, Row: "m"})
	h.run(time.Second)
	page := h.events(after)
	h.Assert(page.Events, qt.HasLen, 1)
	h.Check(page.Events[0].Kind, qt.Equals, engineapi.CacheCleared)
}

func TestCacheEventsAreDelayedAndLossy(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) { o.EventLag = time.Minute; o.EventLossRate = 0.5 })
	h.ready("m")
	for i := range 30 {
		h.timeToFirstToken(request(fmt.Sprint(i), "m", prompt(fmt.Sprint(i), 32)))
		if i < 10 {
			h.Assert(h.events(0).Events, qt.HasLen, 0, qt.Commentf("no event is visible before the lag"))
		}
	}
	h.run(time.Minute)
	page := h.events(0)
	h.Assert(page.Events, qt.Not(qt.HasLen), 0)
	last := page.Events[len(page.Events)-1].Sequence
	h.Check(len(page.Events) < int(last), qt.IsTrue, qt.Commentf("the sequence has gaps"))
	h.Check(page.Next, qt.Equals, last)
	h.Check(h.events(page.Next).Events, qt.HasLen, 0)
}

func TestImportedCacheResumesWithoutPrefill(t *testing.T) {
	tests := []struct {
		name     string
		imported bool
		change   func(cache *engineapi.KVCache)
		prefill  int
	}{
		{name: "imported", imported: true},
		{name: "without import", prefill: 1613},
		{name: "of another request", imported: true, change: func(c *engineapi.KVCache) { c.ID = "s" }, prefill: 13},
		{name: "older than the resume", imported: true, change: func(c *engineapi.KVCache) { c.Generated-- }, prefill: 13},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			from, to := newHarness(t, nil), newHarness(t, nil)
			from.ready("m")
			to.ready("m")
			whole := request("r", "m", prompt("p", 1603))
			call := from.generate(whole)
			for len(from.tokens(call)) < 10 {
				at, _ := from.engine.NextEvent()
				from.run(at.Sub(from.now))
			}
			resumed := whole
			resumed.ResumeFrom = 10
			export := from.step(emulator.EngineInput{Kind: emulator.InputExport, ID: "r", Row: "m"})
			from.Check(from.byCall[export], qt.HasLen, 0, qt.Commentf("an export takes time"))
			from.run(time.Second)
			cache := *from.last(export).Cache
			from.Assert(cache.Generated, qt.Equals, 10)
			if test.change != nil {
				test.change(&cache)
			}
			if test.imported {
				imported := to.step(emulator.EngineInput{Kind: emulator.InputImport, Cache: cache})
				to.run(time.Second)
				to.Assert(to.last(imported).Import.Tokens, qt.Equals, cache.Tokens)
			}
			options := to.engine.Options()
			want := options.DecodeBase + options.DecodePerSequence + time.Duration(test.prefill)*options.PrefillPerToken
			to.Check(to.timeToFirstToken(resumed), qt.Equals, want)
		})
	}
}

func TestExportAndImportAreRefused(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	export := h.step(emulator.EngineInput{Kind: emulator.InputExport, ID: "r", Row: "m"})
	h.Check(h.last(export).Kind, qt.Equals, emulator.OutputRefused)
	caches := map[string]engineapi.KVCache{
		"row not loaded":  {ID: "r", Row: "other", Tokens: 16, Blocks: []uint64{1}},
		"no ID":           {Row: "m", Tokens: 16, Blocks: []uint64{1}},
		"blocks missing":  {ID: "r", Row: "m", Tokens: 32, Blocks: []uint64{1}},
		"larger than all": {ID: "r", Row: "m", Tokens: 1 << 24, Blocks: make([]uint64, 1<<20)},
	}
	for name, cache := range caches {
		call := h.step(emulator.EngineInput{Kind: emulator.InputImport, Cache: cache})
		h.run(time.Second)
		h.Check(h.last(call).Kind, qt.Equals, emulator.OutputRefused, qt.Commentf("%s", name))
	}
}
