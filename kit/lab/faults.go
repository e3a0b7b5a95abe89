package lab

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// FaultEvent is an injected fault in the report's timeline.
type FaultEvent struct {
	AtSeconds  float64 `json:"at_seconds"`
	ForSeconds float64 `json:"for_seconds"`
	Kind       string  `json:"kind"`
	Target     string  `json:"target"`
}

// FaultKind is a kind of fault of a fleet run.
type FaultKind struct {
	Name     string
	Sentence string
	// inject starts the fault, waits, ends it, and returns its target.
	inject func(*faultRun, context.Context) string
}

// Durations and strength of the faults.
const (
	downTime    = 2 * time.Second
	pauseTime   = 4 * time.Second
	cutTime     = 8 * time.Second
	engineFault = 5 * time.Second
	slowFactor  = 4
)

// FaultKinds returns the faults of a fleet run.
func FaultKinds() []FaultKind {
	return []FaultKind{
		{"daemon-kill", "A daemon is killed and restarted.", (*faultRun).killDaemon},
		{"daemon-pause", "A daemon is suspended and resumes with stale state.", (*faultRun).pauseDaemon},
		{"daemon-stop", "A daemon makes a planned stop and is restarted.", (*faultRun).stopDaemon},
		{"disk-replace", "A daemon loses its disk and restarts with an empty one.", (*faultRun).replaceDisk},
		{"second-disk", "A daemon loses its disk right after the repair of another one in its zone.", (*faultRun).loseTwoDisks},
		{"edits-pass", "A daemon is down during hundreds of edits and restarts with an old revision.", (*faultRun).editDuringOutage},
		{"edit-race", "Operators send concurrent edits against the same revision.", (*faultRun).raceEdits},
		{"edit-resend", "Operators lose the response to an edit and retry it.", (*faultRun).loseEditResponses},
		{"site-restart", "All daemons and engines are killed at once and restarted.", (*faultRun).restartSite},
		{"zone-cut", "A zone is partitioned from the others.", (*faultRun).cutZone},
		{"leader-cut", "A daemon is partitioned from all others but reachable by engines and callers.", (*faultRun).cutDaemon},
		{"engine-crash", "An engine crashes and restarts empty.", (*faultRun).crashEngine},
		{"engine-die-on-load", "An engine crashes in the middle of its next load.", (*faultRun).dieOnLoad},
		{"engine-reset", "An engine resets connections in the middle of answers.", (*faultRun).resetStreams},
		{"engine-cross", "An engine sends late, repeated and misdirected tokens.", (*faultRun).crossTokens},
		{"store-slow", "The weight store slows down.", (*faultRun).slowStore},
		{"runner-leave", "A machine is reclaimed: it is listed as leaving, then gone.", (*faultRun).reclaimRunner},
	}
}

// faultRun injects faults one after another, in a random order that depends on the seed.
type faultRun struct {
	fleet  *Fleet
	random *rand.Rand
	client *transport.Client
	began  time.Time
	kinds  []FaultKind
	// edits makes and records the edits of the run; sending ends when edits may no
	// longer be retried.
	edits   *editRun
	sending context.Context

	events []FaultEvent
	// outages are the periods during which a daemon could not respond.
	outages    []outage
	editFaults editFaults
	// stops are the planned stops, which must not interrupt requests.
	stops []plannedStop
	// notices are the periods during which a machine was listed as leaving.
	notices []leavingNotice
	// cuts are the periods during which a zone was partitioned from the others.
	cuts []zoneOutage
	// active is the kind of the fault in progress, or nil.
	active atomic.Pointer[string]
}

// current returns the kind of the fault in progress, or "". It is safe for concurrent
// use.
func (r *faultRun) current() string {
	if name := r.active.Load(); name != nil {
		return *name
	}
	return ""
}

// plannedStop is a planned stop of a daemon, from the signal to its exit.
type plannedStop struct {
	daemon   structs.DaemonID
	from     time.Time
	until    time.Time
	exitCode int
}

// outage is a period during which a daemon was down or suspended.
type outage struct {
	daemon structs.DaemonID
	from   time.Time
	until  time.Time
}

// outageMargin covers the startup time of a restarted daemon.
const outageMargin = 3 * time.Second

func (r *faultRun) addOutage(daemon structs.DaemonID, from time.Time) {
	r.outages = append(r.outages, outage{daemon, from, time.Now().Add(outageMargin)})
}

// markRouterFailures marks the failed calls whose router was down or suspended during
// the call.
func (r *faultRun) markRouterFailures(outcomes []Outcome) {
	for i := range outcomes {
		call := &outcomes[i]
		for _, down := range r.outages {
			overlaps := call.SentAt.Before(down.until) && call.EndedAt.After(down.from)
			if call.Router == down.daemon && overlaps && (call.Broken || call.NotSent) {
				call.RouterDied = true
			}
		}
	}
}

func newFaultRun(fleet *Fleet, edits *editRun, names []string, seed uint64) *faultRun {
	kinds := slices.DeleteFunc(FaultKinds(), func(kind FaultKind) bool { return !slices.Contains(names, kind.Name) })
	return &faultRun{
		fleet:  fleet,
		edits:  edits,
		random: rand.New(rand.NewPCG(seed, 2)),
		client: transport.NewClient(log.NewNopLogger(), transport.Options{}),
		kinds:  kinds,
	}
}

// faultGap is the pause between two faults.
const faultGap = 1500 * time.Millisecond

// run injects faults until ctx ends; each fault is ended before run returns. Edits in
// progress are completed until sending ends.
func (r *faultRun) run(ctx, sending context.Context) {
	r.began = time.Now()
	r.sending = sending
	defer r.client.Close()
	for len(r.kinds) > 0 {
		for _, index := range r.random.Perm(len(r.kinds)) {
			if !pause.For(ctx, faultGap) {
				return
			}
			r.inject(ctx, r.kinds[index])
		}
	}
}

func (r *faultRun) inject(ctx context.Context, kind FaultKind) {
	began := time.Now()
	r.active.Store(&kind.Name)
	defer r.active.Store(nil)
	target := kind.inject(r, ctx)
	r.events = append(r.events, FaultEvent{
		AtSeconds:  began.Sub(r.began).Seconds(),
		ForSeconds: time.Since(began).Seconds(),
		Kind:       kind.Name,
		Target:     target,
	})
}

func (r *faultRun) anyDaemon() *Process {
	return r.fleet.Daemons[r.random.IntN(len(r.fleet.Daemons))]
}

func (r *faultRun) anyRunner() *Runner {
	return r.fleet.Platform.Runners[r.random.IntN(len(r.fleet.Platform.Runners))]
}

func (r *faultRun) killDaemon(ctx context.Context) string {
	target := r.anyDaemon()
	defer r.addOutage(target.ID, time.Now())
	target.Kill()
	pause.For(ctx, downTime)
	return r.restart(target)
}

// restart restarts a daemon. A failure is reported in the returned target name.
func (r *faultRun) restart(target *Process) string {
	if err := target.Start(); err != nil {
		return r.notRestarted(target, err)
	}
	return string(target.ID)
}

func (r *faultRun) notRestarted(target *Process, err error) string {
	return string(target.ID) + " (not restarted: " + err.Error() + ")"
}

func (r *faultRun) pauseDaemon(ctx context.Context) string {
	target := r.anyDaemon()
	defer r.addOutage(target.ID, time.Now())
	target.Signal(syscall.SIGSTOP)
	pause.For(ctx, pauseTime)
	target.Signal(syscall.SIGCONT)
	return string(target.ID)
}

func (r *faultRun) stopDaemon(ctx context.Context) string {
	target := r.anyDaemon()
	stop := plannedStop{daemon: target.ID, from: time.Now()}
	stop.exitCode = target.Terminate(target.Settings.Timing.StopTimeout + stopTimeout)
	stop.until = time.Now()
	r.stops = append(r.stops, stop)
	pause.For(ctx, downTime)
	return r.restart(target)
}

func (r *faultRun) cutZone(ctx context.Context) string {
	zone := r.fleet.Site.Zones[r.random.IntN(len(r.fleet.Site.Zones))].ID
	from := time.Now()
	r.cut(ctx, func(daemon *Process) bool { return daemon.Zone == zone })
	r.cuts = append(r.cuts, zoneOutage{zone, from, time.Now()})
	return string(zone)
}

func (r *faultRun) cutDaemon(ctx context.Context) string {
	target := r.anyDaemon()
	r.cut(ctx, func(daemon *Process) bool { return daemon == target })
	return string(target.ID)
}

// cut partitions the daemons inside from the others in both directions, then heals the
// partition.
func (r *faultRun) cut(ctx context.Context, inside func(*Process) bool) {
	for _, daemon := range r.fleet.Daemons {
		r.setCut(daemon, r.addressesWhere(func(other *Process) bool { return inside(other) != inside(daemon) }))
	}
	pause.For(ctx, cutTime)
	for _, daemon := range r.fleet.Daemons {
		r.setCut(daemon, nil)
	}
}

func (r *faultRun) addressesWhere(chosen func(*Process) bool) []string {
	var addresses []string
	for _, daemon := range r.fleet.Daemons {
		if chosen(daemon) {
			addresses = append(addresses, daemon.Settings.Listen.Internal, daemon.Settings.Listen.Callers)
		}
	}
	return addresses
}

// faultCallTimeout limits the call that sets the partition at one daemon.
const faultCallTimeout = time.Second

func (r *faultRun) setCut(target *Process, addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), faultCallTimeout)
	defer cancel()
	// A daemon that does not respond is down and thus cut off as well.
	_ = r.client.Call(ctx, target.Settings.Listen.Internal, "Fault.Set", daemon.FaultArguments{Cut: addresses}, &daemon.FaultReply{})
}

func (r *faultRun) crashEngine(ctx context.Context) string {
	target := r.anyRunner()
	target.Server.Crash()
	pause.For(ctx, downTime)
	target.restartIfCrashed()
	return string(target.Machine.Runner)
}

// restartIfCrashed restarts a crashed engine under the next incarnation.
func (r *Runner) restartIfCrashed() {
	dead, next := false, structs.Incarnation(0)
	r.Server.Engine(func(engine *emulator.Engine, _ time.Time) []emulator.EngineOutput {
		dead, next = engine.Dead(), engine.Incarnation()+1
		return nil
	})
	if dead {
		r.Server.Restart(next)
	}
}

func (r *faultRun) dieOnLoad(ctx context.Context) string {
	return r.injectEngineFaults(ctx, emulator.EngineFaults{DieOnLoad: true})
}

// Rates of engine faults, as fractions of tokens.
const (
	resetRate = 0.01
	crossRate = 0.02
)

func (r *faultRun) resetStreams(ctx context.Context) string {
	return r.injectEngineFaults(ctx, emulator.EngineFaults{ResetRate: resetRate})
}

func (r *faultRun) crossTokens(ctx context.Context) string {
	return r.injectEngineFaults(ctx, emulator.EngineFaults{
		LateRate:   crossRate,
		LateBy:     300 * time.Millisecond,
		RepeatRate: crossRate,
		CrossRate:  crossRate,
	})
}

func (r *faultRun) injectEngineFaults(ctx context.Context, faults emulator.EngineFaults) string {
	target := r.anyRunner()
	target.Server.SetFaults(faults)
	pause.For(ctx, engineFault)
	target.Server.SetFaults(emulator.EngineFaults{})
	target.restartIfCrashed()
	return string(target.Machine.Runner)
}

func (r *faultRun) slowStore(ctx context.Context) string {
	r.fleet.Platform.Store.SetFaults(emulator.StoreFaults{SlowFactor: slowFactor})
	pause.For(ctx, engineFault)
	r.fleet.Platform.Store.SetFaults(emulator.StoreFaults{})
	return "weight store"
}

// reclaimRunner lists a machine as leaving, crashes its engine, and returns it to the
// list with an empty engine.
func (r *faultRun) reclaimRunner(ctx context.Context) string {
	target := r.anyRunner()
	notice := leavingNotice{runner: target.Machine.Runner, from: r.fleet.Platform.Now()}
	r.fleet.Platform.setState(target, structs.MachineLeaving)
	pause.For(ctx, cutTime)
	notice.until = r.fleet.Platform.Now()
	r.notices = append(r.notices, notice)
	target.Server.Crash()
	pause.For(ctx, downTime)
	target.restartIfCrashed()
	r.fleet.Platform.setState(target, structs.MachineLive)
	return string(target.Machine.Runner)
}
