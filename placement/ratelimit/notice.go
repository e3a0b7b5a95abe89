package ratelimit

// Notice is the rate limit announced in a runner's answer. The zero value announces none.
type Notice struct {
	// IsNamed is set if the answer announces a limit of PerSecond requests per second.
	IsNamed   bool
	PerSecond float64
	// Problem describes why an announced limit is invalid. The answer is then ignored.
	Problem string
}
