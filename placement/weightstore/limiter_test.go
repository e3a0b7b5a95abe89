package weightstore

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

const (
	nominal = 6 * time.Second
	step    = 20 * time.Millisecond
)

// simulatedStore serves a fixed number of concurrent loads at full speed. Beyond that,
// either all loads or only those that start then are slowed down in proportion.
type simulatedStore struct {
	capacity int
	// fixesSpeedAtStart is set if the speed of a load is fixed when it starts.
	fixesSpeedAtStart bool
	now               time.Time
	remaining         map[Key]time.Duration
	done              map[Key]bool
	ended             int
	peak              int
	startTimes        []time.Time
}

func newSimulatedStore(capacity int) *simulatedStore {
	return &simulatedStore{capacity: capacity, now: start, remaining: make(map[Key]time.Duration), done: make(map[Key]bool)}
}

func (s *simulatedStore) advance() {
	s.now = s.now.Add(step)
	progress := step
	if len(s.remaining) > s.capacity && !s.fixesSpeedAtStart {
		progress = time.Duration(float64(step) * float64(s.capacity) / float64(len(s.remaining)))
	}
	for key := range s.remaining {
		s.remaining[key] -= progress
		if s.remaining[key] <= 0 {
			delete(s.remaining, key)
			s.done[key] = true
			s.ended++
		}
	}
}

// begin starts a load.
func (s *simulatedStore) begin(load Load) {
	s.remaining[load.Key] = nominal
	if s.fixesSpeedAtStart {
		s.remaining[load.Key] = time.Duration(float64(nominal) * max(1, float64(len(s.remaining))/float64(s.capacity)))
	}
}

// observe advances the time and updates the limiter with the loads in progress.
func (s *simulatedStore) observe(l *Limiter, length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.advance()
		var inProgress []Load
		for key := range s.remaining {
			inProgress = append(inProgress, Load{Key: key, Nominal: nominal})
		}
		l.Update(s.now, inProgress, func(key Key) bool { return s.done[key] })
	}
}

// run advances the time and starts loads whenever the limiter allows.
func (s *simulatedStore) run(l *Limiter, length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.observe(l, step)
		for l.MayBegin(s.now, 0) {
			load := Load{Key: Key{Instance: "r", Model: fmt.Sprint(len(s.startTimes))}, Nominal: nominal}
			l.Begin(s.now, load)
			s.begin(load)
			s.startTimes = append(s.startTimes, s.now)
		}
		s.peak = max(s.peak, len(s.remaining))
	}
}

func TestLimitConvergesToCapacity(t *testing.T) {
	for _, capacity := range []int{1, 2, 4, 9, 20, 60} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			c := qt.New(t)
			store := newSimulatedStore(capacity)
			l := New(5*time.Second, 100)
			store.run(l, 60*time.Second)
			before := store.ended
			store.run(l, 120*time.Second)
			best := float64(capacity) * 120 / nominal.Seconds()
			c.Assert(float64(store.ended-before) >= 0.8*best, qt.IsTrue,
				qt.Commentf("%d loads of %.0f, limit %d", store.ended-before, best, l.Limit()))
			// The limit may exceed the capacity by what the tolerance for slow loads hides.
			unnoticed := slowFactor + slowSlack.Seconds()/nominal.Seconds()
			most := max(float64(capacity+1), unnoticed*float64(capacity))
			c.Assert(float64(l.Limit()) <= most, qt.IsTrue, qt.Commentf("limit %d of %.1f", l.Limit(), most))
		})
	}
}

// A high capacity must be found within three rounds of loads.
func TestLimitOfLargeStoreIsReachedQuickly(t *testing.T) {
	c := qt.New(t)
	store := newSimulatedStore(148)
	l := New(5*time.Second, 210)
	store.run(l, 3*nominal+time.Second)
	c.Assert(l.Limit() >= 100, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
}

func TestRecallRestoresLearnedLimit(t *testing.T) {
	c := qt.New(t)
	store := newSimulatedStore(4)
	l := New(5*time.Second, 100)
	limit, isCrowded := l.Learned()
	c.Assert(limit, qt.Equals, 0, qt.Commentf("nothing is known yet"))
	c.Assert(isCrowded, qt.IsFalse)
	store.run(l, 60*time.Second)
	next := New(5*time.Second, 100)
	limit, isCrowded = l.Learned()
	c.Assert(isCrowded, qt.IsTrue)
	next.RestoreLearned(store.now, limit, isCrowded)
	next.SetInitialLimit(50)
	c.Assert(next.Limit(), qt.Equals, l.Limit())
	store.peak = 0
	store.run(next, probeInterval-time.Second)
	c.Assert(store.peak <= 5, qt.IsTrue, qt.Commentf("%d concurrent loads", store.peak))
}

func TestLimitFollowsChangingCapacity(t *testing.T) {
	c := qt.New(t)
	store := newSimulatedStore(8)
	l := New(5*time.Second, 100)
	store.run(l, 60*time.Second)
	c.Assert(l.Limit() >= 7, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	store.capacity = 2
	store.run(l, 90*time.Second)
	c.Assert(l.Limit() <= 3, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	store.capacity = 8
	store.run(l, 150*time.Second)
	c.Assert(l.Limit() >= 6, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
}

func TestStartsStayWithinRate(t *testing.T) {
	c := qt.New(t)
	store := newSimulatedStore(50)
	l := New(5*time.Second, 4)
	store.run(l, 60*time.Second)
	for first := range store.startTimes {
		count := 0
		for _, at := range store.startTimes[first:] {
			if at.Sub(store.startTimes[first]) <= 5*time.Second {
				count++
			}
		}
		c.Assert(count <= 4, qt.IsTrue)
	}
}

func TestSingleSlowLoadKeepsLimit(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	now := start
	end := func(took time.Duration) {
		l.Begin(now, Load{Key: Key{Instance: "r", Model: "m"}, Nominal: nominal})
		now = now.Add(took)
		l.Update(now, nil, func(Key) bool { return true })
	}
	end(2 * nominal)
	c.Assert(l.Limit(), qt.Equals, initialConcurrency)
	end(2 * nominal)
	c.Assert(l.Limit() < initialConcurrency, qt.IsTrue)
}

func TestReservedLoadsCountAgainstLimit(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	c.Assert(l.MayBegin(start, initialConcurrency-1), qt.IsTrue)
	c.Assert(l.MayBegin(start, initialConcurrency), qt.IsFalse)
}

func TestAbortedLoadsKeepLimit(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	for i := range 8 {
		at := start.Add(time.Duration(i) * time.Minute)
		l.Begin(at, Load{Key: Key{Instance: "r", Model: fmt.Sprint(i)}, Nominal: nominal})
		l.Update(at.Add(50*time.Second), nil, func(Key) bool { return false })
	}
	c.Assert(l.Limit(), qt.Equals, initialConcurrency)
}

// A load from an unknown copy, as after a change of leader, ends too early to be a load
// from the store and must not affect the limit.
func TestLoadFromCopyIsIgnored(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	l.SetInitialLimit(24)
	var loads []Load
	for i := range 24 {
		loads = append(loads, Load{Key: Key{Instance: "r", Model: fmt.Sprint(i)}, Nominal: nominal})
		l.Begin(start, loads[i])
	}
	l.Update(start.Add(nominal/4), loads[1:], func(Key) bool { return true })
	c.Assert(l.Limit(), qt.Equals, 24)
	limit, _ := l.Learned()
	c.Assert(limit, qt.Equals, 0)
}

func TestUrgentLoadsMayExceedLimit(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	for i := range initialConcurrency {
		l.Begin(start, Load{Key: Key{Instance: "r", Model: fmt.Sprint(i)}, Nominal: nominal})
	}
	c.Assert(l.MayBegin(start, 0), qt.IsFalse)
	c.Assert(l.MayBeginUrgent(start, 0), qt.IsTrue)
	c.Assert(l.MayBeginUrgent(start, 2), qt.IsFalse, qt.Commentf("reserved loads count"))
	l.SetRate(initialConcurrency)
	c.Assert(l.MayBeginUrgent(start, 0), qt.IsFalse, qt.Commentf("the rate limit applies to urgent loads"))
}

// At a store that fixes speeds at the start, the first of many simultaneous loads end on
// time, which must prove only the concurrency at their start.
func TestFirstOfSimultaneousLoadsProveOnlyStartConcurrency(t *testing.T) {
	for _, first := range []int{12, 24} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			c := qt.New(t)
			store := newSimulatedStore(10)
			store.fixesSpeedAtStart = true
			l := New(5*time.Second, 300)
			l.SetInitialLimit(first)
			store.run(l, 40*time.Second)
			c.Assert(store.peak <= 24, qt.IsTrue, qt.Commentf("%d loads at once", store.peak))
			c.Assert(l.Limit() >= 8 && l.Limit() <= 13, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
		})
	}
}

// While concurrency increases, its average during a load differs from that at its start.
// The limit must be learned for both kinds of stores.
func TestLimitIsLearnedWhileConcurrencyIncreases(t *testing.T) {
	for _, isFixed := range []bool{false, true} {
		t.Run(fmt.Sprint("fixed ", isFixed), func(t *testing.T) {
			c := qt.New(t)
			store := newSimulatedStore(10)
			store.fixesSpeedAtStart = isFixed
			l := New(5*time.Second, 300)
			l.SetInitialLimit(34)
			for i := range 34 {
				load := Load{Key: Key{Instance: "r", Model: fmt.Sprint("begun", i)}, Nominal: nominal}
				l.Begin(store.now, load)
				store.begin(load)
				store.observe(l, 250*time.Millisecond)
			}
			store.observe(l, 40*time.Second)
			c.Assert(l.Limit() >= 8 && l.Limit() <= 13, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
		})
	}
}

// Seven loads start at a store with a capacity of one. The overdue loads must lower the
// limit before they end.
func TestOverdueLoadsLowerLimit(t *testing.T) {
	for _, isFixed := range []bool{false, true} {
		t.Run(fmt.Sprintf("fixed speed %v", isFixed), func(t *testing.T) {
			c := qt.New(t)
			l := New(5*time.Second, 100)
			l.SetInitialLimit(7)
			var inProgress []Load
			for i := range 7 {
				load := Load{Key: Key{Instance: fmt.Sprint("r", i)}, Nominal: nominal}
				l.Begin(start, load)
				inProgress = append(inProgress, load)
			}
			at := start.Add(nominal)
			if isFixed {
				inProgress = inProgress[1:]
			}
			l.Update(at, inProgress, func(Key) bool { return true })
			c.Assert(l.Limit() >= 7, qt.IsTrue)
			at = start.Add(2 * nominal)
			l.Update(at, inProgress, func(Key) bool { return true })
			limit, isCrowded := l.Learned()
			c.Assert(isCrowded, qt.IsTrue)
			c.Assert(limit <= 4, qt.IsTrue, qt.Commentf("%d", limit))
			at = start.Add(4 * nominal)
			l.Update(at, inProgress, func(Key) bool { return true })
			c.Assert(l.Limit() <= 2, qt.IsTrue, qt.Commentf("%d", l.Limit()))
		})
	}
}

func TestSingleOverdueLoadKeepsLimit(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	load := Load{Key: Key{Instance: "r"}, Nominal: nominal}
	l.Begin(start, load)
	l.Update(start.Add(5*nominal), []Load{load}, func(Key) bool { return false })
	_, isCrowded := l.Learned()
	c.Assert(isCrowded, qt.IsFalse)
}

// An overdue load is expected to take as long again as it is overdue.
func TestRemainingOfOverdueLoad(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	load := Load{Key: Key{Instance: "r"}, Nominal: nominal}
	l.Begin(start, load)
	c.Assert(l.Remaining(start.Add(nominal-time.Second), load.Key), qt.Equals, time.Second)
	c.Assert(l.Remaining(start.Add(nominal+5*time.Second), load.Key), qt.Equals, 5*time.Second)
}

// At a small store, an additional load delays the others more than running it after them.
func TestUrgentLoadsExceedOnlyLargeLimits(t *testing.T) {
	for _, test := range []struct{ limit, urgent int }{{1, 1}, {2, 2}, {3, 3}, {4, 6}, {10, 15}} {
		t.Run(fmt.Sprint(test.limit), func(t *testing.T) {
			limiter := New(5*time.Second, 100)
			limiter.RestoreLearned(start, test.limit, true)
			begun := 0
			for ; limiter.MayBeginUrgent(start, 0); begun++ {
				limiter.Begin(start, Load{Key{Model: fmt.Sprint(begun)}, nominal})
			}
			qt.Assert(t, begun, qt.Equals, test.urgent)
		})
	}
}

func TestLoadOnTimeRaisesLimitToTwo(t *testing.T) {
	limiter := New(5*time.Second, 100)
	limiter.SetInitialLimit(1)
	limiter.Update(start, nil, nil)
	limiter.Begin(start, Load{Key{Model: "m"}, nominal})
	limiter.Update(start.Add(nominal), nil, func(Key) bool { return true })
	qt.Assert(t, limiter.Limit(), qt.Equals, 2)
}

// Small limits must be raised by one, since overloading a small store delays all loads.
func TestSmallLimitIsRaisedByOne(t *testing.T) {
	for _, test := range []struct{ proved, tried int }{{1, 2}, {2, 3}, {3, 4}} {
		t.Run(fmt.Sprint(test.proved), func(t *testing.T) {
			limiter := New(5*time.Second, 100)
			limiter.SetInitialLimit(test.proved)
			limiter.Update(start, nil, nil)
			for i := range test.proved {
				limiter.Begin(start, Load{Key{Model: fmt.Sprint(i)}, nominal})
			}
			limiter.Update(start.Add(nominal), nil, func(Key) bool { return true })
			qt.Assert(t, limiter.Limit(), qt.Equals, test.tried)
		})
	}
}
