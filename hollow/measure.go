package hollow

import (
	"runtime"
	"syscall"
	"time"
)

// The roles that bytes are reported for. A control machine that carries a member
// of the global group, a zone's first control machine and a router that fills up
// a zone's group cost other things than their likes.
const (
	roleGlobal     = "control machine with a global voter"
	roleControl    = "other control machine"
	roleVoter      = "router with a zone voter"
	rolePlain      = "router"
	roleEverything = "all daemons"
)

func (s *site) roleOf(p *process) string {
	switch {
	case p.global != nil:
		return roleGlobal
	case p.isControl:
		return roleControl
	case p.member != nil:
		return roleVoter
	}
	return rolePlain
}

// mark is the state of the counters at one moment.
type mark struct {
	at      int64
	traffic []meter
	cost    costs
	events  uint64
	cpu     time.Duration
	real    time.Time
}

func (s *site) mark() mark {
	taken := mark{at: s.clock.now, cpu: processTime(), real: time.Now()}
	for _, p := range s.processes {
		taken.traffic = append(taken.traffic, p.traffic)
	}
	for _, zone := range s.zones {
		taken.cost.add(zone.cost)
		taken.events += zone.events
	}
	return taken
}

// processTime is the processor time that this process has taken.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakResident is the largest memory that this process has held, in bytes.
func peakResident() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return usage.Maxrss << 10
}

// byteRates holds the rates of the daemons of one role.
type byteRates struct{ sent, received, both, withoutClaims []float64 }

// measureBytes reports the traffic between two marks.
func (s *site) measureBytes(from, to mark) (map[string]ByteReport, map[string]KindReport) {
	seconds := time.Duration(to.at - from.at).Seconds()
	rates := map[string]*byteRates{}
	kinds := map[string]KindReport{}
	for _, name := range trafficNames {
		kinds[name] = KindReport{ByRole: map[string]float64{}}
	}
	for index, p := range s.processes {
		var sent, received, claims float64
		role := s.roleOf(p)
		for kind := range trafficKinds {
			out := float64(to.traffic[index].sent[kind]-from.traffic[index].sent[kind]) / seconds
			in := float64(to.traffic[index].received[kind]-from.traffic[index].received[kind]) / seconds
			sent += out
			received += in
			if kind == trafficClaim {
				claims = out + in
			}
			report := kinds[trafficNames[kind]]
			report.Total += out
			report.ByRole[role] += out + in
			kinds[trafficNames[kind]] = report
		}
		for _, name := range []string{role, roleEverything} {
			if rates[name] == nil {
				rates[name] = &byteRates{}
			}
			rates[name].add(sent, received, claims)
		}
	}
	reports := map[string]ByteReport{}
	for role, rate := range rates {
		reports[role] = rate.report()
		for _, kind := range kinds {
			if _, present := kind.ByRole[role]; present {
				kind.ByRole[role] /= float64(len(rate.both))
			}
		}
	}
	return reports, kinds
}

func (r *byteRates) add(sent, received, claims float64) {
	r.sent = append(r.sent, sent)
	r.received = append(r.received, received)
	r.both = append(r.both, sent+received)
	r.withoutClaims = append(r.withoutClaims, sent+received-claims)
}

func (r *byteRates) report() ByteReport {
	return ByteReport{
		Daemons: len(r.both), Sent: distribution(r.sent), Received: distribution(r.received),
		Both: distribution(r.both), WithoutClaims: distribution(r.withoutClaims),
	}
}

// measureCost reports the cost of the parts between two marks.
func measureCost(from, to mark) map[string]PartReport {
	spent := to.cost.minus(from.cost)
	seconds := time.Duration(to.at - from.at).Seconds()
	report := map[string]PartReport{}
	for which := range partCount {
		part := PartReport{Calls: spent.calls[which], Seconds: spent.seconds(which)}
		part.PerVirtualSecond = part.Seconds / seconds
		if part.Calls > 0 {
			part.MicrosPerCall = part.Seconds / float64(part.Calls) * 1e6
		}
		report[partNames[which]] = part
	}
	return report
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// measureMemory takes the site apart, role by role, and reports what each release
// freed. What roles share counts for the last that held it.
func (s *site) measureMemory() MemoryReport {
	report := MemoryReport{HeapTotal: liveHeap(), ByRole: map[string]uint64{}, PeakResident: peakResident()}
	left := report.HeapTotal
	release := func(role string, drop func()) {
		drop()
		now := liveHeap()
		if now < left {
			report.ByRole[role] = left - now
		}
		left = now
	}
	release("queues of the simulation and caches of views", func() {
		for _, zone := range s.zones {
			zone.queue = nil
			for _, owner := range zone.voters {
				owner.member.views = nil
				owner.member.parked = nil
			}
		}
	})
	release("routers", func() {
		for _, zone := range s.zones {
			zone.routers = nil
			for _, p := range zone.processes {
				p.router = nil
			}
			for _, node := range zone.runners {
				node.calls = nil
			}
		}
	})
	release("engines with their records", func() {
		for _, zone := range s.zones {
			zone.runners, zone.byID = nil, nil
		}
	})
	release("zone members: logs and leaders", func() { s.eachMember(func(m *zoneMember) { m.node, m.disk, m.leader = nil, disk{}, nil }) })
	release("zone members: states", func() { s.eachMember(func(m *zoneMember) { m.machine.state = nil }) })
	release("global members", func() {
		for _, owner := range s.globals {
			owner.global = nil
		}
	})
	return report
}

func (s *site) eachMember(visit func(*zoneMember)) {
	for _, zone := range s.zones {
		for _, owner := range zone.voters {
			visit(owner.member)
		}
	}
}
