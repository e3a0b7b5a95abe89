package notice

import (
	"cmp"
	"slices"
	"time"
)

const (
	// restMemory is how long after the end of a rest the next one counts as going on with it: a router that sends
	// a request in some seconds to a model finds out so late that the runner turns it away again.
	restMemory = 10 * time.Second
	// leavingMemory is how long a runner is remembered to be leaving that is listed no more: a new leader, or a
	// controller that was cut off, may list it once more. Runners end within a minute or so of saying it.
	leavingMemory = 10 * time.Minute
	// maxUnlisted bounds the runners that are remembered though they are listed no more. Some hundreds leave at once
	// when a large service is released.
	maxUnlisted = 4096
)

// Book is what a router holds of what runners said of themselves: until when each wants no requests from it, and which
// are leaving. The methods must not run at the same time. Make one with NewBook.
type Book struct {
	runners map[string]*entry
	// leaders counts those that there were.
	leaders uint64
}

// entry is what is held of one life of a runner.
type entry struct {
	instance string
	// restsUntil is the latest end of the rests that the runner asked for; zero for none.
	restsUntil time.Time
	// restsSince is when it asked for the first of them; it took no request since.
	restsSince time.Time
	isLeaving  bool
	heardAt    time.Time
	// changes counts what was heard of it, and told is how much of that the leader knows.
	changes uint64
	told    uint64
}

// NewBook makes a Book in which nothing stands.
func NewBook() *Book { return &Book{runners: make(map[string]*entry)} }

// Change is what an answer changed.
type Change struct {
	// IsResting is set if the runner wants no requests for longer than was known.
	IsResting bool
	// IsLeaving is set if it was not known that the runner is leaving.
	IsLeaving bool
}

// Hear takes what an answer tells of a runner. Rests don't end early: neither by a shorter one that is asked for
// meanwhile, nor by answers to what was sent before.
func (b *Book) Hear(now time.Time, instance string, heard Notice) Change {
	var change Change
	if heard.Rest <= 0 && !heard.IsLeaving {
		return change
	}
	known := b.runners[instance]
	if known == nil {
		known = &entry{instance: instance}
		b.runners[instance] = known
	}
	known.heardAt = now
	if until := now.Add(heard.Rest); heard.Rest > 0 && until.After(known.restsUntil) {
		if known.restsUntil.IsZero() || now.Sub(known.restsUntil) > restMemory {
			known.restsSince = now
		}
		known.restsUntil = until
		change.IsResting = true
	}
	change.IsLeaving = heard.IsLeaving && !known.isLeaving
	known.isLeaving = known.isLeaving || heard.IsLeaving
	if change != (Change{}) {
		known.changes++
	}
	return change
}

// Took notes that a runner took a request that was sent at a time. One that was sent before the end of a rest, and was
// taken all the same, does not end it.
func (b *Book) Took(sent time.Time, instance string) {
	known := b.runners[instance]
	if known == nil || known.restsUntil.IsZero() || sent.Before(known.restsUntil) {
		return
	}
	known.restsUntil, known.restsSince = time.Time{}, time.Time{}
	if !known.isLeaving {
		delete(b.runners, instance)
	}
}

// IsEmpty reports whether no runner has said anything that still counts.
func (b *Book) IsEmpty() bool { return len(b.runners) == 0 }

// RestsUntil is until when a runner wants no requests; in the past or zero if it takes some.
func (b *Book) RestsUntil(instance string) time.Time {
	if known := b.runners[instance]; known != nil {
		return known.restsUntil
	}
	return time.Time{}
}

// IsLeaving reports whether a runner said that it is leaving.
func (b *Book) IsLeaving(instance string) bool {
	known := b.runners[instance]
	return known != nil && known.isLeaving
}

// Resting counts the runners that want no requests now.
func (b *Book) Resting(now time.Time) int {
	count := 0
	for _, known := range b.runners {
		if now.Before(known.restsUntil) {
			count++
		}
	}
	return count
}

// NextEnd is when the next rest ends, and false if nobody rests.
func (b *Book) NextEnd(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, known := range b.runners {
		if now.Before(known.restsUntil) && (next.IsZero() || known.restsUntil.Before(next)) {
			next = known.restsUntil
		}
	}
	return next, !next.IsZero()
}

// Sweep forgets what counts no more: rests that ended long ago, and what is held of runners that ended.
func (b *Book) Sweep(now time.Time, isListed func(instance string) bool) {
	var unlisted []*entry
	for instance, known := range b.runners {
		isRestOver := now.Sub(known.restsUntil) > restMemory
		switch {
		case isListed(instance):
			if isRestOver && !known.isLeaving {
				delete(b.runners, instance)
			}
		case isRestOver && (!known.isLeaving || now.Sub(known.heardAt) > leavingMemory):
			delete(b.runners, instance)
		default:
			unlisted = append(unlisted, known)
		}
	}
	if excess := len(unlisted) - maxUnlisted; excess > 0 {
		slices.SortFunc(unlisted, func(a, b *entry) int {
			return cmp.Or(a.heardAt.Compare(b.heardAt), cmp.Compare(a.instance, b.instance))
		})
		for _, known := range unlisted[:excess] {
			delete(b.runners, known.instance)
		}
	}
}

// TellAnew has all that counts be told to a new leader, which knows nothing of it.
func (b *Book) TellAnew() {
	b.leaders++
	for _, known := range b.runners {
		known.told = 0
	}
}

// News are what the leader has not been told yet.
type News struct {
	Reports []Report
	// changes counts, for each report, what had been heard of its runner.
	changes []uint64
	leaders uint64
}

// News lists what is to be told. It stays to be told until Told is called.
func (b *Book) News(now time.Time) News {
	news := News{leaders: b.leaders}
	for instance, known := range b.runners {
		if known.told < known.changes {
			news.Reports = append(news.Reports, Report{Instance: instance, RestsFor: known.restsFor(now), IsLeaving: known.isLeaving})
			news.changes = append(news.changes, known.changes)
		}
	}
	return news
}

// restsFor is for how much longer the runner probably takes nothing: as long as it said, or as it has gone on for if
// that is longer.
func (e *entry) restsFor(now time.Time) time.Duration {
	if !now.Before(e.restsUntil) {
		return 0
	}
	return max(e.restsUntil.Sub(now), now.Sub(e.restsSince))
}

// Told notes that the leader has been told, unless there is a new one by now.
func (b *Book) Told(news News) {
	if news.leaders != b.leaders {
		return
	}
	for i, report := range news.Reports {
		if known := b.runners[report.Instance]; known != nil {
			known.told = max(known.told, news.changes[i])
		}
	}
}
