package hollow

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// An ordinary day of the size designed for.
const (
	failuresPerDay = 120
	restartsPerDay = 1_700
)

const (
	// downTime is how long a failed machine stays down, restartTime a restarted one.
	downTime    = 10 * time.Second
	restartTime = time.Second
	// drainLimit bounds the drain before a planned restart.
	drainLimit = 30 * time.Second
	drainPoll  = 200 * time.Millisecond
	// rackRunners and rackRouters are what one rack holds, or a smaller site's eighth.
	rackRunners = 36
	rackRouters = 3
	rackPart    = 8
)

// FaultEvent is a fault that the run brought about.
type FaultEvent struct {
	Kind   string  `json:"kind"`
	Target string  `json:"target"`
	At     float64 `json:"at_seconds"`
	For    float64 `json:"for_seconds"`
}

// planFaults schedules the faults of a run under load that begins now.
func (s *site) planFaults() []FaultEvent {
	length := s.options.Duration
	plan := &faultPlan{site: s, start: s.clock.now, length: length}
	day := length.Seconds() / (24 * time.Hour).Seconds()
	for index := range max(1, int(failuresPerDay*day+0.5)) {
		zone := s.zones[(index*7+3)%len(s.zones)]
		node := zone.runners[zone.random.IntN(len(zone.runners))]
		plan.add(zone, "runner failed", string(node.id), 0.10, downTime, func() { zone.failRunner(node) })
	}
	for index := range max(2, int(restartsPerDay*day+0.5)) {
		zone := s.zones[(index*5+2)%len(s.zones)]
		if index%2 == 1 {
			node := zone.routers[len(zone.routers)-1]
			plan.add(zone, "router restarted", string(node.owner.id), 0.15, restartTime, func() { zone.restartRouter(node) })
			continue
		}
		node := zone.runners[zone.random.IntN(len(zone.runners))]
		plan.add(zone, "runner restarted", string(node.id), 0.15, restartTime, func() { zone.restartRunner(node) })
	}
	plan.cut("zone cut off", string(s.zones[1].id), s.zones[1:2], 0.30, length/5)
	control := s.zones[len(s.zones)-1]
	plan.add(control, "control machine failed", string(control.voters[0].id), 0.55, downTime, func() { control.failProcess(control.voters[0], downTime) })
	rack := s.zones[len(s.zones)/2]
	plan.add(rack, "rack lost", string(rack.id), 0.65, length, rack.loseRack)
	// A region that holds a voter of the global group, but not the operator.
	last := s.globals[len(s.globals)-1].zone.region
	var region []*zoneSite
	for _, zone := range s.zones {
		if zone.region == last {
			region = append(region, zone)
		}
	}
	if len(region) < len(s.zones) {
		plan.cut("region cut off", fmt.Sprintf("region-%d", last), region, 0.75, length/5)
	}
	return plan.events
}

type faultPlan struct {
	site   *site
	start  int64
	length time.Duration
	events []FaultEvent
}

func (p *faultPlan) add(zone *zoneSite, kind, target string, part float64, lasts time.Duration, run func()) {
	after := time.Duration(part * float64(p.length))
	p.events = append(p.events, FaultEvent{kind, target, after.Seconds(), lasts.Seconds()})
	zone.at(p.start+int64(after), run)
}

// cut cuts zones off from all others.
func (p *faultPlan) cut(kind, target string, zones []*zoneSite, part float64, lasts time.Duration) {
	p.add(zones[0], kind, target, part, lasts, func() {})
	from := p.start + int64(part*float64(p.length))
	p.site.cuts = append(p.site.cuts, zoneCut{zones: zones, from: from, to: from + int64(lasts)})
}

// failRunner kills an engine; its machine comes back empty.
func (z *zoneSite) failRunner(node *runnerNode) {
	node.crash()
	z.after(downTime, node.restart)
}

// restartRunner takes a runner out in a planned way and brings it back.
func (z *zoneSite) restartRunner(node *runnerNode) {
	z.box.machines.Leave(z.time(), node.id)
	deadline := z.now + int64(drainLimit)
	var wait func()
	wait = func() {
		report, alive := node.report()
		if alive && len(report.Replicas) > 0 && z.now < deadline {
			z.after(drainPoll, wait)
			return
		}
		node.restart()
		z.box.machines.Put(z.time(), node.machine(structs.MachineLive))
	}
	z.after(drainPoll, wait)
}

// restartRouter drains a router and starts it anew.
func (z *zoneSite) restartRouter(node *routerNode) {
	node.draining = true
	node.step(router.DrainStarted{})
	deadline := z.now + int64(drainLimit)
	var wait func()
	wait = func() {
		if !node.core.Idle() && z.now < deadline {
			z.after(drainPoll, wait)
			return
		}
		z.failProcess(node.owner, restartTime)
	}
	z.after(drainPoll, wait)
}

// failProcess kills a daemon and starts it again after some time. Its disk stays.
func (z *zoneSite) failProcess(failed *process, down time.Duration) {
	z.killProcess(failed)
	z.after(down, func() {
		failed.alive = true
		if failed.member != nil {
			failed.member.restart()
		}
		if failed.global != nil {
			failed.global.table.state = table.New()
			failed.global.parked = nil
			failed.global.open()
		}
		if failed.router != nil {
			failed.router.open()
		}
	})
}

func (z *zoneSite) killProcess(killed *process) {
	killed.alive = false
	killed.life++
	node := killed.router
	if node == nil {
		return
	}
	records := slices.SortedFunc(maps.Values(node.requests), func(a, b *callRecord) int {
		return cmp.Compare(a.request.ID, b.request.ID)
	})
	for _, record := range records {
		record.end(z, outcomeCut, nil)
	}
	node.requests = map[structs.RequestID]*callRecord{}
	for _, runner := range z.runners {
		runner.disconnect(node)
	}
}

// loseRack kills the runners and routers of one rack for good. The platform's
// list drops the machines.
func (z *zoneSite) loseRack() {
	for _, node := range z.runners[:min(rackRunners, len(z.runners)/rackPart)] {
		node.crash()
		z.box.machines.Remove(z.time(), node.id)
	}
	plain := z.routers[z.site.options.ZoneVoters:]
	for _, node := range plain[:min(rackRouters, len(plain)/rackPart)] {
		z.killProcess(node.owner)
	}
}
