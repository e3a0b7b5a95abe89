package domainapi

import (
	"hash/fnv"
	"io"
	"time"
)

// MinLoadsInterval is the minimum interval between two load reports to a router. It is shorter than
// the usual interval between replies: with older loads, several routers choose the same runner for
// long prompts.
const MinLoadsInterval = 50 * time.Millisecond

// WantsLoads reports whether a reply that is sent the given time after the router asked has to
// carry loads. term is the leader's term: loads of another leader do not hold.
func (a *WatchArguments) WantsLoads(term uint64, held time.Duration) bool {
	return !a.TakesPackedLoads || a.LoadsAge <= 0 || a.Term != term || a.LoadsAge+held >= MinLoadsInterval
}

// HashAddresses identifies a list of addresses. It is 0 only for an empty list.
func HashAddresses(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	hash := fnv.New64a()
	for _, address := range addresses {
		_, _ = io.WriteString(hash, address+"\n")
	}
	return max(1, hash.Sum64())
}
