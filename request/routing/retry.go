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

// Budget bounds the retries of a row to a share of its requests: every request
// adds a part of a retry, up to a reserve.
type Budget struct {
	ratio   float64
	reserve float64
	tokens  float64
}

// NewBudget makes a full Budget to which every request adds ratio of a retry, and
// which holds at most reserve of them; values of 0 mean the defaults.
func NewBudget(ratio, reserve float64) Budget {
	option.Positive(&ratio, DefaultRetryRatio)
	option.Positive(&reserve, DefaultRetryReserve)
	return Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Deposit counts a request.
func (b *Budget) Deposit() { b.tokens = min(b.reserve, b.tokens+b.ratio) }

// Covers reports whether a retry could be taken out now.
func (b *Budget) Covers() bool { return b.tokens >= 1 }

// Withdraw takes one retry out; it reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns a random delay before retry number retry (1 for the first):
// between half and all of base doubled with each retry, at most limit.
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
