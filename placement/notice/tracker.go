package notice

import (
	"cmp"
	"slices"
	"time"
)

const (
	// cooldownContinuation is how long after the end of a cooldown a new one still counts as its
	// continuation, since a router may send requests to a model only every few seconds.
	cooldownContinuation = 10 * time.Second
	// leavingTTL is how long a leaving runner is remembered after it is no longer listed. A new
	// leader or a partitioned controller may list it again.
	leavingTTL = 10 * time.Minute
	// maxUnlisted bounds the remembered runners that are no longer listed. A rollout of a large
	// service may leave hundreds at once.
	maxUnlisted = 4096
)

// Tracker is a router's record of the cooldowns and departures that runners announced. Create one with
// NewTracker. Its methods are not safe for concurrent use.
type Tracker struct {
	runners map[string]*entry
	// leaderEpoch counts changes of the leader.
	leaderEpoch uint64
}

// entry is the state of one incarnation of a runner.
type entry struct {
	instance string
	// cooldownUntil is the latest end of the announced cooldowns; zero for none.
	cooldownUntil time.Time
	// cooldownSince is when the first of them was announced. The runner has taken no request since.
	cooldownSince time.Time
	isLeaving     bool
	heardAt       time.Time
	// changes counts the changes of the entry, reported those that the leader has acknowledged.
	changes  uint64
	reported uint64
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{runners: make(map[string]*entry)} }

// Change describes what an answer changed.
type Change struct {
	// IsCoolingDown is set if the cooldown ends later than was known.
	IsCoolingDown bool
	// IsLeaving is set if the runner was not known to be leaving.
	IsLeaving bool
}

// Observe records the notice of a runner's answer. A cooldown ends only when its time has passed, not by a
// shorter one or by answers to earlier requests.
func (b *Tracker) Observe(now time.Time, instance string, notice Notice) Change {
	var change Change
	if notice.Cooldown <= 0 && !notice.IsLeaving {
		return change
	}
	known := b.runners[instance]
	if known == nil {
		known = &entry{instance: instance}
		b.runners[instance] = known
	}
	known.heardAt = now
	if until := now.Add(notice.Cooldown); notice.Cooldown > 0 && until.After(known.cooldownUntil) {
		if known.cooldownUntil.IsZero() || now.Sub(known.cooldownUntil) > cooldownContinuation {
			known.cooldownSince = now
		}
		known.cooldownUntil = until
		change.IsCoolingDown = true
	}
	change.IsLeaving = notice.IsLeaving && !known.isLeaving
	known.isLeaving = known.isLeaving || notice.IsLeaving
	if change != (Change{}) {
		known.changes++
	}
	return change
}

// RecordAccepted records that a runner accepted a request sent at the given time, which ends its cooldown if that
// is over. Requests sent before the end are ignored.
func (b *Tracker) RecordAccepted(sent time.Time, instance string) {
	known := b.runners[instance]
	if known == nil || known.cooldownUntil.IsZero() || sent.Before(known.cooldownUntil) {
		return
	}
	known.cooldownUntil, known.cooldownSince = time.Time{}, time.Time{}
	if !known.isLeaving {
		delete(b.runners, instance)
	}
}

// IsEmpty reports whether the tracker has no entries.
func (b *Tracker) IsEmpty() bool { return len(b.runners) == 0 }

// CooldownEnd returns the end of a runner's cooldown; zero or in the past if it takes requests.
func (b *Tracker) CooldownEnd(instance string) time.Time {
	if known := b.runners[instance]; known != nil {
		return known.cooldownUntil
	}
	return time.Time{}
}

// Unwilling calls visit for each runner that wants no requests now, with the rest of its cooldown; 0 if it is just leaving.
func (b *Tracker) Unwilling(now time.Time, visit func(instance string, cooldown time.Duration, isLeaving bool)) {
	for instance, known := range b.runners {
		if cooldown := max(0, known.cooldownUntil.Sub(now)); cooldown > 0 || known.isLeaving {
			visit(instance, cooldown, known.isLeaving)
		}
	}
}

// IsLeaving reports whether a runner has announced that it is leaving.
func (b *Tracker) IsLeaving(instance string) bool {
	known := b.runners[instance]
	return known != nil && known.isLeaving
}

// CountCoolingDown returns the number of runners that want no requests now.
func (b *Tracker) CountCoolingDown(now time.Time) int {
	count := 0
	for _, known := range b.runners {
		if now.Before(known.cooldownUntil) {
			count++
		}
	}
	return count
}

// NextEnd returns the earliest end of a current cooldown, and false if there is none.
func (b *Tracker) NextEnd(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, known := range b.runners {
		if now.Before(known.cooldownUntil) && (next.IsZero() || known.cooldownUntil.Before(next)) {
			next = known.cooldownUntil
		}
	}
	return next, !next.IsZero()
}

// Sweep deletes expired entries, and the oldest unlisted ones beyond maxUnlisted.
func (b *Tracker) Sweep(now time.Time, isListed func(instance string) bool) {
	var unlisted []*entry
	for instance, known := range b.runners {
		isCooldownOver := now.Sub(known.cooldownUntil) > cooldownContinuation
		switch {
		case isListed(instance):
			if isCooldownOver && !known.isLeaving {
				delete(b.runners, instance)
			}
		case isCooldownOver && (!known.isLeaving || now.Sub(known.heardAt) > leavingTTL):
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

// ResendAll queues reports of all entries for a new leader.
func (b *Tracker) ResendAll() {
	b.leaderEpoch++
	for _, known := range b.runners {
		known.reported = 0
	}
}

// PendingReports holds the reports that the leader has not acknowledged.
type PendingReports struct {
	Reports []Report
	// changes holds the entry's count of changes for each report.
	changes     []uint64
	leaderEpoch uint64
}

// Pending returns the pending reports. They stay pending until Acknowledge is called.
func (b *Tracker) Pending(now time.Time) PendingReports {
	pending := PendingReports{leaderEpoch: b.leaderEpoch}
	for instance, known := range b.runners {
		if known.reported < known.changes {
			pending.Reports = append(pending.Reports, Report{Instance: instance, RestsFor: known.remainingCooldown(now), IsLeaving: known.isLeaving})
			pending.changes = append(pending.changes, known.changes)
		}
	}
	return pending
}

// remainingCooldown returns the expected remaining cooldown: the announced time, or the time that it has
// lasted so far if that is longer.
func (e *entry) remainingCooldown(now time.Time) time.Duration {
	if !now.Before(e.cooldownUntil) {
		return 0
	}
	return max(e.cooldownUntil.Sub(now), now.Sub(e.cooldownSince))
}

// Acknowledge marks the reports as acknowledged, unless the leader has changed since.
func (b *Tracker) Acknowledge(pending PendingReports) {
	if pending.leaderEpoch != b.leaderEpoch {
		return
	}
	for i, report := range pending.Reports {
		if known := b.runners[report.Instance]; known != nil {
			known.reported = max(known.reported, pending.changes[i])
		}
	}
}
