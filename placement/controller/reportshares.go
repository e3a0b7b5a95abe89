package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// MinSharedRunners is the number of runners from which on a zone's routers read the
	// engine reports; for fewer the leader reads them itself.
	MinSharedRunners = 32
	// routerLiveIntervals is for how many report intervals after its last message a router
	// counts as live, and relayValidIntervals for how many that message is valid.
	routerLiveIntervals = 6
	relayValidIntervals = 3
)

// ReportShares distributes the reading of engine reports over the zone's live routers by
// rendezvous hashing, and keeps what they relay to the leader. It is not safe for
// concurrent use.
type ReportShares struct {
	epoch    structs.Epoch
	interval time.Duration
	minimum  int
	routers  map[structs.DaemonID]*routerShare
	// assigned maps each live router to its share of the machines.
	assigned map[structs.DaemonID][]structs.ShareRunner
	machines []structs.Machine
	live     []structs.DaemonID
}

// routerShare is the state of one router that reads reports.
type routerShare struct {
	lastMessageAt time.Time
	// readAt is when the oldest report covered by its last message was requested.
	readAt  time.Time
	version uint64
	share   []structs.ShareRunner
	silent  map[structs.RunnerID]bool
	relayed map[structs.RunnerID]relayedDigest
}

// relayedDigest is the digest of a report that a router relayed.
type relayedDigest struct {
	digest uint64
	// checked is set once the leader has read the report itself because of the digest.
	checked bool
}

// NewReportShares returns the shares of one leader term. Reports are read at the interval;
// zones with fewer machines than the minimum have no shares.
func NewReportShares(epoch structs.Epoch, interval time.Duration, minimum int) *ReportShares {
	return &ReportShares{epoch: epoch, interval: interval, minimum: minimum, routers: map[structs.DaemonID]*routerShare{}}
}

// IsForEpoch reports whether the shares belong to the epoch.
func (s *ReportShares) IsForEpoch(epoch structs.Epoch) bool { return s.epoch == epoch }

// HandleMessage records a router's message, and returns the share that the router is to read from
// now on, or nil if it has that share already.
func (s *ReportShares) HandleMessage(now time.Time, message structs.ReportRelay, machines []structs.Machine) *structs.ReportShare {
	router := s.routers[message.Daemon]
	if router == nil {
		router = &routerShare{}
		s.routers[message.Daemon] = router
	}
	router.lastMessageAt = now
	current := message.Epoch == s.epoch && message.Version == router.version
	if current {
		router.applyMessage(now, message)
	}
	s.assign(now, machines)
	share := s.assigned[message.Daemon]
	if current && slices.Equal(router.share, share) {
		return nil
	}
	router.version++
	router.share = share
	router.silent = nil
	router.relayed = map[structs.RunnerID]relayedDigest{}
	return &structs.ReportShare{Epoch: s.epoch, Version: router.version, Runners: share}
}

func (r *routerShare) applyMessage(now time.Time, message structs.ReportRelay) {
	r.readAt = now.Add(-message.OldestAge)
	r.silent = make(map[structs.RunnerID]bool, len(message.Silent))
	for _, runner := range message.Silent {
		r.silent[runner] = true
	}
	for _, changed := range message.Changed {
		checked := r.relayed[changed.Runner].checked && r.relayed[changed.Runner].digest == changed.Digest
		r.relayed[changed.Runner] = relayedDigest{changed.Digest, checked}
	}
}

// assign distributes the machines over the live routers if either have changed.
func (s *ReportShares) assign(now time.Time, machines []structs.Machine) {
	for daemon, router := range s.routers {
		if now.Sub(router.lastMessageAt) > routerLiveIntervals*s.interval {
			delete(s.routers, daemon)
		}
	}
	live := slices.Sorted(maps.Keys(s.routers))
	if slices.Equal(live, s.live) && slices.Equal(machines, s.machines) {
		return
	}
	s.live = live
	s.machines = slices.Clone(machines)
	s.assigned = map[structs.DaemonID][]structs.ShareRunner{}
	if len(machines) < s.minimum {
		return
	}
	for _, machine := range machines {
		daemon := assignedRouter(machine.Runner, live)
		s.assigned[daemon] = append(s.assigned[daemon], structs.ShareRunner{Runner: machine.Runner, Address: machine.Address})
	}
}

// assignedRouter returns the router with the highest hash of router and runner, which
// reassigns few runners when a router joins or leaves.
func assignedRouter(runner structs.RunnerID, live []structs.DaemonID) structs.DaemonID {
	var best structs.DaemonID
	var highest uint64
	for _, daemon := range live {
		hash := xxhash.Sum64String(string(daemon) + "\x00" + string(runner))
		if best == "" || hash > highest {
			best = daemon
			highest = hash
		}
	}
	return best
}

// Relayed returns, for the runners whose relayed digests equal those of the leader's own
// reads, when a router last read their reports.
func (s *ReportShares) Relayed(now time.Time, digests map[structs.RunnerID]uint64) map[structs.RunnerID]time.Time {
	relayed := make(map[structs.RunnerID]time.Time, len(digests))
	for _, router := range s.routers {
		if now.Sub(router.lastMessageAt) > relayValidIntervals*s.interval {
			continue
		}
		for _, runner := range router.share {
			said, known := router.relayed[runner.Runner]
			digest, read := digests[runner.Runner]
			if known && read && said.digest == digest && !router.silent[runner.Runner] {
				relayed[runner.Runner] = router.readAt
			}
		}
	}
	return relayed
}

// Suspects returns the runners whose reports, according to a router, changed since the
// leader read them. The leader reads each once per relayed change.
func (s *ReportShares) Suspects(digests map[structs.RunnerID]uint64) []structs.RunnerID {
	var suspects []structs.RunnerID
	for _, router := range s.routers {
		for runner, said := range router.relayed {
			if digest, read := digests[runner]; !said.checked && read && said.digest != digest {
				suspects = append(suspects, runner)
			}
		}
	}
	slices.Sort(suspects)
	return suspects
}

// Checked records that the leader has read the runner's report itself.
func (s *ReportShares) Checked(runner structs.RunnerID) {
	for _, router := range s.routers {
		if said, known := router.relayed[runner]; known {
			said.checked = true
			router.relayed[runner] = said
		}
	}
}

// WithBusy returns the leader's own report with the request counts that a router relayed
// from one with the same digest. ReceivedAt is unchanged.
func WithBusy(seen ReportSeen, said structs.RelayedReport) ReportSeen {
	seen.Report = withBusy(seen.Report, said.Busy)
	return seen
}
