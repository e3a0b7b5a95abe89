package backoff_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/backoff"
)

// A delay outside these bounds floods the peer or leaves a recovered one unused.
func TestDelayIsInUpperHalfOfDoubledBase(t *testing.T) {
	const base, limit = 50 * time.Millisecond, 2 * time.Second
	for _, test := range []struct {
		failures int
		ceiling  time.Duration
	}{
		{0, base},
		{1, 2 * base},
		{5, 32 * base},
		{6, limit},
		{math.MaxInt, limit},
	} {
		shortest := backoff.Delay(func() uint64 { return 0 }, base, limit, test.failures)
		longest := backoff.Delay(func() uint64 { return uint64(test.ceiling/2) - 1 }, base, limit, test.failures)
		qt.Check(t, shortest, qt.Equals, test.ceiling/2)
		qt.Check(t, longest, qt.Equals, test.ceiling-1)
	}
}
