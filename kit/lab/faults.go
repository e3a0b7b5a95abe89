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

// FaultEvent is one fault of a run, for the report's timeline.
type FaultEvent struct {
	AtSeconds  float64 `json:"at_seconds"`
	ForSeconds float64 `json:"for_seconds"`
	Kind       string  `json:"kind"`
	Target     string  `json:"target"`
}

// FaultKind is one kind of fault of a fleet run.
type FaultKind struct {
	Name     string
	Sentence string
	// strike begins the fault, lets it last, ends it, and returns its target.
	strike func(*faultRun, context.Context) string
}

// How long the faults last.
const (
	downTime    = 2 * time.Second
	pauseTime   = 4 * time.Second
	cutTime     = 8 * time.Second
	engineFault = 5 * time.Second
	slowFactor  = 4
)

// FaultKinds lists the faults of a fleet run.
func FaultKinds() []FaultKind {
	return []FaultKind{
		{"daemon-kill", "A daemon dies without warning and is restarted.", (*faultRun).killDaemon},
		{"daemon-pause", "A daemon is frozen, comes back, and still believes what it believed.", (*faultRun).pauseDaemon},
		{"daemon-stop", "A daemon makes a planned stop and is started again.", (*faultRun).stopDaemon},
		{"disk-replace", "A daemon loses its disk and comes back with an empty one.", (*faultRun).replaceDisk},
		{"second-disk", "A daemon loses its disk right after the repair of another one of its zone.", (*faultRun).loseTwoDisks},
		{"edits-pass", "Hundreds of edits pass a daemon that is down; it restarts behind.", (*faultRun).passEdits},
		{"edit-race", "Operators send edits against the same revision at once.", (*faultRun).raceEdits},
		{"edit-resend", "Operators lose the answer to an edit and send it again.", (*faultRun).loseAnswers},
		{"site-restart", "All daemons and engines die at once and are started again.", (*faultRun).restartSite},
		{"zone-cut", "A zone is cut off from the others.", (*faultRun).cutZone},
		{"leader-cut", "A daemon is cut off from all others while engines and callers still reach it.", (*faultRun).cutDaemon},
		{"engine-crash", "An engine dies and restarts empty.", (*faultRun).crashEngine},
		{"engine-die-on-load", "An engine dies in the middle of its next load.", (*faultRun).dieOnLoad},
		{"engine-reset", "An engine breaks connections in the middle of answers.", (*faultRun).resetStreams},
		{"engine-cross", "An engine sends late, repeated and crossed tokens.", (*faultRun).crossTokens},
		{"store-slow", "The weight store slows down.", (*faultRun).slowStore},
		{"runner-leave", "A machine is reclaimed: it is listed as leaving, then gone.", (*faultRun).reclaimRunner},
	}
}

// faultRun strikes faults one after another, in an order that the seed decides.
type faultRun struct {
	fleet  *Fleet
	random *rand.Rand
	client *transport.Client
	began  time.Time
	kinds  []FaultKind
	// edits makes and records the edits of the run; sending lasts as long as edits
	// may still be sent again.
	edits   *editRun
	sending context.Context

	events []FaultEvent
	// outages are the times during which a daemon could not answer.
	outages    []outage
	editFaults editFaults
	// stops are the planned stops, which must cut nothing.
	stops []plannedStop
	// notices are the times during which a machine was listed as leaving.
	notices []leavingNotice
	// cuts are the times during which a zone was cut off.
	cuts []zoneOutage
	// striking is the kind of the fault that strikes now, or nil.
	striking atomic.Pointer[string]
}

// current returns the kind of the fault that strikes now, or "". It may be called
// while the faults run.
func (r *faultRun) current() string {
	if name := r.striking.Load(); name != nil {
		return *name
	}
	return ""
}

// plannedStop is one planned stop of a daemon, from the signal to its end.
type plannedStop struct {
	daemon   structs.DaemonID
	from     time.Time
	until    time.Time
	exitCode int
}

// outage is a time during which a daemon was dead or frozen.
type outage struct {
	daemon structs.DaemonID
	from   time.Time
	until  time.Time
}

// outageMargin covers the daemon's start after its restart.
const outageMargin = 3 * time.Second

func (r *faultRun) addOutage(daemon structs.DaemonID, from time.Time) {
	r.outages = append(r.outages, outage{daemon, from, time.Now().Add(outageMargin)})
}

// markDead marks the broken calls whose router was dead or frozen meanwhile.
func (r *faultRun) markDead(outcomes []Outcome) {
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

// faultGap separates the end of one fault from the next.
const faultGap = 1500 * time.Millisecond

// run strikes faults until ctx ends; each fault is ended before it returns. What was
// begun is completed while sending lasts.
func (r *faultRun) run(ctx, sending context.Context) {
	r.began = time.Now()
	r.sending = sending
	defer r.client.Close()
	for len(r.kinds) > 0 {
		for _, index := range r.random.Perm(len(r.kinds)) {
			if !pause.For(ctx, faultGap) {
				return
			}
			r.strike(ctx, r.kinds[index])
		}
	}
}

func (r *faultRun) strike(ctx context.Context, kind FaultKind) {
	began := time.Now()
	r.striking.Store(&kind.Name)
	defer r.striking.Store(nil)
	target := kind.strike(r, ctx)
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

// restart starts a daemon again; a start that fails shows in the target's name.
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
	stop.exitCode = target.Terminate(target.Settings.Timing.StopTimeout + stopLimit)
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

// cut separates the daemons inside from those outside, both ways, then heals.
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

// faultCallTimeout bounds telling one daemon whom to cut.
const faultCallTimeout = time.Second

func (r *faultRun) setCut(target *Process, addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), faultCallTimeout)
	defer cancel()
	// A daemon that does not answer is down, which cuts it off as well.
	_ = r.client.Call(ctx, target.Settings.Listen.Internal, "Fault.Set", daemon.FaultArguments{Cut: addresses}, &daemon.FaultReply{})
}

func (r *faultRun) crashEngine(ctx context.Context) string {
	target := r.anyRunner()
	target.Server.Crash()
	pause.For(ctx, downTime)
	target.revive()
	return string(target.Machine.Runner)
}

// revive restarts a dead engine, empty, under the next incarnation.
func (r *Runner) revive() {
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
	return r.disturb(ctx, emulator.EngineFaults{DieOnLoad: true})
}

// The rates of the engines' faults, as shares of tokens.
const (
	resetRate = 0.01
	crossRate = 0.02
)

func (r *faultRun) resetStreams(ctx context.Context) string {
	return r.disturb(ctx, emulator.EngineFaults{ResetRate: resetRate})
}

func (r *faultRun) crossTokens(ctx context.Context) string {
	return r.disturb(ctx, emulator.EngineFaults{
		LateRate:   crossRate,
		LateBy:     300 * time.Millisecond,
		RepeatRate: crossRate,
		CrossRate:  crossRate,
	})
}

func (r *faultRun) disturb(ctx context.Context, faults emulator.EngineFaults) string {
	target := r.anyRunner()
	target.Server.SetFaults(faults)
	pause.For(ctx, engineFault)
	target.Server.SetFaults(emulator.EngineFaults{})
	target.revive()
	return string(target.Machine.Runner)
}

func (r *faultRun) slowStore(ctx context.Context) string {
	r.fleet.Platform.Store.SetFaults(emulator.StoreFaults{SlowFactor: slowFactor})
	pause.For(ctx, engineFault)
	r.fleet.Platform.Store.SetFaults(emulator.StoreFaults{})
	return "weight store"
}

// reclaimRunner lists a machine as leaving, takes it away, and brings it back empty.
func (r *faultRun) reclaimRunner(ctx context.Context) string {
	target := r.anyRunner()
	notice := leavingNotice{runner: target.Machine.Runner, from: r.fleet.Platform.Now()}
	r.fleet.Platform.setState(target, structs.MachineLeaving)
	pause.For(ctx, cutTime)
	notice.until = r.fleet.Platform.Now()
	r.notices = append(r.notices, notice)
	target.Server.Crash()
	pause.For(ctx, downTime)
	target.revive()
	r.fleet.Platform.setState(target, structs.MachineLive)
	return string(target.Machine.Runner)
}
