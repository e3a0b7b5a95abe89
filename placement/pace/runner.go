package pace

import "time"

// Runner is what work takes at one runner. The zero value says nothing of it.
//
// A runner reads prompts in pieces between the events of its streams, so that a prompt
// delays the first events of those that are read after it, and every event of those that run.
type Runner struct {
	// PromptRate is how many prompt tokens that no cache holds it reads a second.
	PromptRate float64
	// Event is the time between two events of a stream while it reads no prompt. More
	// streams at once change it little, up to the runner's batch.
	Event time.Duration
	// Slowness is how many times as long as the usual runner of its service it takes for the
	// same work: 1 for the usual one, 0 if nothing tells.
	Slowness float64
}

// IsKnown reports whether anything was learned of the runner.
func (r Runner) IsKnown() bool { return r.PromptRate > 0 }

// Reading is how long the runner reads so many tokens of prompts; 0 if it is not known.
func (r Runner) Reading(tokens int64) time.Duration {
	if r.PromptRate <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.PromptRate * float64(time.Second))
}

// FirstEvent is how long a prompt with own tokens waits for its first event behind prompts
// with ahead tokens, counted from when it is let into the batch.
func (r Runner) FirstEvent(ahead, own int64) time.Duration {
	return r.Reading(ahead+own) + r.Event
}
