package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/pause"
)

// stallingStore is a store whose writes last until a stall has ended, and some time more.
type stallingStore struct {
	Store
	mutex sync.Mutex
	// until is when the stall ends; in the past if there is none.
	until time.Time
	// write is how long a write takes besides.
	write time.Duration
}

func (s *stallingStore) slow(write time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write = write
}

func (s *stallingStore) stall(length time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.until = time.Now().Add(length)
}

func (s *stallingStore) await() {
	s.mutex.Lock()
	length := max(0, time.Until(s.until)) + s.write
	s.mutex.Unlock()
	if length > 0 {
		pause.For(context.Background(), length)
	}
}

// Save implements Store.
func (s *stallingStore) Save(hardState *raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) error {
	s.await()
	return s.Store.Save(hardState, entries, snapshot)
}

// Compact implements Store.
func (s *stallingStore) Compact(snapshot raft.Snapshot) error {
	s.await()
	return s.Store.Compact(snapshot)
}

const (
	stallTick          = 30 * time.Millisecond
	stallElectionTicks = 12
	// leaderWithin bounds the time from the end of a leadership, or of a stall of a quorum, until a leader
	// commits: an election timeout of at most twice the minimum, and a second round if votes are split.
	leaderWithin = 4 * stallElectionTicks * stallTick
	// leaderHolds is how long a leader whose writes stall keeps the leadership.
	leaderHolds = maxLeaderWrite * stallElectionTicks * stallTick
	// proposalInterval is the interval between two proposals.
	proposalInterval = 50 * time.Millisecond
	// proposalTimeout bounds the wait for a commit.
	proposalTimeout = 5 * time.Second
)

// stallCluster is a cluster that commits all the time.
type stallCluster struct {
	*cluster
	stores []*stallingStore

	mutex sync.Mutex
	// committed are the times of commits.
	committed []time.Time
}

func newStallCluster(c *qt.C, size int) *stallCluster {
	made := &stallCluster{}
	made.cluster = newClusterWithStores(c, size, Options{TickInterval: stallTick, ElectionTicks: stallElectionTicks}, func(store Store) Store {
		wrapped := &stallingStore{Store: store}
		made.stores = append(made.stores, wrapped)
		return wrapped
	})
	return made
}

// commitAll proposes at each member all the time, until ctx ends.
func (s *stallCluster) commitAll(ctx context.Context) {
	var proposing sync.WaitGroup
	defer proposing.Wait()
	for number := 0; pause.For(ctx, proposalInterval); number++ {
		for _, each := range s.members {
			proposing.Go(func() {
				try, cancel := context.WithTimeout(ctx, proposalTimeout)
				defer cancel()
				if _, err := each.Propose(try, fmt.Appendf(nil, "command %d", number)); err == nil {
					s.mutex.Lock()
					s.committed = append(s.committed, time.Now())
					s.mutex.Unlock()
				}
			})
		}
	}
}

// firstCommit returns how long after at something was committed, or limit.
func (s *stallCluster) firstCommit(at time.Time, limit time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.committed {
		if after := each.Sub(at); after > 0 {
			return min(after, limit)
		}
	}
	return limit
}

// commitsSince returns how many commands were committed since a time.
func (s *stallCluster) commitsSince(at time.Time) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.committed {
		if each.After(at) {
			count++
		}
	}
	return count
}

// leaderIndex returns the index of the member that leads.
func (s *stallCluster) leaderIndex() int {
	leader := s.leader(s.members...)
	for index, each := range s.members {
		if each == leader {
			return index
		}
	}
	return -1
}

// withStallCluster plays a test on a cluster of three that has committed for a second and goes on doing
// so.
func withStallCluster(t *testing.T, play func(ctx context.Context, s *stallCluster)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStallCluster(qt.New(t), 3)
		ctx, cancel := context.WithCancel(s.ctx)
		var committing sync.WaitGroup
		committing.Go(func() { s.commitAll(ctx) })
		defer committing.Wait()
		defer cancel()
		pause.For(ctx, time.Second)
		play(ctx, s)
	})
}

// Guards against a leader whose disk stalls and that keeps others from leading, and against a stall of
// a quorum after which the group does not go on soon.
func TestStalledWritesDelayCommitsOnlyWhileAQuorumStalls(t *testing.T) {
	for _, test := range []struct {
		name string
		// stalled are the members that stall, counted from the leader.
		stalled  []int
		isQuorum bool
	}{
		{"leader", []int{0}, false},
		{"follower", []int{1}, false},
		{"leader and follower", []int{0, 1}, true},
		{"both followers", []int{1, 2}, true},
		{"all", []int{0, 1, 2}, true},
	} {
		for _, length := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%s for %v", test.name, length), func(t *testing.T) {
				withStallCluster(t, func(ctx context.Context, s *stallCluster) {
					first := s.leaderIndex()
					began := time.Now()
					for _, offset := range test.stalled {
						s.stores[(first+offset)%3].stall(length)
					}
					from := began.Add(min(length, leaderHolds))
					if test.isQuorum {
						from = began.Add(length)
					}
					pause.For(ctx, length+leaderHolds+leaderWithin)
					took := s.firstCommit(from, time.Minute)
					s.c.Assert(took <= leaderWithin, qt.IsTrue, qt.Commentf("%v after %v", took, length))
				})
			})
		}
	}
}

// Guards against a group that does not go on soon after stalls that overlap, also with changes of
// leaders. Elections wait for writes as long as those that were seen.
func TestGroupGoesOnAfterOverlappingStalls(t *testing.T) {
	const (
		stalls      = 12
		maxStall    = 6 * time.Second
		maxInterval = 900 * time.Millisecond
	)
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withStallCluster(t, func(ctx context.Context, s *stallCluster) {
				random := rand.New(rand.NewPCG(seed, 7))
				ends := time.Now()
				for range stalls {
					pause.For(ctx, time.Duration(random.Int64N(int64(maxInterval))))
					length := time.Duration(random.Int64N(int64(maxStall)))
					s.stores[random.IntN(len(s.stores))].stall(length)
					if end := time.Now().Add(length); end.After(ends) {
						ends = end
					}
				}
				pause.For(ctx, time.Until(ends)+2*leaderWithin)
				took := s.firstCommit(ends, time.Minute)
				s.c.Assert(took <= leaderWithin, qt.IsTrue, qt.Commentf("%v", took))
			})
		})
	}
}

// Guards against a group without a leader for as long as all disks need up to an election timeout, or
// somewhat more, for a write: each election ended before its votes were stored, and each leadership with
// its first write.
func TestSlowDisksKeepALeader(t *testing.T) {
	const (
		length      = 30 * time.Second
		minCommits  = 6
		electionMax = stallElectionTicks * stallTick
	)
	for _, write := range []time.Duration{electionMax / 2, electionMax, 2 * electionMax, maxLeaderWrite*electionMax - stallTick} {
		t.Run(fmt.Sprint("writes of ", write), func(t *testing.T) {
			withStallCluster(t, func(ctx context.Context, s *stallCluster) {
				term := s.leader(s.members...).Status().Term
				for _, store := range s.stores {
					store.slow(write)
				}
				began := time.Now()
				pause.For(ctx, length)
				commits := s.commitsSince(began)
				last := s.leader(s.members...).Status().Term
				s.c.Assert(commits >= minCommits, qt.IsTrue, qt.Commentf("%d commits", commits))
				s.c.Assert(last, qt.Equals, term, qt.Commentf("the leader changed"))
			})
		})
	}
}

// Guards against elections that end before their votes are stored: a group with slow disks that starts,
// or loses its leader, must elect one.
func TestSlowDisksElectALeader(t *testing.T) {
	const electionMax = stallElectionTicks * stallTick
	for _, write := range []time.Duration{electionMax, 2 * electionMax, maxLeaderWrite*electionMax - stallTick} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("writes of %v, seed %d", write, seed), func(t *testing.T) {
				withStallCluster(t, func(ctx context.Context, s *stallCluster) {
					pause.For(ctx, time.Duration(seed)*71*time.Millisecond)
					for _, store := range s.stores {
						store.slow(write)
					}
					pause.For(ctx, 5*time.Second)
					first := s.leader(s.members...)
					first.partition()
					lost := time.Now()
					// A vote of the candidate and of a voter, a first entry of the leader and of a follower,
					// and a second round of each if votes are split.
					within := 2*electionMax + 8*write
					pause.For(ctx, within+5*write)
					took := s.firstCommit(lost.Add(maxLeaderWrite*electionMax), time.Minute)
					s.c.Assert(took <= within, qt.IsTrue, qt.Commentf("%v", took))
				})
			})
		}
	}
}
