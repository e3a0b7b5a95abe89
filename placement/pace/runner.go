package pace

import "time"

// Runner is the speed of a runner. The zero value means that it is unknown.
//
// A runner reads prompts in pieces between the events of its streams, so that a prompt delays the
// first events of the prompts after it and all events of running streams.
type Runner struct {
	// PromptRate is the number of uncached prompt tokens that it reads per second.
	PromptRate float64
	// Event is the time between two events of a stream while no prompt is read. It depends little
	// on the number of streams, up to the batch size of the runner.
	Event time.Duration
	// Slowness is the time that the runner takes relative to the typical runner of its service for
	// the same work: 1 for the typical one, 0 if it is unknown.
	Slowness float64
}

// IsKnown reports whether the speed of the runner is known.
func (r Runner) IsKnown() bool { return r.PromptRate > 0 }

// Reading returns how long the runner reads the number of prompt tokens; 0 if its speed is unknown.
func (r Runner) Reading(tokens int64) time.Duration {
	if r.PromptRate <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.PromptRate * float64(time.Second))
}

// FirstEvent returns the time to the first event of a prompt with own tokens behind prompts with
// ahead tokens, from its admission to the batch.
func (r Runner) FirstEvent(ahead, own int64) time.Duration {
	return r.Reading(ahead+own) + r.Event
}
