package admission

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// TokenRate bounds tokens of prompts and answers together. The zero value bounds nothing.
type TokenRate struct {
	// PerSecond is how many tokens come free in a second.
	PerSecond float64
	// Burst is how many may be taken at once; a single larger request is let in when
	// all of them are free, and the next one waits for longer.
	Burst float64
}

func (r TokenRate) bounds() bool { return r.PerSecond > 0 && r.Burst > 0 }

// TokenLimits bounds the tokens of each caller in each row, and those of each row. It
// remembers only callers and rows that have used some of theirs.
type TokenLimits struct {
	perCaller TokenRate
	perRow    TokenRate
	callers   map[callerOfRow]*tokenBucket
	rows      map[structs.RowName]*tokenBucket
	// sweepAt is how many buckets there may be before full ones are forgotten.
	sweepAt int
}

type callerOfRow struct {
	caller string
	row    structs.RowName
}

// tokenBucket holds how many tokens were free at a time; it may owe some.
type tokenBucket struct {
	free     float64
	filledAt time.Time
}

// leastSweep is the number of buckets below which none are forgotten.
const leastSweep = 1024

// NewTokenLimits makes limits of which nothing is used.
func NewTokenLimits(perCaller, perRow TokenRate) *TokenLimits {
	return &TokenLimits{
		perCaller: perCaller,
		perRow:    perRow,
		callers:   make(map[callerOfRow]*tokenBucket),
		rows:      make(map[structs.RowName]*tokenBucket),
		sweepAt:   leastSweep,
	}
}

// Take takes tokens for a request, or returns after how long they will be free if
// nobody else takes them; ok is false then, and nothing is taken.
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

// Return gives back tokens that were taken and not used.
func (l *TokenLimits) Return(now time.Time, caller string, row structs.RowName, tokens int) {
	own, whole := l.buckets(now, caller, row)
	own.add(l.perCaller, float64(tokens))
	whole.add(l.perRow, float64(tokens))
}

// buckets returns the buckets that bound the caller in the row, filled up to now; one
// without a limit is nil.
func (l *TokenLimits) buckets(now time.Time, caller string, row structs.RowName) (own, whole *tokenBucket) {
	if len(l.callers)+len(l.rows) >= l.sweepAt {
		l.sweep(now)
	}
	return bucketOf(l.callers, callerOfRow{caller, row}, l.perCaller, now), bucketOf(l.rows, row, l.perRow, now)
}

func bucketOf[Key comparable](known map[Key]*tokenBucket, key Key, rate TokenRate, now time.Time) *tokenBucket {
	if !rate.bounds() {
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

// sweep forgets the buckets that are full again.
func (l *TokenLimits) sweep(now time.Time) {
	sweepBuckets(l.callers, l.perCaller, now)
	sweepBuckets(l.rows, l.perRow, now)
	l.sweepAt = max(leastSweep, 2*(len(l.callers)+len(l.rows)))
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

// wait is how long it takes until so many tokens are free.
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
