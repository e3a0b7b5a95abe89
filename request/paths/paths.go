package paths

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// failureWindow is how long a failed connect counts, and suspicionFailures is the number of them that
	// raise doubts about the direct way. A single one is usually that of a runner that has ended.
	failureWindow     = 2 * time.Second
	suspicionFailures = 2
	// minDirectInterval is the time between two direct connects to a runner that is reached through peers. It
	// doubles up to maxDirectInterval. confirmInterval separates the directConfirms successful ones in a
	// row that bring the direct way back.
	minDirectInterval = 250 * time.Millisecond
	maxDirectInterval = time.Second
	confirmInterval   = 60 * time.Millisecond
	directConfirms    = 2
	// maxDirectProbes bounds the direct connects under way.
	maxDirectProbes = 8
	// unusedTime is how long a runner without requests keeps its way through peers.
	unusedTime = 10 * time.Second
)

// Path is a way to a runner.
type Path struct {
	// Peer is the address of the peer; empty for the direct way.
	Peer string
}

// IsDirect reports whether the path is the direct way.
func (p Path) IsDirect() bool { return p.Peer == "" }

// Probe asks the caller to connect to a runner and to pass the outcome to Paths.Probed.
type Probe struct {
	Runner structs.RunnerID
	Path   Path
	// runnerZone is the zone of the runner, and zone is the same if the probe is for the whole zone. number
	// identifies the question.
	runnerZone structs.ZoneID
	zone       structs.ZoneID
	number     uint64
}

// Outcome is the result of a Probe or of a send through a peer.
type Outcome uint8

// Outcomes.
const (
	// OutcomeReached means that the runner accepted the connection.
	OutcomeReached Outcome = iota + 1
	// OutcomeMissed means that the runner was not reached, directly or by the peer.
	OutcomeMissed
	// OutcomePeerFailed means that the peer was not reached or accepted nothing.
	OutcomePeerFailed
	// OutcomeUnknown means that nothing was learned.
	OutcomeUnknown
)

// Change reports that runners are reached in another way. Exactly one of Zone and Runner is set.
type Change struct {
	Zone   structs.ZoneID
	Runner structs.RunnerID
	// IsThroughPeers is set if they are reached through peers from now on. Otherwise a zone is lost, and a runner
	// is reached directly again.
	IsThroughPeers bool
	// Peer is the address of the peer that reached them; empty for the direct way.
	Peer string
	// After is the time since the direct way was lost.
	After time.Duration
}

// Runners lists the runners of a router. Package zonewatch implements it.
type Runners interface {
	Zones() []structs.ZoneID
	RunnersOf(zone structs.ZoneID) []structs.RunnerID
}

// Paths holds the ways to the runners of one router. Create one with New.
type Paths struct {
	random    *rand.Rand
	listed    Runners
	peers     []*peer
	byAddress map[string]*peer
	// zones are those of which the direct way is lost.
	zones map[structs.ZoneID]*lostZone
	// runners are those of other zones of which the direct way is lost or doubted.
	runners  map[structs.RunnerID]*lostRunner
	failures []failure
	// checked are the runners that were doubted since several were found lost; nil while that is not so.
	checked map[structs.RunnerID]bool
	// directProbes counts those under way.
	directProbes int
	lastNumber   uint64
}

// failure is a failed direct connect.
type failure struct {
	at     time.Time
	runner structs.RunnerID
	zone   structs.ZoneID
}

// New returns a Paths without peers that takes all listed runners to be reached directly.
func New(random *rand.Rand, listed Runners) *Paths {
	return &Paths{
		random: random, listed: listed, byAddress: make(map[string]*peer),
		zones: make(map[structs.ZoneID]*lostZone), runners: make(map[structs.RunnerID]*lostRunner),
	}
}

// Wish limits the peers of a request.
type Wish struct {
	// Zones are the zones of peers that may pass the request on; nil for all.
	Zones map[structs.ZoneID]bool
	// Avoid is the address of a peer that is used only if there is no other; empty for none.
	Avoid string
}

// Choose returns the way to a runner. If no peer may reach it, the direct way is returned. Each choice must be passed
// to Began and Ended.
func (p *Paths) Choose(now time.Time, runner structs.RunnerID, zone structs.ZoneID, wish Wish) Path {
	isLost := false
	if lost := p.zones[zone]; lost != nil {
		isLost = lost.isThroughPeers
	} else if lost := p.runners[runner]; lost != nil {
		lost.usedAt = now
		isLost = lost.isThroughPeers
	}
	if !isLost {
		return Path{}
	}
	chosen := p.choosePeer(now, runner, zone, wish)
	if chosen == nil && wish.Avoid != "" {
		wish.Avoid = ""
		chosen = p.choosePeer(now, runner, zone, wish)
	}
	if chosen == nil {
		return Path{}
	}
	return Path{Peer: chosen.Address}
}

// Began records that a request is sent over a path.
func (p *Paths) Began(now time.Time, path Path) {
	if known := p.byAddress[path.Peer]; known != nil {
		known.inUse++
		known.usedAt = now
	}
}

// Ended records the end of a request that was passed to Began.
func (p *Paths) Ended(now time.Time, path Path) {
	if known := p.byAddress[path.Peer]; known != nil && known.inUse > 0 {
		known.inUse--
		known.usedAt = now
	}
}

// ConnectFailed records a failed direct connect to a runner, or a direct connection that broke before any answer, and
// returns the probes to make.
func (p *Paths) ConnectFailed(now time.Time, runner structs.RunnerID, zone structs.ZoneID) []Probe {
	p.failures = slices.DeleteFunc(p.failures, func(each failure) bool { return now.Sub(each.at) >= failureWindow })
	if len(p.failures) < maxFailures {
		p.failures = append(p.failures, failure{now, runner, zone})
	}
	if len(p.failures) < suspicionFailures {
		return nil
	}
	var probes []Probe
	for _, each := range p.failures {
		if p.zones[each.zone] == nil {
			probes = append(probes, p.doubt(now, each)...)
		}
	}
	return probes
}

// maxFailures bounds the failures that are kept.
const maxFailures = 32

// HasLost reports whether the direct way to a zone, or to a runner that a peer reaches, is lost.
func (p *Paths) HasLost() bool {
	if len(p.zones) > 0 {
		return true
	}
	for _, each := range p.runners {
		if each.isThroughPeers {
			return true
		}
	}
	return false
}

// IsIdle reports whether Step has nothing to do.
func (p *Paths) IsIdle() bool { return len(p.zones) == 0 && len(p.runners) == 0 }

// IsLost reports whether the direct way to a runner is lost.
func (p *Paths) IsLost(runner structs.RunnerID, zone structs.ZoneID) bool {
	lost := p.runners[runner]
	return p.zones[zone] != nil || lost != nil && lost.isThroughPeers
}

// Step returns the probes that are due, and the zones for which no peer is left.
func (p *Paths) Step(now time.Time) ([]Change, []Probe) {
	var changes []Change
	var probes []Probe
	for _, id := range sortedKeys(p.zones) {
		changed, due := p.stepZone(now, id)
		changes, probes = append(changes, changed...), append(probes, due...)
	}
	for _, id := range sortedKeys(p.runners) {
		probes = append(probes, p.stepRunner(now, id)...)
	}
	return changes, append(probes, p.doubtOthers(now)...)
}

// Probed records the outcome of a probe and returns the ways that changed.
func (p *Paths) Probed(now time.Time, probe Probe, outcome Outcome) []Change {
	if probe.Path.IsDirect() {
		p.directProbes--
		return p.probedDirectly(now, probe, outcome)
	}
	p.Sent(now, probe.Path, probe.Runner, probe.runnerZone, outcome)
	if probe.zone != "" {
		return p.probedZone(now, probe, outcome)
	}
	return p.probedRunner(now, probe, outcome)
}

// Sent records whether a runner of the zone was reached through a peer.
func (p *Paths) Sent(now time.Time, path Path, runner structs.RunnerID, zone structs.ZoneID, outcome Outcome) {
	known := p.byAddress[path.Peer]
	if known == nil {
		return
	}
	switch outcome {
	case OutcomeReached:
		known.worked(runner, zone)
	case OutcomeMissed:
		known.missedRunner(now, runner)
	case OutcomePeerFailed:
		known.failed(now)
	}
}

func sortedKeys[K ~string, V any](of map[K]V) []K {
	keys := make([]K, 0, len(of))
	for key := range of {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// String returns the outcome as shown in metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeReached:
		return "reached"
	case OutcomeMissed:
		return "missed"
	case OutcomePeerFailed:
		return "peer_failed"
	}
	return "unknown"
}
