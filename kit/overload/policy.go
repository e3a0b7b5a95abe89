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
	// PolicyLotusferry is the production router.
	PolicyLotusferry = "lotusferry"
	// PolicyNoAffinity ignores prefix caches in routing.
	PolicyNoAffinity = "no-affinity"
	// PolicyRandom sends to a random runner with capacity.
	PolicyRandom = "random"
	// PolicyLeastInFlight sends to the runner with the fewest requests in flight
	// from this router and ignores load reports.
	PolicyLeastInFlight = "least-in-flight"
	// PolicyFIFO queues all requests in order of arrival, routes them like
	// PolicyLeastInFlight and refuses none before its deadline.
	PolicyFIFO = "fifo"
)

// Policies returns the names of all policies, the production router first.
func Policies() []string {
	return []string{PolicyLotusferry, PolicyNoAffinity, PolicyRandom, PolicyLeastInFlight, PolicyFIFO}
}

// routerCore is the decision logic of a router.
type routerCore interface {
	Step(now time.Time, event router.Event) []router.Effect
	NextDeadline() (time.Time, bool)
}

// minHintLimit is the smallest limit on remembered prefixes. It disables affinity in
// effect.
const minHintLimit = 1

func newRouterCore(policy string, daemon structs.DaemonID, random *rand.Rand) routerCore {
	if policy == PolicyFIFO {
		return newFIFO()
	}
	options := router.Options{Zone: zone, Daemon: daemon, Random: random}
	options.Routing = routing.Options{MaxBatch: maxBatch}
	switch policy {
	case PolicyNoAffinity:
		options.Routing.HintLimit = minHintLimit
	case PolicyRandom:
		options.Routing.HintLimit = minHintLimit
		options.Routing.Choices = 1
	case PolicyLeastInFlight:
		options.Routing.HintLimit = minHintLimit
		options.Routing.Choices = 4 * engineCount
	}
	return router.New(options)
}

// readsLoad reports whether the policy uses load reports.
func readsLoad(policy string) bool { return policy != PolicyLeastInFlight && policy != PolicyFIFO }

// readsCaches reports whether the policy uses cache events.
func readsCaches(policy string) bool { return policy == PolicyLotusferry }
