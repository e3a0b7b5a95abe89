package ratelimit

// Notice is what an answer of a runner tells of its rate limit. The zero value is that of an answer that names
// none: the runner takes what its slots bear.
type Notice struct {
	// IsNamed is set if the answer names a limit, of PerSecond requests a second.
	IsNamed   bool
	PerSecond float64
	// Problem tells why a limit that is named cannot be read; empty for nothing. Such an answer tells nothing.
	Problem string
}
