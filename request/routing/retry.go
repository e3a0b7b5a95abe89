package routing

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
)

// Defaults of the retry budget and the backoff.
const (
	DefaultRetryRatio   = 0.2
	DefaultRetryReserve = 10
	DefaultBackoffBase  = 25 * time.Millisecond
	DefaultBackoffLimit = time.Second
)

// Budget bounds the retries of a row to a share of its requests: every request adds a
// fraction of a retry, up to a reserve.
type Budget struct {
	ratio   float64
	reserve float64
	tokens  float64
}

// NewBudget returns a full Budget to which every request adds ratio retries, up to
// reserve; zero values select the defaults.
func NewBudget(ratio, reserve float64) Budget {
	option.Positive(&ratio, DefaultRetryRatio)
	option.Positive(&reserve, DefaultRetryReserve)
	return Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Deposit counts a request.
func (b *Budget) Deposit() { b.tokens = min(b.reserve, b.tokens+b.ratio) }

// Covers reports whether a retry is available.
func (b *Budget) Covers() bool { return b.tokens >= 1 }

// Withdraw takes one retry and reports whether one was available.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns a random delay before the given retry (1 for the first), between
// half and all of base × 2^(retry-1), limited to limit.
func Backoff(random *rand.Rand, base, limit time.Duration, retry int) time.Duration {
	option.Positive(&base, DefaultBackoffBase)
	option.Positive(&limit, DefaultBackoffLimit)
	ceiling := base
	for ; retry > 1 && ceiling < limit; retry-- {
		ceiling *= 2
	}
	ceiling = min(ceiling, limit)
	return ceiling/2 + time.Duration(random.Int64N(int64(ceiling/2)+1))
}
