package simulate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// longCutDuration is the duration of the cut in the plan zone-cut.
	longCutDuration = 6 * time.Hour
	// cutLead leaves time to elect leaders and fill the table at longPace.
	cutLead = 10 * time.Minute
	// restartBehindOutage is the downtime of the machine in the plan restart-behind.
	restartBehindOutage = 80 * time.Second
	// planLead bounds the delay of the first plan.
	planLead = 5 * time.Second
	// repeatPause is the pause before a repeated plan.
	repeatPause = time.Second
)

// tablePlan is a fault plan of the table scenario.
type tablePlan struct {
	PlanInfo
	// span is the time from its first fault to the end of its last one.
	span time.Duration
	// isLong selects longPace.
	isLong bool
	// plan adds the faults, starting at the given time.
	plan func(p *faultPlanner, at time.Duration)
}

var tablePlans = []tablePlan{
	{PlanInfo{"calm", "Nothing fails: an accepted edit is in force in every zone within seconds."},
		30 * time.Second, false, func(*faultPlanner, time.Duration) {}},
	{PlanInfo{"loading-death", "An engine, and then a zone's leading controller, dies in the middle of a load."},
		20 * time.Second, false, (*faultPlanner).loadingDeath},
	{PlanInfo{"slow-store", "The weight store slows down to a tenth or less."},
		16 * time.Second, false, (*faultPlanner).slowStore},
	{PlanInfo{"reclaimed", "Machines are reclaimed at a few seconds' notice, the machine list lags, and others take their place."},
		26 * time.Second, false, (*faultPlanner).reclaim},
	{PlanInfo{"silent-leader", "A zone's leader is cut off without noticing, still believes that it leads, and its orders arrive late."},
		16 * time.Second, false, (*faultPlanner).silentLeader},
	{PlanInfo{"racing-edits", "Operators race edits of the same row that are made against the same revision."},
		12 * time.Second, false, (*faultPlanner).race},
	{PlanInfo{"resent-edits", "Operators lose most answers to their edits and resend them."},
		12 * time.Second, false, (*faultPlanner).lostAnswers},
	{PlanInfo{"second-loss", "A control machine loses its disk, and as soon as it is repaired a second one does."},
		24 * time.Second, false, (*faultPlanner).replaceTwice},
	{PlanInfo{"restart-behind", "A control machine is down while over 500 edits pass, and restarts."},
		restartBehindOutage + 8*time.Second, false, (*faultPlanner).restartBehind},
	{PlanInfo{"zone-cut", "A zone is cut off for six hours while hundreds of edits pass, serves alone, and rejoins within seconds."},
		cutLead + longCutDuration + 10*time.Minute, true, (*faultPlanner).cutForHours},
	{PlanInfo{"site-restart", "All machines of the site, controllers and engines, restart at once."},
		8 * time.Second, false, (*faultPlanner).restartSite},
	{PlanInfo{"replaced-disk", "A control machine's disk is replaced by an empty one."},
		8 * time.Second, false, (*faultPlanner).replaceDisk},
	{PlanInfo{"clock-steps", "Control machines' clocks drift and step back and forth."},
		32 * time.Second, false, (*faultPlanner).clockSteps},
	{PlanInfo{"lossy-network", "The network loses, doubles, delays and reorders messages."},
		16 * time.Second, false, (*faultPlanner).storm},
	{PlanInfo{"full-disk", "Disks of control machines are full, and others slow."},
		14 * time.Second, false, (*faultPlanner).fullDisks},
}

func tablePlanInfos() []PlanInfo {
	var infos []PlanInfo
	for _, known := range tablePlans {
		infos = append(infos, known.PlanInfo)
	}
	return infos
}

func findTablePlan(name string) tablePlan {
	return tablePlans[slices.IndexFunc(tablePlans, func(plan tablePlan) bool { return plan.Name == name })]
}

// timetable holds the planned faults and the timing of a table scenario run.
type timetable struct {
	faults []Fault
	// end is when all faults have healed and operators stop.
	end  time.Duration
	pace pace
	// serving enables callers; without it there is only simulated demand.
	serving bool
}

// planTable returns the timetable of a seed.
func planTable(plan seedPlan) timetable {
	random := rand.New(rand.NewPCG(plan.seed, faultStream))
	table := timetable{end: faultsEnd, pace: ordinaryPace}
	if len(plan.plans) == 0 {
		table.faults = planTableFaults(random)
	} else {
		table.follow(plan.plans, random)
	}
	if plan.faults != nil {
		table.faults = plan.faults
	}
	return table
}

// follow plans the named plans: one alone, the same one twice in sequence, or two of
// which the second starts during the first.
func (t *timetable) follow(names []string, random *rand.Rand) {
	p := &faultPlanner{random: random, end: faultsEnd}
	starts := []time.Duration{p.between(faultsStart, faultsStart+planLead)}
	first := findTablePlan(names[0])
	if len(names) == 2 {
		next := starts[0] + first.span + repeatPause
		if names[0] != names[1] {
			next = p.between(starts[0], starts[0]+first.span)
		}
		starts = append(starts, next)
	}
	t.end = 0
	for i, name := range names {
		t.end = max(t.end, starts[i]+findTablePlan(name).span)
	}
	p.end = t.end
	for i, name := range names {
		named := findTablePlan(name)
		named.plan(p, starts[i])
		if named.isLong {
			t.pace = longPace
		}
	}
	t.faults = p.sorted()
}

func (p *faultPlanner) sorted() []Fault {
	slices.SortStableFunc(p.faults, compareFaults)
	return p.faults
}

// compareFaults compares faults by time.
func compareFaults(a, b Fault) int { return cmp.Compare(a.At, b.At) }

func (p *faultPlanner) loadingDeath(at time.Duration) {
	p.add(Fault{Kind: FaultLoadingDeath, At: at, For: p.between(time.Second/2, 6*time.Second), Target: p.zone(), Peer: loadingEngine})
	p.add(Fault{Kind: FaultLoadingDeath, At: at + p.between(0, 10*time.Second), For: p.between(time.Second/2, 6*time.Second),
		Target: p.zone(), Peer: loadingLeader})
}

func (p *faultPlanner) slowStore(at time.Duration) {
	p.add(Fault{Kind: FaultStoreSlow, At: at, For: p.between(5*time.Second, 15*time.Second), Amount: 10 + 10*p.random.Float64()})
}

func (p *faultPlanner) reclaim(at time.Duration) {
	for range 1 + p.random.IntN(3) {
		p.add(Fault{Kind: FaultReclaim, At: at + p.between(0, 8*time.Second), For: p.between(8*time.Second, 16*time.Second),
			Target: p.engine(), Amount: 6 * p.random.Float64()})
	}
}

func (p *faultPlanner) race(at time.Duration) {
	p.add(Fault{Kind: FaultRace, At: at, For: 10 * time.Second})
}

func (p *faultPlanner) lostAnswers(at time.Duration) {
	p.add(Fault{Kind: FaultLostAnswers, At: at, For: 10 * time.Second, Amount: 0.5 + 0.4*p.random.Float64()})
}

// restartBehind crashes a machine during a burst of edits.
func (p *faultPlanner) restartBehind(at time.Duration) {
	p.add(Fault{Kind: FaultCrash, At: at, For: restartBehindOutage, Target: p.machine(), Amount: 1})
	p.add(Fault{Kind: FaultEditBurst, At: at + 2*time.Second, For: restartBehindOutage - 4*time.Second})
}

func (p *faultPlanner) cutForHours(at time.Duration) {
	p.add(Fault{Kind: FaultCutZone, At: at + cutLead, For: longCutDuration, Target: p.zone()})
}

func (p *faultPlanner) restartSite(at time.Duration) {
	p.add(Fault{Kind: FaultRestartSite, At: at, For: p.between(time.Second/2, 6*time.Second)})
}

func (p *faultPlanner) clockSteps(at time.Duration) {
	for range 4 {
		p.drift(at + p.between(0, 10*time.Second))
	}
}

func (p *faultPlanner) fullDisks(at time.Duration) {
	p.diskFull(at)
	p.diskSlow(at + p.between(0, 4*time.Second))
}
