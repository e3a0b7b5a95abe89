package pace

import "time"

// Class is what models share whose events take equally long at one runner: the size of their
// weights decides it. A model whose size is not known is a class of its own.
type Class struct {
	Service string
	SizeMB  float64
	Model   string
}

// Sample is what a router saw of a stream at a runner. What it did not see is 0.
type Sample struct {
	Instance string
	Class    Class
	// Gap is the median of the times between two events.
	Gap time.Duration
	// First is the time from sending the request to its first event.
	First time.Duration
	// Prompt is how many tokens of the prompt the runner probably read.
	Prompt int64
	// Events is how many events a whole stream had.
	Events int
}
