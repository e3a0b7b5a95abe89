package routing

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Choice is a chosen replica for one attempt: call Sent once, then Done once.
type Choice struct {
	balancer *Balancer
	replica  *replica
	// runner is the runner's description at the time of the choice. Unlike the other
	// fields it may be read while the Balancer changes.
	runner   structs.RunnerInfo
	chosenAt time.Time
	// uncachedTokens is the expected number of prompt tokens not in the runner's cache.
	uncachedTokens int64
	// expected is the expected cost in seconds; see Balancer.expected.
	expected float64
}

// ExpectedCost returns the expected time of the request at the chosen replica plus the
// delay that it causes to other requests there.
func (c Choice) ExpectedCost() time.Duration {
	return time.Duration(c.expected * float64(time.Second))
}

// UncachedTokens returns the expected number of prompt tokens that the runner has to process.
func (c Choice) UncachedTokens() int64 { return c.uncachedTokens }

// Runner returns the ID of the chosen runner.
func (c Choice) Runner() structs.RunnerID { return c.runner.ID }

// Address returns the network address of the chosen runner.
func (c Choice) Address() string { return c.runner.Address }

// Version returns the version of the software of the chosen runner; empty if unknown.
func (c Choice) Version() string { return c.runner.Version }

// Incarnation returns the incarnation of the chosen runner.
func (c Choice) Incarnation() structs.Incarnation { return c.runner.Incarnation }

// Usable reports whether the choice may still be sent: the runner is not leaving and
// the replica is still placed there.
func (c Choice) Usable() bool {
	target := c.replica.runner
	return !target.leaving && target.replicas[c.replica.row.name] == c.replica
}

// AcceptsRequests reports whether the runner still accepts requests: it is neither leaving nor in a requested cooldown.
func (c Choice) AcceptsRequests(now time.Time) bool {
	target := c.replica.runner
	return !target.leaving && !target.requested.isActive(now)
}

// Cooldown returns the remaining cooldown of the replica after rejected requests.
func (c Choice) Cooldown(now time.Time) time.Duration {
	return max(0, c.replica.cooldown.until.Sub(now))
}

// RecordAccepted records that the runner accepted the request. It reports whether this ends the probing after a requested
// cooldown. Requests chosen before the end of the cooldown are ignored.
func (c Choice) RecordAccepted() bool {
	requested := &c.replica.runner.requested
	if !requested.isProbing || c.chosenAt.Before(requested.until) {
		return false
	}
	*requested = requestedCooldown{}
	return true
}

// ProbeDelay returns the delay before another request may be sent to a runner that has not accepted one since its
// requested cooldown; 0 for any other runner.
func (c Choice) ProbeDelay(now time.Time) time.Duration {
	requested := &c.replica.runner.requested
	if !requested.isProbing {
		return 0
	}
	return max(0, requested.probedAt.Add(probeInterval).Sub(now))
}

// Cached returns how many of the prompt's prefixes, given as PrefixHashes, the chosen
// runner has probably cached.
func (c Choice) Cached(prefixes []uint64) int {
	for count := len(prefixes); count > 0; count-- {
		known, _ := c.balancer.hints.find(prefixes[count-1])
		if slices.Contains(known[:], c.replica.runner.number) {
			return count
		}
	}
	return 0
}

// Sent records that the attempt was sent, and that the runner will cache the prefixes.
func (c Choice) Sent(now time.Time, prefixes []uint64) {
	target := c.replica.runner
	target.useToken()
	target.requested.sent(now)
	target.change(now, 1)
	target.addRecent(now)
	target.addPending(now, c.uncachedTokens)
	target.breaker.sent()
	c.replica.breaker.sent()
	for _, prefix := range prefixes {
		c.balancer.hints.learn(prefix, target.number)
	}
}

// Done records the outcome of an attempt that was Sent.
func (c Choice) Done(now time.Time, outcome Outcome) {
	target := c.replica.runner
	options := &c.balancer.options
	target.change(now, -1)
	if target.inFlight == 0 {
		target.pendingTokens = 0
	}
	switch outcome {
	case OutcomeSuccess:
		target.answeredAt = now
		target.addRunTime(now.Sub(c.chosenAt))
		target.breaker.succeeded()
		c.replica.breaker.succeeded()
		c.replica.cooldown.end()
		c.replica.rate.add(false)
	case OutcomeNeutral:
		target.breaker.abandoned()
		c.replica.breaker.abandoned()
	case OutcomeRejected:
		target.breaker.abandoned()
		c.replica.breaker.abandoned()
		c.replica.cooldown.start(now)
	case OutcomeUnavailable:
		target.breaker.succeeded()
		c.replica.breaker.failed(now, options)
		c.replica.rate.add(true)
		c.balancer.ejectOutlier(now, c.replica)
	case OutcomeBroken:
		target.breaker.failed(now, options)
		c.replica.breaker.abandoned()
		c.replica.rate.add(true)
		c.balancer.ejectOutlier(now, c.replica)
	}
}
