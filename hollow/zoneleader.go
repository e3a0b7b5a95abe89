package hollow

import (
	"slices"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// roundPause and followPause are those of the daemon: the least time between two
// rounds of decisions, and after a round that reserved memory.
const (
	roundPause  = 100 * time.Millisecond
	followPause = 25 * time.Millisecond
)

// zoneLeader carries out the decisions of controller.Core while its member leads,
// as the daemon's zone leader does.
type zoneLeader struct {
	member *zoneMember
	home   *zoneSite
	life   int
	core   *controller.Core
	// reports are the engines' newest reports.
	reports map[structs.RunnerID]controller.ReportSeen
	// listed is the zone's machine list as last read.
	listed   []structs.Machine
	machines engineapi.MachineReader
	schedule *controller.ReportSchedule
	// digests are those of the reports; shares is the routers' part in reading them.
	digests map[structs.RunnerID]uint64
	shares  *controller.ReportShares
	awaited map[structs.RunnerID]bool
	// reserved says that the last round reserved memory; the next one sends the
	// orders at once, unless it followed such a round itself.
	reserved bool
	// open counts the commands and orders of the last round without an answer.
	open      int
	decidedAt int64
	adopting  bool
	// nextGlobal is the member of the global group that is polled.
	nextGlobal int
	inForce    uint64
	reported   uint64
}

func newZoneLeader(member *zoneMember) *zoneLeader {
	return &zoneLeader{
		member:   member,
		home:     member.home,
		core:     controller.New(controller.Options{Zone: member.home.id}),
		reports:  map[structs.RunnerID]controller.ReportSeen{},
		schedule: controller.NewReportSchedule(),
		digests:  map[structs.RunnerID]uint64{},
		shares:   controller.NewReportShares(0, defaultTiming().ReportInterval, controller.MinimumSharedRunners),
	}
}

// start begins the loops of one life of the member's process.
func (l *zoneLeader) start() {
	l.life = l.member.owner.life
	timing := defaultTiming()
	l.every(timing.PlanInterval, l.decide)
	l.every(timing.ReportInterval, l.readReports)
	l.every(timing.MachineListInterval, l.readMachines)
	l.every(timing.TickInterval, l.adopt)
}

func (l *zoneLeader) running() bool {
	owner := l.member.owner
	return owner.alive && owner.life == l.life && l.member.leader == l
}

// every runs work at each interval while the member leads.
func (l *zoneLeader) every(interval time.Duration, work func()) {
	l.home.after(interval, func() {
		if !l.running() {
			return
		}
		if l.member.leads() {
			work()
		}
		l.every(interval, work)
	})
}

// wake makes a round soon: requests wait for a row without a replica, an engine's
// replicas changed, or memory was reserved.
func (l *zoneLeader) wake() {
	l.decideAt(max(l.home.now, l.decidedAt+int64(roundPause)))
}

func (l *zoneLeader) decideAt(when int64) {
	l.home.at(when, func() {
		if l.running() && l.member.leads() {
			l.decide()
		}
	})
}

// decide is one round: orders follow from what is applied, then commands are
// proposed. The next round begins once all of them are decided.
func (l *zoneLeader) decide() {
	now := l.home.now
	pause := roundPause
	if l.reserved {
		pause = followPause
	}
	if l.open > 0 || (l.decidedAt > 0 && now-l.decidedAt < int64(pause)) {
		return
	}
	l.decidedAt = now
	for _, report := range l.member.demand {
		l.core.ObserveDemand(l.home.time(), report)
	}
	l.member.demand = nil
	var decisions controller.Decisions
	relayed := l.shares.Relayed(l.home.time(), l.digests)
	l.member.cost().whole(partPlan, func() {
		decisions = l.core.Decide(controller.Input{
			Now:         l.home.time(),
			Epoch:       structs.Epoch(l.member.node.Term()),
			LeaseValid:  true,
			State:       l.member.machine.state,
			Reports:     l.reports,
			Relayed:     relayed,
			Machines:    l.listed,
			StoreBudget: l.home.box.storeBudget,
		})
	})
	for _, order := range decisions.Orders {
		l.sendOrder(order)
	}
	for _, command := range decisions.Commands {
		l.propose(command)
	}
	l.awaited = decisions.Awaited
	l.schedule.Await(decisions.Awaited)
	reserves := slices.ContainsFunc(decisions.Commands, func(command zone.Command) bool { return command.Reserve != nil })
	l.reserved = reserves && !l.reserved
	l.tellGlobal(decisions)
}

// close notes that one command or order of the round is decided.
func (l *zoneLeader) close() {
	l.open--
	if l.open == 0 && l.reserved {
		l.decideAt(max(l.home.now, l.decidedAt+int64(followPause)))
	}
}

func (l *zoneLeader) propose(command zone.Command) {
	encoded, err := zone.EncodeCommand(command)
	if err != nil {
		panic(err)
	}
	l.open++
	closed := false
	finish := func() {
		if !closed {
			closed = true
			l.close()
		}
	}
	// A command that a lost leadership leaves undecided ends by time.
	l.home.after(proposeTimeout, finish)
	l.member.propose(encoded, func(any, *structs.Error) { finish() })
}

// sendOrder sends an order to an engine over a virtual connection.
func (l *zoneLeader) sendOrder(order structs.Order) {
	target := l.home.byID[order.Runner]
	owner := l.member.owner
	owner.traffic.sent[trafficOrder] += int64(jsonBytes(order))
	l.open++
	l.home.after(delayInZone, func() {
		reply, answered := target.order(order)
		l.home.after(delayInZone, func() {
			l.close()
			if answered && l.running() {
				owner.traffic.received[trafficOrder] += int64(jsonBytes(reply))
				l.core.ObserveReply(order.Runner, reply)
			}
		})
	})
}

// readReports reads the reports that are due.
func (l *zoneLeader) readReports() {
	l.schedule.Relay(l.shares.Relayed(l.home.time(), l.digests))
	l.readThese(l.schedule.Due(l.listed))
}

func (l *zoneLeader) readThese(machines []structs.Machine) {
	moved := false
	for _, machine := range machines {
		moved = l.readReport(machine) || moved
	}
	if moved {
		l.wake()
	}
}

// takeRelay takes a router's word on its share of the reports, and reads what has
// changed.
func (l *zoneLeader) takeRelay(message structs.ReportRelay) *structs.ReportShare {
	if epoch := structs.Epoch(l.member.node.Term()); !l.shares.LedIn(epoch) {
		l.shares = controller.NewReportShares(epoch, defaultTiming().ReportInterval, controller.MinimumSharedRunners)
	}
	share := l.shares.Take(l.home.time(), message, l.listed)
	for _, said := range message.Changed {
		if seen, read := l.reports[said.Runner]; read && l.digests[said.Runner] == said.Digest && !l.awaited[said.Runner] {
			l.reports[said.Runner] = controller.WithBusy(seen, said)
		}
	}
	if suspects := l.shares.Suspects(l.digests); len(suspects) > 0 {
		l.schedule.Suspect(suspects)
		l.readThese(l.schedule.New(l.listed))
	}
	return share
}

// readReport reads one report and says whether the engine's replicas changed.
func (l *zoneLeader) readReport(machine structs.Machine) bool {
	owner := l.member.owner
	report, answered := l.home.byID[machine.Runner].report()
	l.schedule.Read(machine.Runner, answered)
	l.shares.Checked(machine.Runner)
	if !answered {
		return false
	}
	var bytes int
	l.member.cost().sample(partCodec, func() { bytes = jsonBytes(report) })
	owner.traffic.received[trafficReport] += int64(bytes)
	l.digests[machine.Runner] = controller.ReportDigest(report)
	before := l.reports[machine.Runner].Report
	l.reports[machine.Runner] = controller.ReportSeen{Report: report, ReceivedAt: l.home.time()}
	return !slices.EqualFunc(before.Replicas, report.Replicas, func(a, b structs.EngineReplica) bool {
		return a.Row == b.Row && a.State == b.State
	})
}

// readMachines reads what changed in the zone's part of the machine list.
func (l *zoneLeader) readMachines() {
	// What is no number is 0, which asks for all.
	since, _ := strconv.ParseUint(l.machines.Since(), 10, 64)
	changes, revision := l.home.box.machines.Changes(l.home.time(), "", since)
	changes.Version = strconv.FormatUint(revision, 10)
	l.member.owner.traffic.received[trafficMachines] += int64(jsonBytes(changes))
	l.listed = l.machines.Take(changes)
}

// adopt keeps one long poll open for the table's changes.
func (l *zoneLeader) adopt() {
	if l.adopting {
		return
	}
	l.adopting = true
	owner := l.member.owner
	since := l.member.machine.state.TableRevision()
	target := l.home.site.globals[l.nextGlobal%len(l.home.site.globals)]
	arguments := daemon.DeltaArguments{Zone: l.home.id, Since: since, Wait: pollWait}
	bytes := l.home.sizer.call(methodGlobalDelta, arguments)
	l.home.site.call(owner, target, trafficDelta, bytes, func(answer answerFunc) {
		target.global.poll(&deltaPoll{zone: l.home.id, since: since, answer: answer, then: l.adoptDelta})
	}, func() {
		l.adopting = false
		l.nextGlobal++
	})
}

func (l *zoneLeader) adoptDelta(delta structs.TableDelta) {
	if !l.running() || !l.member.leads() || delta.Revision <= l.member.machine.state.TableRevision() {
		l.adopting = false
		return
	}
	encoded, err := zone.EncodeCommand(zone.Command{Adopt: &delta})
	if err != nil {
		panic(err)
	}
	l.home.after(proposeTimeout, func() { l.adopting = false })
	l.member.propose(encoded, func(any, *structs.Error) {
		l.adopting = false
		if l.running() {
			l.adopt()
		}
	})
}

// tellGlobal sends what the global group should know of the zone.
func (l *zoneLeader) tellGlobal(decisions controller.Decisions) {
	site, owner := l.home.site, l.member.owner
	ignore := func(table.Result) {}
	for _, release := range decisions.Releases {
		site.proposeGlobal(owner, trafficGrant, table.Command{Release: &release}, ignore)
	}
	if len(decisions.Wishes) > 0 {
		wish := &table.WishCommand{Zone: l.home.id, Wishes: decisions.Wishes}
		site.proposeGlobal(owner, trafficGrant, table.Command{Wish: wish}, ignore)
	}
	l.inForce = max(l.inForce, decisions.InForce)
	if l.inForce > l.reported {
		l.reported = l.inForce
		command := table.Command{InForce: &table.InForceCommand{Zone: l.home.id, Revision: l.inForce}}
		site.proposeGlobal(owner, trafficGrant, command, ignore)
	}
}
