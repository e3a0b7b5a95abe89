package leadercall

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/backoff"
)

const (
	// RetryDelay is the shortest delay between the starts of two rounds.
	RetryDelay = 50 * time.Millisecond
	// baseBackoff is the longest delay after the first round. It doubles with each failed round
	// up to maxBackoff. Jitter selects a delay from the upper half.
	baseBackoff = 2 * RetryDelay
	// maxBackoff bounds how long after its election a leader is found.
	maxBackoff = 3 * RetryDelay
)

// groupState is what the calls of a Caller share.
type groupState struct {
	mutex  sync.Mutex
	random func() uint64
	// addresses are the known addresses of the members, and order is the order in which they are
	// asked: a random one in a large group.
	addresses, order []string
	// position is the index in order of the next member to ask. It is used in a large group.
	position int
	// leader is the known leader, suggested the last argument of suggestLeader; empty if unknown.
	leader, suggested string
	// found counts how often the leader was found: it answered a call or was suggested.
	found uint64
	// failures counts the failed rounds since the last success. No round starts before retryAt.
	failures int
	retryAt  time.Time
	// changed is closed and replaced when the leader becomes known.
	changed chan struct{}
}

func newGroupState(addresses []string) *groupState {
	g := &groupState{random: rand.Uint64, changed: make(chan struct{})}
	g.setAddresses(addresses)
	return g
}

func (g *groupState) setRandom(random func() uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.random = random
	g.reorder()
}

func (g *groupState) setAddresses(addresses []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if slices.Equal(g.addresses, addresses) {
		return
	}
	g.addresses = slices.Clone(addresses)
	g.reorder()
}

func (g *groupState) listed() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.addresses
}

// reorder shuffles the members of a large group. The caller holds the mutex.
func (g *groupState) reorder() {
	g.order, g.position = slices.Clone(g.addresses), 0
	if !g.isLarge() {
		return
	}
	for i := len(g.order) - 1; i > 0; i-- {
		j := g.random() % uint64(i+1)
		g.order[i], g.order[j] = g.order[j], g.order[i]
	}
}

// isLarge reports whether a round asks only some of the members. The caller holds the mutex.
func (g *groupState) isLarge() bool { return len(g.addresses) > maxRoundMembers }

func (g *groupState) suggestLeader(address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if address == "" || address == g.suggested && g.leader != "" {
		return
	}
	g.suggested = address
	g.found++
	g.setLeader(address)
}

// setLeader records the known leader and wakes the waiting calls. The caller holds the mutex.
func (g *groupState) setLeader(address string) {
	g.leader = address
	close(g.changed)
	g.changed = make(chan struct{})
}

// startAt has the next search start at the given member. The caller holds the mutex.
func (g *groupState) startAt(address string) {
	if index := slices.Index(g.order, address); index >= 0 {
		g.position = index
	}
}

// recordSuccess records that the leader answered a call and ends the backoff. The caller holds
// the mutex.
func (g *groupState) recordSuccess(leader string) {
	g.found++
	g.failures = 0
	g.retryAt = time.Time{}
	g.setLeader(leader)
}

// delayRounds starts the delay before the next round. The caller holds the mutex.
func (g *groupState) delayRounds(at time.Time) {
	g.retryAt = at.Add(backoff.Delay(g.random, baseBackoff, maxBackoff, g.failures))
}
