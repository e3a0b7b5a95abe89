package overload

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// The policies.
const (
	// PolicyLotusferry is the router as the daemons run it.
	PolicyLotusferry = "lotusferry"
	// PolicyNoAffinity does not prefer runners that have cached the prompt.
	PolicyNoAffinity = "no-affinity"
	// PolicyRandom sends to any runner that has room.
	PolicyRandom = "random"
	// PolicyLeastInFlight sends to the runner with the fewest requests of this
	// router, and does not read load reports.
	PolicyLeastInFlight = "least-in-flight"
	// PolicyFIFO has one queue for all requests, in the order of arrival, sends as
	// PolicyLeastInFlight does, and refuses nothing before its deadline.
	PolicyFIFO = "fifo"
)

// Policies lists the policies, the real one first.
func Policies() []string {
	return []string{PolicyLotusferry, PolicyNoAffinity, PolicyRandom, PolicyLeastInFlight, PolicyFIFO}
}

// decider is what decides at one router.
type decider interface {
	Step(now time.Time, event router.Event) []router.Effect
	NextDeadline() (time.Time, bool)
}

// noHints is a bound on remembered prefixes so low that none is of use.
const noHints = 1

func newDecider(policy string, daemon structs.DaemonID, random *rand.Rand) decider {
	if policy == PolicyFIFO {
		return newFIFO()
	}
	options := router.Options{Zone: zone, Daemon: daemon, Random: random}
	options.Routing = routing.Options{MaxBatch: maxBatch}
	switch policy {
	case PolicyNoAffinity:
		options.Routing.HintLimit = noHints
	case PolicyRandom:
		options.Routing.HintLimit = noHints
		options.Routing.Choices = 1
	case PolicyLeastInFlight:
		options.Routing.HintLimit = noHints
		options.Routing.Choices = 4 * engineCount
	}
	return router.New(options)
}

// readsLoad reports whether the policy is given load reports.
func readsLoad(policy string) bool { return policy != PolicyLeastInFlight && policy != PolicyFIFO }

// readsCaches reports whether the policy is given cache events.
func readsCaches(policy string) bool { return policy == PolicyLotusferry }
