package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// MinimumSharedRunners is from how many runners on a zone's reports are read by
	// its routers; a leader reads the reports of fewer itself.
	MinimumSharedRunners = 32
	// routerIntervals is for how many report intervals a router counts as live after
	// its last message, and relayIntervals for how many that message holds.
	routerIntervals = 6
	relayIntervals  = 3
)

// ReportShares is a leader's part in the reading of engine reports by the zone's
// routers: it assigns each runner to one live router, by rendezvous hashing, and keeps
// what the routers say. It is not safe for concurrent use.
type ReportShares struct {
	epoch    structs.Epoch
	interval time.Duration
	minimum  int
	routers  map[structs.DaemonID]*sharingRouter
	// assigned is the assignment of the machines to the live routers.
	assigned map[structs.DaemonID][]structs.ShareRunner
	machines []structs.Machine
	live     []structs.DaemonID
}

// sharingRouter is a router that reads reports.
type sharingRouter struct {
	heardAt time.Time
	// readAt is when the oldest of the reports that its last message is about was
	// asked for.
	readAt  time.Time
	version uint64
	share   []structs.ShareRunner
	silent  map[structs.RunnerID]bool
	said    map[structs.RunnerID]saidReport
}

// saidReport is what a router said of a report.
type saidReport struct {
	digest uint64
	// checked is set once the leader read the report itself because of it.
	checked bool
}

// NewReportShares makes the shares of one term of leading. Reports are read at the
// interval; a zone with fewer machines than the minimum has no shares.
func NewReportShares(epoch structs.Epoch, interval time.Duration, minimum int) *ReportShares {
	return &ReportShares{epoch: epoch, interval: interval, minimum: minimum, routers: map[structs.DaemonID]*sharingRouter{}}
}

// LedIn reports whether the shares are of the epoch.
func (s *ReportShares) LedIn(epoch structs.Epoch) bool { return s.epoch == epoch }

// Take takes a router's message, and returns the share that the router is to read
// from now on, or nil when it has it already.
func (s *ReportShares) Take(now time.Time, message structs.ReportRelay, machines []structs.Machine) *structs.ReportShare {
	router := s.routers[message.Daemon]
	if router == nil {
		router = &sharingRouter{}
		s.routers[message.Daemon] = router
	}
	router.heardAt = now
	current := message.Epoch == s.epoch && message.Version == router.version
	if current {
		router.take(now, message)
	}
	s.assign(now, machines)
	share := s.assigned[message.Daemon]
	if current && slices.Equal(router.share, share) {
		return nil
	}
	router.version++
	router.share = share
	router.silent = nil
	router.said = map[structs.RunnerID]saidReport{}
	return &structs.ReportShare{Epoch: s.epoch, Version: router.version, Runners: share}
}

func (r *sharingRouter) take(now time.Time, message structs.ReportRelay) {
	r.readAt = now.Add(-message.OldestAge)
	r.silent = make(map[structs.RunnerID]bool, len(message.Silent))
	for _, runner := range message.Silent {
		r.silent[runner] = true
	}
	for _, changed := range message.Changed {
		checked := r.said[changed.Runner].checked && r.said[changed.Runner].digest == changed.Digest
		r.said[changed.Runner] = saidReport{changed.Digest, checked}
	}
}

// assign gives each machine to a live router when routers or machines have changed.
func (s *ReportShares) assign(now time.Time, machines []structs.Machine) {
	for daemon, router := range s.routers {
		if now.Sub(router.heardAt) > routerIntervals*s.interval {
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
		daemon := readerOf(machine.Runner, live)
		s.assigned[daemon] = append(s.assigned[daemon], structs.ShareRunner{Runner: machine.Runner, Address: machine.Address})
	}
}

// readerOf returns the router with the highest hash of router and runner, so that
// few runners change hands when a router comes or goes.
func readerOf(runner structs.RunnerID, live []structs.DaemonID) structs.DaemonID {
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

// Relayed returns when a router last read the reports that, by its word, are those
// with the digests: the ones that the leader read itself.
func (s *ReportShares) Relayed(now time.Time, digests map[structs.RunnerID]uint64) map[structs.RunnerID]time.Time {
	relayed := make(map[structs.RunnerID]time.Time, len(digests))
	for _, router := range s.routers {
		if now.Sub(router.heardAt) > relayIntervals*s.interval {
			continue
		}
		for _, runner := range router.share {
			said, known := router.said[runner.Runner]
			digest, read := digests[runner.Runner]
			if known && read && said.digest == digest && !router.silent[runner.Runner] {
				relayed[runner.Runner] = router.readAt
			}
		}
	}
	return relayed
}

// Suspects returns the runners whose reports changed by a router's word since the
// leader read them: it reads them again, once for each such word.
func (s *ReportShares) Suspects(digests map[structs.RunnerID]uint64) []structs.RunnerID {
	var suspects []structs.RunnerID
	for _, router := range s.routers {
		for runner, said := range router.said {
			if digest, read := digests[runner]; !said.checked && read && said.digest != digest {
				suspects = append(suspects, runner)
			}
		}
	}
	slices.Sort(suspects)
	return suspects
}

// Checked notes that the leader has read the runner's report itself.
func (s *ReportShares) Checked(runner structs.RunnerID) {
	for _, router := range s.routers {
		if said, known := router.said[runner]; known {
			said.checked = true
			router.said[runner] = said
		}
	}
}

// WithBusy returns the report that the leader read itself with the counts of requests
// that a router passed on of one with the same digest. The time of the reading stays.
func WithBusy(seen ReportSeen, said structs.RelayedReport) ReportSeen {
	seen.Report = withBusy(seen.Report, said.Busy)
	return seen
}
