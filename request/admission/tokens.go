package admission

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// TokenRate limits the sum of prompt and answer tokens. The zero value means no limit.
type TokenRate struct {
	// PerSecond is the refill rate.
	PerSecond float64
	// Burst is the bucket size. A single larger request is admitted when the bucket is
	// full, and the next one waits longer.
	Burst float64
}

func (r TokenRate) limited() bool { return r.PerSecond > 0 && r.Burst > 0 }

// TokenLimits limits the tokens of each caller in each row, and of each row, with token
// buckets. It stores buckets only for recent callers and rows. It is not safe for
// concurrent use.
type TokenLimits struct {
	perCaller TokenRate
	perRow    TokenRate
	callers   map[callerKey]*tokenBucket
	rows      map[structs.RowName]*tokenBucket
	// sweepAt is the number of buckets at which full ones are deleted.
	sweepAt int
}

type callerKey struct {
	caller string
	row    structs.RowName
}

// tokenBucket holds the number of free tokens at a time, which may be negative.
type tokenBucket struct {
	free     float64
	filledAt time.Time
}

// minSweepSize is the number of buckets below which none are deleted.
const minSweepSize = 1024

// NewTokenLimits returns limits with full buckets.
func NewTokenLimits(perCaller, perRow TokenRate) *TokenLimits {
	return &TokenLimits{
		perCaller: perCaller,
		perRow:    perRow,
		callers:   make(map[callerKey]*tokenBucket),
		rows:      make(map[structs.RowName]*tokenBucket),
		sweepAt:   minSweepSize,
	}
}

// Take takes tokens for a request. If there are too few, it takes none and returns ok
// false and the time until they are free, assuming no other request takes them.
func (l *TokenLimits) Take(now time.Time, caller string, row structs.RowName, tokens int) (wait time.Duration, ok bool) {
	own, whole := l.buckets(now, caller, row)
	wait = max(own.wait(l.perCaller, tokens), whole.wait(l.perRow, tokens))
	if wait > 0 {
		return wait, false
	}
	own.add(l.perCaller, -float64(tokens))
	whole.add(l.perRow, -float64(tokens))
	return 0, true
}

// Return returns tokens that were taken and not used.
func (l *TokenLimits) Return(now time.Time, caller string, row structs.RowName, tokens int) {
	own, whole := l.buckets(now, caller, row)
	own.add(l.perCaller, float64(tokens))
	whole.add(l.perRow, float64(tokens))
}

// buckets returns the buckets of the caller in the row and of the row, refilled up to
// now; an unlimited one is nil.
func (l *TokenLimits) buckets(now time.Time, caller string, row structs.RowName) (own, whole *tokenBucket) {
	if len(l.callers)+len(l.rows) >= l.sweepAt {
		l.sweep(now)
	}
	return bucketOf(l.callers, callerKey{caller, row}, l.perCaller, now), bucketOf(l.rows, row, l.perRow, now)
}

func bucketOf[Key comparable](known map[Key]*tokenBucket, key Key, rate TokenRate, now time.Time) *tokenBucket {
	if !rate.limited() {
		return nil
	}
	found := known[key]
	if found == nil {
		found = &tokenBucket{free: rate.Burst, filledAt: now}
		known[key] = found
	}
	found.fill(now, rate)
	return found
}

// sweep deletes the full buckets.
func (l *TokenLimits) sweep(now time.Time) {
	sweepBuckets(l.callers, l.perCaller, now)
	sweepBuckets(l.rows, l.perRow, now)
	l.sweepAt = max(minSweepSize, 2*(len(l.callers)+len(l.rows)))
}

func sweepBuckets[Key comparable](known map[Key]*tokenBucket, rate TokenRate, now time.Time) {
	for key, bucket := range known {
		bucket.fill(now, rate)
		if bucket.free >= rate.Burst {
			delete(known, key)
		}
	}
}

func (b *tokenBucket) fill(now time.Time, rate TokenRate) {
	if passed := now.Sub(b.filledAt); passed > 0 {
		b.free = min(rate.Burst, b.free+rate.PerSecond*passed.Seconds())
		b.filledAt = now
	}
}

// wait returns the time until the given number of tokens is free.
func (b *tokenBucket) wait(rate TokenRate, tokens int) time.Duration {
	if b == nil {
		return 0
	}
	missing := min(float64(tokens), rate.Burst) - b.free
	return max(0, seconds(missing/rate.PerSecond))
}

func (b *tokenBucket) add(rate TokenRate, tokens float64) {
	if b != nil {
		b.free = min(rate.Burst, b.free+tokens)
	}
}
