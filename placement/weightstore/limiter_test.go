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

// simulatedStore serves as many loads at once as it can at full speed; beyond that
// number all take proportionally longer, or only those that begin then.
type simulatedStore struct {
	atOnce int
	// isFixed stores give a load its speed when it begins.
	isFixed bool
	now     time.Time
	left    map[Key]time.Duration
	done    map[Key]bool
	ended   int
	most    int
	begun   []time.Time
}

func newSimulatedStore(atOnce int) *simulatedStore {
	return &simulatedStore{atOnce: atOnce, now: start, left: make(map[Key]time.Duration), done: make(map[Key]bool)}
}

func (s *simulatedStore) advance() {
	s.now = s.now.Add(step)
	progress := step
	if len(s.left) > s.atOnce && !s.isFixed {
		progress = time.Duration(float64(step) * float64(s.atOnce) / float64(len(s.left)))
	}
	for key := range s.left {
		s.left[key] -= progress
		if s.left[key] <= 0 {
			delete(s.left, key)
			s.done[key] = true
			s.ended++
		}
	}
}

// begin begins a load at the store.
func (s *simulatedStore) begin(load Load) {
	s.left[load.Key] = nominal
	if s.isFixed {
		s.left[load.Key] = time.Duration(float64(nominal) * max(1, float64(len(s.left))/float64(s.atOnce)))
	}
}

// follow lets time pass, and the limiter know which loads are under way.
func (s *simulatedStore) follow(l *Limiter, length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.advance()
		var underWay []Load
		for key := range s.left {
			underWay = append(underWay, Load{Key: key, Nominal: nominal})
		}
		l.Update(s.now, underWay, func(key Key) bool { return s.done[key] })
	}
}

// run keeps the store as busy as the limiter allows.
func (s *simulatedStore) run(l *Limiter, length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.follow(l, step)
		for l.MayBegin(s.now, 0) {
			load := Load{Key: Key{Instance: "r", Model: fmt.Sprint(len(s.begun))}, Nominal: nominal}
			l.Begin(s.now, load)
			s.begin(load)
			s.begun = append(s.begun, s.now)
		}
		s.most = max(s.most, len(s.left))
	}
}

func TestConcurrencyIsLearned(t *testing.T) {
	for _, atOnce := range []int{1, 2, 4, 9, 20, 60} {
		t.Run(fmt.Sprint(atOnce), func(t *testing.T) {
			c := qt.New(t)
			store := newSimulatedStore(atOnce)
			l := New(5*time.Second, 100)
			store.run(l, 60*time.Second)
			before := store.ended
			store.run(l, 120*time.Second)
			best := float64(atOnce) * 120 / nominal.Seconds()
			c.Assert(float64(store.ended-before) >= 0.8*best, qt.IsTrue,
				qt.Commentf("%d loads of %.0f, limit %d", store.ended-before, best, l.Limit()))
			// Loads that take a little longer than announced do not count as slow.
			unnoticed := slowFactor + slowSlack.Seconds()/nominal.Seconds()
			most := max(float64(atOnce+1), unnoticed*float64(atOnce))
			c.Assert(float64(l.Limit()) <= most, qt.IsTrue, qt.Commentf("limit %d of %.1f", l.Limit(), most))
		})
	}
}

// A store that bears many must not be held back for long.
func TestLargeStoreIsKnownSoon(t *testing.T) {
	c := qt.New(t)
	store := newSimulatedStore(148)
	l := New(5*time.Second, 210)
	store.run(l, 3*nominal+time.Second)
	c.Assert(l.Limit() >= 100, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
}

func TestWhatWasLearnedOutlivesTheLimiter(t *testing.T) {
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
	next.Recall(store.now, limit, isCrowded)
	next.Expect(50)
	c.Assert(next.Limit(), qt.Equals, l.Limit())
	store.most = 0
	store.run(next, probePause-time.Second)
	c.Assert(store.most <= 5, qt.IsTrue, qt.Commentf("%d at once", store.most))
}

func TestStoreThatSlowsIsFollowed(t *testing.T) {
	c := qt.New(t)
	store := newSimulatedStore(8)
	l := New(5*time.Second, 100)
	store.run(l, 60*time.Second)
	c.Assert(l.Limit() >= 7, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	store.atOnce = 2
	store.run(l, 90*time.Second)
	c.Assert(l.Limit() <= 3, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	store.atOnce = 8
	store.run(l, 150*time.Second)
	c.Assert(l.Limit() >= 6, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
}

func TestBeginningsStayWithinTheRate(t *testing.T) {
	c := qt.New(t)
	store := newSimulatedStore(50)
	l := New(5*time.Second, 4)
	store.run(l, 60*time.Second)
	for first := range store.begun {
		count := 0
		for _, at := range store.begun[first:] {
			if at.Sub(store.begun[first]) <= 5*time.Second {
				count++
			}
		}
		c.Assert(count <= 4, qt.IsTrue)
	}
}

func TestOneLateReportProvesNothing(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	now := start
	end := func(took time.Duration) {
		l.Begin(now, Load{Key: Key{Instance: "r", Model: "m"}, Nominal: nominal})
		now = now.Add(took)
		l.Update(now, nil, func(Key) bool { return true })
	}
	end(2 * nominal)
	c.Assert(l.Limit(), qt.Equals, firstConcurrency)
	end(2 * nominal)
	c.Assert(l.Limit() < firstConcurrency, qt.IsTrue)
}

func TestKeptPlacesCount(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	c.Assert(l.MayBegin(start, firstConcurrency-1), qt.IsTrue)
	c.Assert(l.MayBegin(start, firstConcurrency), qt.IsFalse)
}

func TestLoadsThatAreGivenUpTeachNothing(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	for i := range 8 {
		at := start.Add(time.Duration(i) * time.Minute)
		l.Begin(at, Load{Key: Key{Instance: "r", Model: fmt.Sprint(i)}, Nominal: nominal})
		l.Update(at.Add(50*time.Second), nil, func(Key) bool { return false })
	}
	c.Assert(l.Limit(), qt.Equals, firstConcurrency)
}

// After a change of the leader it is not known yet which machines have copies, so that a load
// from a copy passes for one from the store. It ends far too soon to be one.
func TestLoadFromACopyTeachesNothing(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	l.Expect(24)
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

func TestUrgentLoadsMayExceedTheLimit(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	for i := range firstConcurrency {
		l.Begin(start, Load{Key: Key{Instance: "r", Model: fmt.Sprint(i)}, Nominal: nominal})
	}
	c.Assert(l.MayBegin(start, 0), qt.IsFalse)
	c.Assert(l.MayBeginUrgent(start, 0), qt.IsTrue)
	c.Assert(l.MayBeginUrgent(start, 2), qt.IsFalse, qt.Commentf("the places that are kept count"))
	l.SetRate(firstConcurrency)
	c.Assert(l.MayBeginUrgent(start, 0), qt.IsFalse, qt.Commentf("the rate of the store holds"))
}

// Of many loads that begin together at a store that gives each its speed when it begins, the
// first ones end in time. That proves what was under way when they began, no more.
func TestFirstLoadsOfManyProveLittle(t *testing.T) {
	for _, first := range []int{12, 24} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			c := qt.New(t)
			store := newSimulatedStore(10)
			store.isFixed = true
			l := New(5*time.Second, 300)
			l.Expect(first)
			store.run(l, 40*time.Second)
			c.Assert(store.most <= 24, qt.IsTrue, qt.Commentf("%d loads at once", store.most))
			c.Assert(l.Limit() >= 8 && l.Limit() <= 13, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
		})
	}
}

// While the number of loads under way rises, its average over a load is far from what it was
// when the load began. Which of the two decides is told by which explains all loads alike.
func TestLimitIsLearnedWhileTheLoadsIncrease(t *testing.T) {
	for _, isFixed := range []bool{false, true} {
		t.Run(fmt.Sprint("fixed ", isFixed), func(t *testing.T) {
			c := qt.New(t)
			store := newSimulatedStore(10)
			store.isFixed = isFixed
			l := New(5*time.Second, 300)
			l.Expect(34)
			for i := range 34 {
				load := Load{Key: Key{Instance: "r", Model: fmt.Sprint("begun", i)}, Nominal: nominal}
				l.Begin(store.now, load)
				store.begin(load)
				store.follow(l, 250*time.Millisecond)
			}
			store.follow(l, 40*time.Second)
			c.Assert(l.Limit() >= 8 && l.Limit() <= 13, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
		})
	}
}

// Seven loads begin at once at a store that serves one. Only the first ends in time; that the others
// are overdue tells long before they end.
func TestOverdueLoadsTellOfACrowdedStore(t *testing.T) {
	for _, isFixed := range []bool{false, true} {
		t.Run(fmt.Sprintf("fixed speed %v", isFixed), func(t *testing.T) {
			c := qt.New(t)
			l := New(5*time.Second, 100)
			l.Expect(7)
			var underWay []Load
			for i := range 7 {
				load := Load{Key: Key{Instance: fmt.Sprint("r", i)}, Nominal: nominal}
				l.Begin(start, load)
				underWay = append(underWay, load)
			}
			at := start.Add(nominal)
			if isFixed {
				underWay = underWay[1:]
			}
			l.Update(at, underWay, func(Key) bool { return true })
			c.Assert(l.Limit() >= 7, qt.IsTrue)
			at = start.Add(2 * nominal)
			l.Update(at, underWay, func(Key) bool { return true })
			limit, isCrowded := l.Learned()
			c.Assert(isCrowded, qt.IsTrue)
			c.Assert(limit <= 4, qt.IsTrue, qt.Commentf("%d", limit))
			at = start.Add(4 * nominal)
			l.Update(at, underWay, func(Key) bool { return true })
			c.Assert(l.Limit() <= 2, qt.IsTrue, qt.Commentf("%d", l.Limit()))
		})
	}
}

func TestOneOverdueLoadProvesNothing(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	load := Load{Key: Key{Instance: "r"}, Nominal: nominal}
	l.Begin(start, load)
	l.Update(start.Add(5*nominal), []Load{load}, func(Key) bool { return false })
	_, isCrowded := l.Learned()
	c.Assert(isCrowded, qt.IsFalse)
}

// A load that should have ended is not about to: it is expected to take as long again as it is
// overdue.
func TestOverdueLoadIsNotExpectedAtOnce(t *testing.T) {
	c := qt.New(t)
	l := New(5*time.Second, 100)
	load := Load{Key: Key{Instance: "r"}, Nominal: nominal}
	l.Begin(start, load)
	c.Assert(l.Remaining(start.Add(nominal-time.Second), load.Key), qt.Equals, time.Second)
	c.Assert(l.Remaining(start.Add(nominal+5*time.Second), load.Key), qt.Equals, 5*time.Second)
}

// One more load than a store serves at once makes all of few end later than one after the other.
func TestUrgentLoadsExceedTheLimitOfALargeStoreOnly(t *testing.T) {
	for _, test := range []struct{ limit, urgent int }{{1, 1}, {2, 2}, {3, 3}, {4, 6}, {10, 15}} {
		t.Run(fmt.Sprint(test.limit), func(t *testing.T) {
			limiter := New(5*time.Second, 100)
			limiter.Recall(start, test.limit, true)
			begun := 0
			for ; limiter.MayBeginUrgent(start, 0); begun++ {
				limiter.Begin(start, Load{Key{Model: fmt.Sprint(begun)}, nominal})
			}
			qt.Assert(t, begun, qt.Equals, test.urgent)
		})
	}
}

func TestOneLoadInTimeLetsTwoBeTried(t *testing.T) {
	limiter := New(5*time.Second, 100)
	limiter.Expect(1)
	limiter.Update(start, nil, nil)
	limiter.Begin(start, Load{Key{Model: "m"}, nominal})
	limiter.Update(start.Add(nominal), nil, func(Key) bool { return true })
	qt.Assert(t, limiter.Limit(), qt.Equals, 2)
}

// A store that serves two at once is not asked for eight after two ended in time: each of eight would
// take four times as long, and so would all that wait for one of them.
func TestSmallStoreIsTriedByOneMore(t *testing.T) {
	for _, test := range []struct{ proved, tried int }{{1, 2}, {2, 3}, {3, 4}} {
		t.Run(fmt.Sprint(test.proved), func(t *testing.T) {
			limiter := New(5*time.Second, 100)
			limiter.Expect(test.proved)
			limiter.Update(start, nil, nil)
			for i := range test.proved {
				limiter.Begin(start, Load{Key{Model: fmt.Sprint(i)}, nominal})
			}
			limiter.Update(start.Add(nominal), nil, func(Key) bool { return true })
			qt.Assert(t, limiter.Limit(), qt.Equals, test.tried)
		})
	}
}
