package ratelimit

import (
	"math"
	"time"
)

const (
	// TokenTTL is how long a token is valid after its router asked for it: several round trips,
	// but short compared to the period over which a runner's requests are counted.
	TokenTTL = 400 * time.Millisecond
	// Burst is the capacity of a runner's token bucket.
	Burst = 2
	// MaxWanted bounds the tokens granted for a runner in one answer.
	MaxWanted = 64
)

// Want is a router's request for tokens of one runner.
type Want struct {
	Instance string
	Requests int
	// IsAhead is set if no request is waiting for the runner. The router then uses the token to
	// include the runner in load balancing and to learn whether its limit still holds.
	IsAhead bool
}

// Grant is the answer to a Want.
type Grant struct {
	Instance string
	Requests int
	// MoreIn is the time until the next token; 0 if all requested tokens are granted.
	MoreIn time.Duration
}

// Pacer grants the tokens of rate-limited runners for one leadership. Its methods are not safe for
// concurrent use.
type Pacer struct {
	startedAt time.Time
	buckets   map[string]*bucket
}

// bucket is a token bucket as of the time at.
type bucket struct {
	tokens float64
	at     time.Time
}

// New returns a pacer for a leadership that begins at the given time.
func New(startedAt time.Time) *Pacer {
	return &Pacer{startedAt: startedAt, buckets: make(map[string]*bucket)}
}

// GrantTokens grants tokens of a runner whose limit is perSecond requests per second.
func (p *Pacer) GrantTokens(now time.Time, want Want, perSecond float64) Grant {
	if wait := TokenTTL - now.Sub(p.startedAt); wait > 0 {
		// Tokens of the former leader may still be valid.
		return Grant{Instance: want.Instance, MoreIn: wait}
	}
	known := p.buckets[want.Instance]
	if known == nil {
		// The bucket starts empty: leaders in quick succession must not each grant a full burst.
		known = &bucket{at: p.startedAt.Add(TokenTTL)}
		p.buckets[want.Instance] = known
	}
	known.fill(now, perSecond)
	wanted := min(max(0, want.Requests), MaxWanted)
	free := known.tokens
	if want.IsAhead {
		// Leave one token for a router whose requests have no other runner.
		free = max(0, free-1)
	}
	granted := min(wanted, int(free))
	known.tokens -= float64(granted)
	grant := Grant{Instance: want.Instance, Requests: granted}
	if granted < wanted {
		grant.MoreIn = known.nextIn(perSecond)
	}
	return grant
}

// Begin starts the runner with an empty bucket. Until now it got requests without tokens.
func (p *Pacer) Begin(now time.Time, instance string) {
	p.buckets[instance] = &bucket{at: now}
}

// Forget deletes the buckets of runners that are no longer listed.
func (p *Pacer) Forget(isListed func(instance string) bool) {
	for instance := range p.buckets {
		if !isListed(instance) {
			delete(p.buckets, instance)
		}
	}
}

func (b *bucket) fill(now time.Time, perSecond float64) {
	passed := max(0, now.Sub(b.at).Seconds())
	b.tokens = min(Burst, b.tokens+passed*perSecond)
	b.at = now
}

// nextIn returns the time until the next whole token.
func (b *bucket) nextIn(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	missing := 1 - (b.tokens - math.Floor(b.tokens))
	return time.Duration(missing / perSecond * float64(time.Second))
}
