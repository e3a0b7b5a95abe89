package ratelimit

import (
	"math"
	"time"
)

const (
	// TokenLife is how long a token may be used after its router asked for it: some times what the question
	// takes, and short beside the second or more in which the requests of such a runner are counted.
	TokenLife = 400 * time.Millisecond
	// Burst is how many tokens of one runner may be lent at once: two requests that come together are served
	// together.
	Burst = 2
	// MaxWanted bounds the tokens that are lent in one answer for a runner.
	MaxWanted = 64
)

// Want is what a router asks for.
type Want struct {
	Instance string
	Requests int
	// IsAhead is set if no request waits for the runner: others serve them, and the router would have this one
	// bear its part, and learn whether it still names its limit.
	IsAhead bool
}

// Grant is what it gets.
type Grant struct {
	Instance string
	Requests int
	// MoreIn is after how long there will be another token; 0 if all that was asked for is granted.
	MoreIn time.Duration
}

// Pacer lends the tokens of runners that bear few requests a second. It belongs to one leader. Its methods must not
// run at the same time.
type Pacer struct {
	began   time.Time
	buckets map[string]*bucket
}

// bucket holds the tokens of one runner, as of a time.
type bucket struct {
	tokens float64
	at     time.Time
}

// New makes a pacer for a leadership that begins now.
func New(began time.Time) *Pacer {
	return &Pacer{began: began, buckets: make(map[string]*bucket)}
}

// Lend answers a router that wants to send requests to a runner that bears so many requests a second.
func (p *Pacer) Lend(now time.Time, want Want, perSecond float64) Grant {
	if wait := TokenLife - now.Sub(p.began); wait > 0 {
		// Tokens of the leader before may still be used.
		return Grant{Instance: want.Instance, MoreIn: wait}
	}
	known := p.buckets[want.Instance]
	if known == nil {
		// As if nobody had asked since the former leader's tokens ended: leaders that follow each other
		// quickly lend no Burst each, which is more than a runner bears that takes one request in some seconds.
		known = &bucket{at: p.began.Add(TokenLife)}
		p.buckets[want.Instance] = known
	}
	known.fill(now, perSecond)
	wanted := min(max(0, want.Requests), MaxWanted)
	free := known.tokens
	if want.IsAhead {
		// One is left for a router whose requests have no other runner.
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

// Begin has the tokens of a runner gather from now: until now it got what it was sent without.
func (p *Pacer) Begin(now time.Time, instance string) {
	p.buckets[instance] = &bucket{at: now}
}

// Forget drops the runners that are listed no more.
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

// nextIn is after how long there will be a whole token.
func (b *bucket) nextIn(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	missing := 1 - (b.tokens - math.Floor(b.tokens))
	return time.Duration(missing / perSecond * float64(time.Second))
}
