package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// faultsStart leaves time to elect leaders and fill the table.
	faultsStart = 6 * time.Second
	// minRecipes and maxRecipes bound the number of recipes of a seed.
	minRecipes = 5
	maxRecipes = 12
)

// faultPlanner plans the faults of a seed.
type faultPlanner struct {
	random *rand.Rand
	// end is when all faults have healed.
	end    time.Duration
	faults []Fault
}

// planTableFaults returns the faults of a seed: random recipes at random times.
func planTableFaults(random *rand.Rand) []Fault {
	p := &faultPlanner{random: random, end: faultsEnd}
	recipes := []func(at time.Duration){
		p.crash, p.crash, p.pause, p.pause, p.drift, p.cutZone, p.cutOneWay, p.cutMachine,
		p.silentLeader, p.silentLeader, p.replaceDisk, p.replaceTwice, p.replaceWhileCut,
		p.diskFull, p.diskSlow, p.storm, p.storm, p.engineCrash, p.engineCut, p.transfer, p.powerLoss,
		p.loadingDeath, p.slowStore, p.reclaim, p.restartSite, p.race, p.lostAnswers,
	}
	count := minRecipes + random.IntN(maxRecipes-minRecipes+1)
	for range count {
		at := p.between(faultsStart, faultsEnd-15*time.Second)
		recipes[random.IntN(len(recipes))](at)
	}
	return p.sorted()
}

func (p *faultPlanner) between(least, most time.Duration) time.Duration {
	return between(p.random, least, most)
}

// add adds a fault, limited to the end.
func (p *faultPlanner) add(fault Fault) {
	fault.At = max(fault.At, 0)
	fault.For = min(fault.For, p.end-fault.At)
	p.faults = append(p.faults, fault)
}

func (p *faultPlanner) zone() string {
	return string(simulatedZones[p.random.IntN(len(simulatedZones))])
}

// machines returns the control machines of a zone in random order.
func (p *faultPlanner) machines(zone string) []string {
	var names []string
	for _, i := range p.random.Perm(controllersPerZone) {
		names = append(names, fmt.Sprintf("%s/controller-%d", zone, i+1))
	}
	return names
}

func (p *faultPlanner) machine() string { return p.machines(p.zone())[0] }

func (p *faultPlanner) engine() string {
	zone := p.random.IntN(len(simulatedZones))
	return fmt.Sprintf("%s/engine-%d", simulatedZones[zone], 1+p.random.IntN(enginesPerZone[zone]))
}

func (p *faultPlanner) crash(at time.Duration) {
	p.add(Fault{Kind: FaultCrash, At: at, For: p.between(time.Second/2, 8*time.Second),
		Target: p.machine(), Amount: float64(1 + p.random.IntN(40))})
}

func (p *faultPlanner) pause(at time.Duration) {
	p.add(Fault{Kind: FaultPause, At: at, For: p.between(time.Second/2, 10*time.Second), Target: p.machine()})
}

func (p *faultPlanner) drift(at time.Duration) {
	p.add(Fault{Kind: FaultDrift, At: at, For: p.between(5*time.Second, 30*time.Second),
		Target: p.machine(), Amount: 0.96 + 0.08*p.random.Float64()})
	p.add(Fault{Kind: FaultClockStep, At: at, Target: p.machine(), Amount: 20*p.random.Float64() - 10})
}

func (p *faultPlanner) cutZone(at time.Duration) {
	p.add(Fault{Kind: FaultCutZone, At: at, For: p.between(2*time.Second, 20*time.Second), Target: p.zone()})
}

func (p *faultPlanner) cutOneWay(at time.Duration) {
	p.add(Fault{Kind: FaultCutOneWay, At: at, For: p.between(2*time.Second, 15*time.Second), Target: p.zone(), Peer: p.zone()})
}

func (p *faultPlanner) cutMachine(at time.Duration) {
	p.add(Fault{Kind: FaultCutMachine, At: at, For: p.between(time.Second, 12*time.Second), Target: p.machine()})
}

func (p *faultPlanner) silentLeader(at time.Duration) {
	p.add(Fault{Kind: FaultSilentLeader, At: at, For: p.between(4*time.Second, 15*time.Second),
		Target: p.zone(), Amount: 3 + 9*p.random.Float64()})
}

func (p *faultPlanner) replaceDisk(at time.Duration) {
	p.add(Fault{Kind: FaultReplaceDisk, At: at, For: p.between(time.Second/5, 4*time.Second), Target: p.machine()})
}

func (p *faultPlanner) replaceTwice(at time.Duration) {
	machines := p.machines(p.zone())
	p.add(Fault{Kind: FaultReplaceTwice, At: at, For: p.between(time.Second/5, 3*time.Second),
		Target: machines[0], Peer: machines[1]})
}

// replaceWhileCut lets one member fall behind and then replaces another one's disk
// while the third is unreachable, so that no quorum of complete copies remains for a
// while.
func (p *faultPlanner) replaceWhileCut(at time.Duration) {
	machines := p.machines(p.zone())
	behind := p.between(time.Second, 4*time.Second)
	p.add(Fault{Kind: FaultCutMachine, At: at - behind, For: behind, Target: machines[2]})
	p.add(Fault{Kind: FaultReplaceDisk, At: at, For: time.Second / 5, Target: machines[0]})
	p.add(Fault{Kind: FaultCutMachine, At: at, For: p.between(4*time.Second, 8*time.Second), Target: machines[1]})
}

// powerLoss crashes all control machines of a zone at once.
func (p *faultPlanner) powerLoss(at time.Duration) {
	zone := p.zone()
	for _, machine := range p.machines(zone) {
		p.add(Fault{Kind: FaultCrash, At: at, For: p.between(time.Second/2, 5*time.Second), Target: machine, Amount: 1})
	}
}

func (p *faultPlanner) diskFull(at time.Duration) {
	p.add(Fault{Kind: FaultDiskFull, At: at, For: p.between(time.Second, 6*time.Second), Target: p.machine()})
}

func (p *faultPlanner) diskSlow(at time.Duration) {
	p.add(Fault{Kind: FaultDiskSlow, At: at, For: p.between(2*time.Second, 12*time.Second),
		Target: p.machine(), Amount: 0.05 + 0.6*p.random.Float64()})
}

func (p *faultPlanner) storm(at time.Duration) {
	p.add(Fault{Kind: FaultStorm, At: at, For: p.between(2*time.Second, 15*time.Second), Amount: 0.02 + 0.2*p.random.Float64()})
}

func (p *faultPlanner) engineCrash(at time.Duration) {
	p.add(Fault{Kind: FaultEngineCrash, At: at, For: p.between(time.Second/2, 6*time.Second), Target: p.engine()})
}

func (p *faultPlanner) engineCut(at time.Duration) {
	p.add(Fault{Kind: FaultEngineCut, At: at, For: p.between(time.Second, 20*time.Second), Target: p.engine()})
}

func (p *faultPlanner) transfer(at time.Duration) {
	target := p.zone()
	if p.random.IntN(3) == 0 {
		target = string(globalGroup)
	}
	p.add(Fault{Kind: FaultTransfer, At: at, Target: target})
}
