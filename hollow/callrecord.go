package hollow

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// outcome says how a request ended.
type outcome int

// The outcomes.
const (
	outcomeOpen outcome = iota
	outcomeAnswered
	outcomeReplayed
	outcomeRefused
	// outcomeCut: the router died, and the caller's connection with it.
	outcomeCut
)

// textCheckEvery is how many requests share one whose token texts are compared.
const textCheckEvery = 16

// callRecord is one request as its caller sees it. It belongs to the partition
// of the router that has the request.
type callRecord struct {
	request   structs.Request
	arrivedAt int64
	// cold says that the request was for a row that was not loaded.
	cold      bool
	checkText bool
	tokens    int
	firstAt   int64
	lastAt    int64
	gap       int64
	result    outcome
	// returned is set while a router decides about the request as offered by another
	// zone; it takes it back.
	returned func()
}

// take checks and counts a token.
func (c *callRecord) take(home *zoneSite, token structs.Token) {
	if token.Index != c.tokens {
		home.violate("answer", "%s got token %d in place of %d", c.request.ID, token.Index, c.tokens)
	}
	if c.checkText && token.Text != emulator.ExpectedToken(c.request.Row, c.request.Prompt, token.Index) {
		home.violate("answer", "%s got a wrong token %d", c.request.ID, token.Index)
	}
	if c.tokens == 0 {
		c.firstAt = home.now
	} else {
		c.gap = max(c.gap, home.now-c.lastAt)
	}
	c.tokens++
	c.lastAt = home.now
	home.load.tokens++
}

// end counts the outcome.
func (c *callRecord) end(home *zoneSite, result outcome, refusal *structs.Refusal) {
	if c.result != outcomeOpen {
		home.violate("request", "%s ended twice", c.request.ID)
		return
	}
	c.result = result
	load := &home.load
	load.open--
	late := home.now - int64(c.request.DeadlineAt.Sub(epochStart))
	if late > int64(lateAllowance) {
		home.violate("request", "%s ended %v after its deadline", c.request.ID, time.Duration(late))
	}
	switch result {
	case outcomeAnswered:
		load.answered++
		expected := emulator.ExpectedLength(c.request.Row, c.request.Prompt, c.request.MaxTokens)
		if c.tokens != expected {
			home.violate("answer", "%s got %d tokens of %d", c.request.ID, c.tokens, expected)
		}
		load.times(c)
	case outcomeReplayed:
		load.answered++
	case outcomeRefused:
		load.refused++
		load.refusedBy[fmt.Sprintf("%s/%s", refusal.Error.Kind, refusal.Execution)]++
	case outcomeCut:
		load.cut++
	}
}

// lateAllowance is how much later than its deadline a request may end. An answer
// that streams when the deadline passes is ended by the core's tick.
const lateAllowance = time.Second
