package poison

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

const (
	// enoughLosses is at how many losses a request must have been under way to be a
	// suspect. Of the requests that shared runners with one that crashed them, 50 were under way
	// at three losses and 3 at four; nearly all others at fewer.
	enoughLosses = 3
	// refutingTime is how long after the report of its loss a heartbeat shows that a runner lives:
	// heartbeats come up to some seconds late, and those that live send one each second or so. With
	// two heartbeats at any time instead, 5 of 60 simulated requests reached runners up to eight times
	// after they were known, where heartbeats were up to 3 s late.
	refutingTime = 4 * time.Second
	// lossLife is how long a loss counts: some times as long as callers repeat a request that
	// fails, and short enough that a week's unrelated losses do not add up.
	lossLife = time.Hour
	// maxLosses and maxDigests bound what is kept: 256 losses of 512 requests of 16 bytes each
	// are some MiB at most. Beyond it the oldest losses are forgotten.
	maxLosses  = 256
	maxDigests = 512
	// maxSuspects bounds the requests that are suspected or refused.
	maxSuspects = 1024
	// trialLife is after how long a trial counts as over of which nothing was heard: longer than
	// callers wait for an answer.
	trialLife = time.Minute
	// laterPause is when a caller may come back whose request has to wait for another trial:
	// about as long as a short answer takes.
	laterPause = time.Second
	// firstRefusal is how long a request is refused that lost its runner in a trial. Each further
	// time is refusalGrowth times as long, up to longestRefusal, so that three trials a day
	// are the most.
	firstRefusal   = time.Hour
	refusalGrowth  = 6
	longestRefusal = 24 * time.Hour
	// openRefusal is how long a request is not tried again after a trial that showed nothing, as its
	// caller left or its time was over; it doubles each time. After the first trial that a full runner
	// turned away laterPause will do.
	openRefusal = 30 * time.Second
)

// Tracker adds up losses. Make one with New.
type Tracker struct {
	losses map[string]*loss
	// counts is at how many of the losses each request was under way.
	counts   map[Digest]int
	suspects map[Digest]*suspect
	trials   map[Digest]trial
	revision uint64
	records  []Record
}

// loss is that of one runner.
type loss struct {
	at      time.Time
	digests map[Digest]bool
}

// suspect is a request that was under way at enough losses.
type suspect struct {
	// since is when it was last found at a loss, or recalled.
	since time.Time
	// losses is their number as it was last counted.
	losses int
	// isRecalled is set for what the leader before knew, whose losses are not known.
	isRecalled bool
	// refusals counts those for a lost runner, openTrials the trials that showed nothing.
	refusals   int
	openTrials int
	// until is the end of its refusal, convicted the runner that was lost in its trial.
	until     time.Time
	convicted string
}

func (s *suspect) isRefused(now time.Time) bool { return now.Before(s.until) }

// trial is one run of a suspect.
type trial struct {
	// asker is who may run it.
	asker    string
	instance string
	at       time.Time
}

// New makes a tracker that knows nothing.
func New() *Tracker {
	return &Tracker{
		losses: make(map[string]*loss), counts: make(map[Digest]int), suspects: make(map[Digest]*suspect), trials: make(map[Digest]trial),
	}
}

// Recall takes what the leader before knew. Refusals begin anew, as nobody knows how much of them
// has passed.
func (t *Tracker) Recall(now time.Time, records []Record) {
	for _, record := range records {
		recalled := &suspect{
			since: now, losses: record.Losses, isRecalled: true, refusals: record.Refusals,
		}
		if record.RefusedFor > 0 {
			recalled.until = now.Add(record.RefusedFor)
		}
		t.suspects[record.Digest] = recalled
		t.revision++
	}
}

// Observe takes a router's report. It reports whether the loss is news.
func (t *Tracker) Observe(now time.Time, report Report) bool {
	known := t.losses[report.Instance]
	isNew := known == nil
	if isNew {
		t.makeRoom()
		known = &loss{at: now, digests: make(map[Digest]bool)}
		t.losses[report.Instance] = known
	}
	for _, digest := range report.Digests {
		if known.digests[digest] || len(known.digests) >= maxDigests {
			continue
		}
		known.digests[digest] = true
		t.counts[digest]++
		t.judge(now, digest)
		t.endTrial(now, digest, report.Instance)
	}
	return isNew
}

// makeRoom forgets the oldest loss if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.losses) < maxLosses {
		return
	}
	oldest := ""
	for instance, each := range t.losses {
		if oldest == "" || each.at.Before(t.losses[oldest].at) || each.at.Equal(t.losses[oldest].at) && instance < oldest {
			oldest = instance
		}
	}
	t.forget(oldest)
}

// forget drops a loss.
func (t *Tracker) forget(instance string) {
	for digest := range t.losses[instance].digests {
		t.counts[digest]--
		if t.counts[digest] == 0 {
			delete(t.counts, digest)
		}
	}
	delete(t.losses, instance)
}

// judge looks whether a request is a suspect now.
func (t *Tracker) judge(now time.Time, digest Digest) {
	count := t.counts[digest]
	known := t.suspects[digest]
	switch {
	case known != nil && count > 0:
		known.since, known.losses = now, max(known.losses, count)
	case known == nil && count >= enoughLosses && len(t.suspects) < maxSuspects:
		t.suspects[digest] = &suspect{since: now, losses: count}
		t.changed(digest)
	}
}

// endTrial refuses a suspect whose trial was at a runner that is lost.
func (t *Tracker) endTrial(now time.Time, digest Digest, instance string) {
	tried, isTried := t.trials[digest]
	known := t.suspects[digest]
	if !isTried || tried.instance != instance || known == nil {
		return
	}
	delete(t.trials, digest)
	known.refusals++
	known.convicted = instance
	known.until = now.Add(refusalTime(known.refusals))
	t.changed(digest)
}

// refusalTime is how long a request is refused for the given time.
func refusalTime(refusals int) time.Duration {
	length := firstRefusal
	for range refusals - 1 {
		if length >= longestRefusal {
			break
		}
		length *= refusalGrowth
	}
	return min(length, longestRefusal)
}

// Heard notes a heartbeat of a runner, newer than those before. It reports whether that refutes
// its loss.
func (t *Tracker) Heard(now time.Time, instance string) bool {
	known := t.losses[instance]
	if known == nil || now.Sub(known.at) < refutingTime {
		return false
	}
	t.Refute(now, instance)
	return true
}

// Refute forgets the loss of a runner that was none.
func (t *Tracker) Refute(now time.Time, instance string) {
	known := t.losses[instance]
	if known == nil {
		return
	}
	t.forget(instance)
	for digest := range known.digests {
		t.acquit(now, digest, instance)
	}
}

// acquit takes back what a loss that was none has done to a request.
func (t *Tracker) acquit(now time.Time, digest Digest, instance string) {
	found := t.suspects[digest]
	if found == nil {
		return
	}
	if found.convicted == instance {
		found.convicted, found.until = "", time.Time{}
		found.refusals--
		t.changed(digest)
	}
	if t.counts[digest] < enoughLosses && !found.isRecalled && !found.isRefused(now) {
		t.drop(digest)
	}
}

// Ended notes how a run ended that did not lose its runner.
func (t *Tracker) Ended(now time.Time, ending Ending) {
	switch ending.How {
	case EndedWell:
		t.clear(ending.Digest)
	case EndedOpen:
		t.endOpen(now, ending.Digest, 1)
	case TurnedAway:
		t.endOpen(now, ending.Digest, 0)
	case NotSent:
		delete(t.trials, ending.Digest)
	}
}

// clear forgets all that speaks against a request, as it has ended well.
func (t *Tracker) clear(digest Digest) {
	for _, each := range t.losses {
		delete(each.digests, digest)
	}
	delete(t.counts, digest)
	delete(t.trials, digest)
	if t.suspects[digest] != nil {
		t.drop(digest)
	}
}

func (t *Tracker) drop(digest Digest) {
	delete(t.suspects, digest)
	delete(t.trials, digest)
	t.revision++
	t.records = append(t.records, Record{Digest: digest, IsCleared: true})
}

// Excuse ends the trials of a report about a runner that had said that it leaves: its end says nothing.
func (t *Tracker) Excuse(report Report) {
	for _, digest := range report.Digests {
		if t.trials[digest].instance == report.Instance {
			delete(t.trials, digest)
		}
	}
}

// Ask says whether a request may be sent to a runner now, and if not, when it may come back. An asker
// whose answer was lost asks again under the same name.
func (t *Tracker) Ask(now time.Time, digest Digest, asker, instance string) (Permission, time.Duration) {
	known := t.suspects[digest]
	if known == nil {
		return Free, 0
	}
	if known.isRefused(now) {
		return Refused, known.until.Sub(now)
	}
	if under, isTried := t.trials[digest]; isTried && under.asker != asker {
		return Later, laterPause
	}
	for tried, other := range t.trials {
		if other.instance == instance && tried != digest {
			return Later, laterPause
		}
	}
	t.trials[digest] = trial{asker: asker, instance: instance, at: now}
	return Trial, 0
}

// endOpen notes that a trial has ended and showed nothing. The request is refused at least as long as
// after the given number of such trials before.
func (t *Tracker) endOpen(now time.Time, digest Digest, atLeast int) {
	if _, isTried := t.trials[digest]; !isTried {
		return
	}
	delete(t.trials, digest)
	known := t.suspects[digest]
	before := max(known.openTrials, atLeast)
	known.until = now.Add(openRefusalTime(before))
	known.openTrials = before + 1
	t.changed(digest)
}

// openRefusalTime is how long a request is not tried again after a trial that showed nothing, when
// so many had shown nothing before.
func openRefusalTime(before int) time.Duration {
	if before == 0 {
		return laterPause
	}
	return openRefusal << min(before-1, maxDoublings)
}

// maxDoublings bounds the growth of refusals after trials that showed nothing: to an hour.
const maxDoublings = 7

// Expire forgets what is old, and ends refusals whose time is over.
func (t *Tracker) Expire(now time.Time) {
	for digest, each := range t.trials {
		if now.Sub(each.at) > trialLife {
			t.endOpen(now, digest, 1)
		}
	}
	for instance, each := range t.losses {
		if now.Sub(each.at) > lossLife {
			t.forget(instance)
		}
	}
	for digest, each := range t.suspects {
		switch {
		case each.isRefused(now):
		case each.until.IsZero() && now.Sub(each.since) > lossLife:
			t.drop(digest)
		case !each.until.IsZero():
			each.since, each.until = now, time.Time{}
			t.changed(digest)
		}
	}
}

func (t *Tracker) changed(digest Digest) {
	t.revision++
	known := t.suspects[digest]
	record := Record{Digest: digest, Losses: known.losses, Refusals: known.refusals}
	if !known.until.IsZero() {
		record.RefusedFor = refusalTime(max(1, known.refusals))
		if known.convicted == "" {
			record.RefusedFor = openRefusal
		}
	}
	t.records = append(t.records, record)
}

// TakeRecords hands out what has changed and must outlive this leader.
func (t *Tracker) TakeRecords() []Record {
	taken := t.records
	t.records = nil
	return taken
}

// Revision is that of the list.
func (t *Tracker) Revision() uint64 { return t.revision }

// Counts returns how many requests are suspects and how many of them are refused.
func (t *Tracker) Counts(now time.Time) (suspects, refused int) {
	for _, each := range t.suspects {
		if each.isRefused(now) {
			refused++
		}
	}
	return len(t.suspects), refused
}

// List returns what routers are told.
func (t *Tracker) List(now time.Time) List {
	listed := List{Revision: t.revision}
	for _, digest := range slices.SortedFunc(maps.Keys(t.suspects), func(a, b Digest) int { return bytes.Compare(a[:], b[:]) }) {
		entry := Entry{Digest: digest}
		if known := t.suspects[digest]; known.isRefused(now) {
			entry.RefusedFor = known.until.Sub(now)
		}
		listed.Entries = append(listed.Entries, entry)
	}
	return listed
}
