package pace

import "time"

// Class identifies models whose events take equally long at the same runner, which depends on the
// size of their weights. A model with an unknown size is a class of its own.
type Class struct {
	Service string
	SizeMB  float64
	Model   string
}

// Sample is what a router observed of a stream at a runner. Unknown fields are 0.
type Sample struct {
	Instance string
	Class    Class
	// Gap is the median time between two events.
	Gap time.Duration
	// First is the time from sending the request to its first event.
	First time.Duration
	// Prompt is the number of prompt tokens that the runner probably read.
	Prompt int64
	// Events is the number of events of a completed stream.
	Events int
}
