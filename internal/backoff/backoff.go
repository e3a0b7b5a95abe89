package backoff

import "time"

// maxDoublings keeps the doubled delay from overflowing.
const maxDoublings = 10

// Delay returns a random delay after the given number of earlier failures (0 for the first
// failure): from the upper half of base × 2^failures, limited to limit. random returns
// uniformly distributed values. base must be at least 2 ns.
func Delay(random func() uint64, base, limit time.Duration, failures int) time.Duration {
	ceiling := min(base<<min(failures, maxDoublings), limit)
	return ceiling/2 + time.Duration(random()%uint64(ceiling/2))
}
