package routing

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Choice is a chosen replica. It is used for one attempt: Sent once, then Done once.
type Choice struct {
	balancer *Balancer
	replica  *replica
	// runner is what was known of the runner when it was chosen. Unlike all else here it may be
	// read while the Balancer changes.
	runner   structs.RunnerInfo
	chosenAt time.Time
	// unread is how many tokens of the prompt the runner probably has to read.
	unread int64
	// expected is what the request was expected to take, and cost others, in seconds.
	expected float64
}

// Expected is what the request was expected to take at the chosen replica, with what others
// lose by it.
func (c Choice) Expected() time.Duration {
	return time.Duration(c.expected * float64(time.Second))
}

// Unread is how many tokens of the prompt the chosen runner probably has to read.
func (c Choice) Unread() int64 { return c.unread }

// Runner is the chosen runner.
func (c Choice) Runner() structs.RunnerID { return c.runner.ID }

// Address is where the chosen runner is reached.
func (c Choice) Address() string { return c.runner.Address }

// Incarnation is the life of the runner that was chosen.
func (c Choice) Incarnation() structs.Incarnation { return c.runner.Incarnation }

// Usable reports whether the choice may still be sent: the runner is not leaving
// and the replica is still placed there.
func (c Choice) Usable() bool {
	target := c.replica.runner
	return !target.leaving && target.replicas[c.replica.row.name] == c.replica
}

// IsWanted reports whether the runner still wants requests: it is not leaving, and has not asked for rest.
func (c Choice) IsWanted(now time.Time) bool {
	target := c.replica.runner
	return !target.leaving && !target.asked.isOn(now)
}

// Rest is how long the replica gets no request, as it has turned some away.
func (c Choice) Rest(now time.Time) time.Duration { return max(0, c.replica.rest.until.Sub(now)) }

// Took notes that the runner has taken the request. It returns true if that is the first one after a rest: the runner gets
// as many requests as any other from now on. What was chosen before the end of the rest says nothing.
func (c Choice) Took() bool {
	asked := &c.replica.runner.asked
	if !asked.isTried || c.chosenAt.Before(asked.until) {
		return false
	}
	*asked = askedRest{}
	return true
}

// NextTry is after how long another request may be sent to a runner that has been asked for one at the end of its rest and
// has not taken it yet; 0 for any other.
func (c Choice) NextTry(now time.Time) time.Duration {
	asked := &c.replica.runner.asked
	if !asked.isTried {
		return 0
	}
	return max(0, asked.triedAt.Add(trialPause).Sub(now))
}

// Cached counts how many of the prompt's prefixes, which are PrefixHashes, the
// chosen runner has probably cached.
func (c Choice) Cached(prefixes []uint64) int {
	for count := len(prefixes); count > 0; count-- {
		known, _ := c.balancer.hints.find(prefixes[count-1])
		if slices.Contains(known[:], c.replica.runner.number) {
			return count
		}
	}
	return 0
}

// Sent counts the attempt on the runner and learns that it will cache the prompt.
func (c Choice) Sent(now time.Time, prefixes []uint64) {
	target := c.replica.runner
	target.useToken()
	target.asked.sent(now)
	target.change(now, 1)
	target.addTurn(now)
	target.addUnread(now, c.unread)
	target.breaker.sent()
	c.replica.breaker.sent()
	for _, prefix := range prefixes {
		c.balancer.hints.learn(prefix, target.number)
	}
}

// Done ends an attempt that was Sent.
func (c Choice) Done(now time.Time, outcome Outcome) {
	target := c.replica.runner
	options := &c.balancer.options
	target.change(now, -1)
	if target.inFlight == 0 {
		target.unreadTokens = 0
	}
	switch outcome {
	case OutcomeSuccess:
		target.answeredAt = now
		target.breaker.succeeded()
		c.replica.breaker.succeeded()
		c.replica.rest.end()
		c.replica.rate.add(false)
	case OutcomeNeutral:
		target.breaker.abandoned()
		c.replica.breaker.abandoned()
	case OutcomeTurnedAway:
		target.breaker.abandoned()
		c.replica.breaker.abandoned()
		c.replica.rest.begin(now)
	case OutcomeRefused:
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
