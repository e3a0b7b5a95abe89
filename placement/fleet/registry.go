package fleet

import (
	"slices"
	"strings"
	"time"
)

// Registry tracks the runners by their heartbeats. Create one with NewRegistry when leadership
// begins.
type Registry struct {
	timing    Timing
	startedAt time.Time
	runners   map[string]*record
	// sorted holds the records by instance, except for those added since the last call of sort. listed
	// is the buffer that Runners returns.
	sorted []*record
	added  []*record
	listed []Status
	// latest maps a runner ID to its latest known incarnation.
	latest map[string]string
	// addresses maps an address to the records there.
	addresses map[string][]*record
}

type record struct {
	instance  string
	heartbeat Heartbeat
	heardAt   time.Time
	leaving   bool
	gone      bool
	// isSuperseded is set once a later incarnation of the runner is known.
	isSuperseded bool
	// displaced is set while another instance holds the address.
	displaced bool
	// recalled is set until the first heartbeat of a recalled runner.
	recalled bool
	endsAt   time.Time
	// coldUntil is the end of the cold period that the last heartbeat reported.
	coldUntil time.Time
	suspicion suspicion
}

// NewRegistry returns an empty registry of a leadership that begins now.
func NewRegistry(now time.Time, timing Timing) *Registry {
	return &Registry{
		timing: timing, startedAt: now, runners: make(map[string]*record), latest: make(map[string]string), addresses: make(map[string][]*record),
	}
}

// ObserveHeartbeat records a heartbeat. It reports false if a newer one is known or the runner has ended.
func (r *Registry) ObserveHeartbeat(now time.Time, heartbeat Heartbeat) bool {
	known := r.runners[heartbeat.Instance]
	if known == nil {
		if known = r.addIncarnation(now, heartbeat); known == nil {
			return false
		}
	} else if known.gone || known.isSuperseded || heartbeat.Sequence < known.heartbeat.Sequence {
		return false
	}
	r.setAddress(known, heartbeat.Address)
	if known.heartbeat.Sequence > 0 && heartbeat.Sequence > known.heartbeat.Sequence {
		known.suspicion.observeInterval(now.Sub(known.heardAt))
	}
	known.heartbeat = heartbeat
	known.heardAt = now
	known.recalled = false
	known.coldUntil = now.Add(heartbeat.ColdFor)
	r.resolveAddress(known)
	if heartbeat.Leaving {
		known.markLeaving(now, heartbeat.EndsIn)
	}
	return true
}

// Recall adds a runner that the previous leader knew. It is listed without models until its first
// heartbeat.
func (r *Registry) Recall(now time.Time, heartbeat Heartbeat) {
	if r.runners[heartbeat.Instance] != nil || !r.supersede(now, heartbeat.Instance) {
		return
	}
	recalled := &record{heardAt: now, recalled: true}
	r.add(heartbeat.Instance, recalled)
	r.setAddress(recalled, heartbeat.Address)
	recalled.heartbeat = heartbeat
}

// add stores a record under an instance.
func (r *Registry) add(instance string, added *record) {
	added.instance = instance
	r.runners[instance] = added
	r.added = append(r.added, added)
}

// sort merges the added records into the sorted ones.
func (r *Registry) sort() {
	if len(r.added) == 0 {
		return
	}
	slices.SortFunc(r.added, func(a, b *record) int { return strings.Compare(a.instance, b.instance) })
	// The merge goes backwards, so that no record is overwritten before it has moved.
	from, to := len(r.sorted)-1, len(r.sorted)+len(r.added)-1
	r.sorted = append(r.sorted, r.added...)
	for i := len(r.added) - 1; i >= 0; to-- {
		if from >= 0 && r.sorted[from].instance > r.added[i].instance {
			r.sorted[to] = r.sorted[from]
			from--
			continue
		}
		r.sorted[to] = r.added[i]
		i--
	}
	clear(r.added)
	r.added = r.added[:0]
}

// setAddress moves the record from the address of its last heartbeat to the new one.
func (r *Registry) setAddress(known *record, address string) {
	former := known.heartbeat.Address
	if former == address {
		return
	}
	r.removeFromAddress(known)
	r.addresses[address] = append(r.addresses[address], known)
}

func (r *Registry) removeFromAddress(known *record) {
	former := known.heartbeat.Address
	left := slices.DeleteFunc(r.addresses[former], func(other *record) bool { return other == known })
	r.addresses[former] = left
	if len(left) == 0 {
		delete(r.addresses, former)
	}
}

// Silent returns the sorted instances that have been silent for longer than limit.
func (r *Registry) Silent(now time.Time, limit time.Duration) []string {
	var silent []string
	r.sort()
	for _, known := range r.sorted {
		if now.Sub(known.heardAt) > limit {
			silent = append(silent, known.instance)
		}
	}
	return silent
}

// resolveAddress decides which instance holds the address of a record: the record itself, unless
// another instance there was started later, in which case the heartbeat was late. If start times
// are unknown, the last heartbeat wins.
func (r *Registry) resolveAddress(known *record) {
	owner := known
	_, latest := SplitIncarnation(known.heartbeat.Instance)
	for _, other := range r.addresses[known.heartbeat.Address] {
		_, startTime := SplitIncarnation(other.heartbeat.Instance)
		if latest > 0 && startTime > latest && !other.hasEnded() {
			owner, latest = other, startTime
		}
	}
	for _, other := range r.addresses[known.heartbeat.Address] {
		other.displaced = other != owner
	}
}

func (r *record) markLeaving(now time.Time, endsIn time.Duration) {
	r.leaving = true
	if endsIn > 0 && r.endsAt.IsZero() {
		r.endsAt = now.Add(endsIn)
	}
}

// Depart marks an instance as leaving, or gone, regardless of its heartbeats.
func (r *Registry) Depart(now time.Time, instance string, gone bool) {
	known := r.runners[instance]
	if known == nil {
		known = &record{heartbeat: Heartbeat{Instance: instance}, heardAt: now}
		known.isSuperseded = !r.supersede(now, instance)
		r.add(instance, known)
	}
	known.markLeaving(now, 0)
	if gone && !known.gone {
		known.gone = true
		known.heardAt = now
	}
}

// Sequence returns the sequence of the newest heartbeat of an instance, or 0 before the first.
func (r *Registry) Sequence(instance string) uint64 {
	if known := r.runners[instance]; known != nil {
		return known.heartbeat.Sequence
	}
	return 0
}

// Service returns the service of an instance, or "" if it is unknown.
func (r *Registry) Service(instance string) string {
	if known := r.runners[instance]; known != nil {
		return known.heartbeat.Service
	}
	return ""
}

// Slots returns the number of slots that an instance reported; 0 if it is unknown.
func (r *Registry) Slots(instance string) int {
	if known := r.runners[instance]; known != nil {
		return known.heartbeat.Slots
	}
	return 0
}

// IsLeaving reports whether an instance is leaving or gone.
func (r *Registry) IsLeaving(instance string) bool {
	known := r.runners[instance]
	return known != nil && (known.leaving || known.gone)
}

// Expire deletes records without any message for longer than tombstoneTTL.
func (r *Registry) Expire(now time.Time) {
	r.sort()
	r.sorted = slices.DeleteFunc(r.sorted, func(known *record) bool {
		if now.Sub(known.heardAt) <= tombstoneTTL {
			return false
		}
		delete(r.runners, known.instance)
		r.removeFromAddress(known)
		if id := IDOf(known.instance); r.latest[id] == known.instance {
			delete(r.latest, id)
		}
		return true
	})
}

// Status is the state of one runner.
type Status struct {
	Heartbeat Heartbeat
	Leaving   bool
	// Drained runners are in a zone that an operator has drained. They keep running and may get
	// requests again.
	Drained bool
	// Cold runners can take only few requests a second, for the time ColdFor; 0 if it is unknown.
	Cold    bool
	ColdFor time.Duration
	// Limit is the rate limit that the runner sets, in requests per second over all routers; 0 for
	// none.
	Limit float64
	// Brittle is how many rejections in a second the runners of the service bear; 0 unless they are brittle.
	Brittle float64
	// EndsAt is when a runner that leaves at short notice ends; zero if unknown.
	EndsAt time.Time
	// Recalled runners have not sent a heartbeat since leadership began.
	Recalled bool
	// Lost runners have been unreachable for several routers since their last heartbeat. UnreachableReports
	// is the number of these routers, Silent the time since the heartbeat.
	Lost               bool
	UnreachableReports int
	Silent             time.Duration
}

// MayServe reports whether the runner may get new requests and commands.
func (s *Status) MayServe() bool { return !s.Leaving && !s.Lost && !s.Drained }

// Runners returns the runners that are neither gone nor silent, sorted by instance. The slice is
// valid until the next call.
func (r *Registry) Runners(now time.Time) []Status {
	r.sort()
	r.listed = r.listed[:0]
	silentZones := r.silentZones(now)
	for _, known := range r.sorted {
		if known.hasEnded() || known.displaced || known.heartbeat.Address == "" || now.Sub(known.heardAt) > r.timing.SilenceLimit() {
			continue
		}
		if !known.endsAt.IsZero() && now.After(known.endsAt.Add(time.Second)) {
			continue
		}
		silent := now.Sub(known.heardAt)
		r.listed = append(r.listed, Status{
			Heartbeat: known.heartbeat, Leaving: known.leaving, EndsAt: known.endsAt, Cold: now.Before(known.coldUntil),
			ColdFor:  max(0, known.coldUntil.Sub(now)),
			Recalled: known.recalled, Lost: known.suspicion.isLost(silent, silentZones[known.heartbeat.Zone]),
			UnreachableReports: len(known.suspicion.reporters), Silent: silent,
		})
	}
	return r.listed
}

// Gone returns the sorted instances that have ended, and leaving ones without a known address.
func (r *Registry) Gone() []string {
	var gone []string
	r.sort()
	for _, known := range r.sorted {
		if known.hasEnded() || known.leaving && known.heartbeat.Address == "" {
			gone = append(gone, known.instance)
		}
	}
	gone = appendIDs(gone, func(id string) bool {
		known := r.runners[r.latest[id]]
		return known != nil && !known.hasEnded()
	})
	slices.Sort(gone)
	return gone
}

// Complete reports whether every live runner has had the time to send a heartbeat to this leader.
func (r *Registry) Complete(now time.Time) bool {
	return now.Sub(r.startedAt) > r.timing.LearningPeriod()
}
