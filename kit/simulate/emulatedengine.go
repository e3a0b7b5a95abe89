package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// engineMemory is the accelerator memory of a simulated engine, in bytes.
const engineMemory int64 = 24 << 30

// emulatedEngine drives one emulated engine in virtual time: it passes inputs to the
// engine, advances it when its next event is due, and passes the outputs to
// onOutputs, which calls planWake last.
type emulatedEngine struct {
	scheduler   *Scheduler
	trace       *Trace
	id          structs.RunnerID
	zone        structs.ZoneID
	engine      *emulator.Engine
	onOutputs   func([]emulator.EngineOutput)
	incarnation structs.Incarnation
	call        emulator.CallID
	// wake is the time of the next scheduled Advance; 0 means none.
	wake time.Duration
	// seen is the number of replica changes that newReplicaChanges has returned.
	seen int
}

func newEmulatedEngine(site *simulatedSite, id structs.RunnerID, zone structs.ZoneID) emulatedEngine {
	return emulatedEngine{scheduler: site.scheduler, trace: site.trace, id: id, zone: zone, incarnation: 1}
}

// begin creates the engine from the options and the settings that all simulated
// engines share.
func (e *emulatedEngine) begin(options emulator.EngineOptions, onOutputs func([]emulator.EngineOutput)) {
	options.Runner = e.id
	options.Zone = e.zone
	options.Role = simulatedRole
	options.Incarnation = e.incarnation
	options.MemoryBytes = engineMemory
	options.HostMemoryBytes = 2 * engineMemory
	options.DiskBytes = 2 * engineMemory
	e.engine = emulator.NewEngine(options)
	e.onOutputs = onOutputs
}

func (e *emulatedEngine) address() Address { return engineAddress(e.id) }

func (e *emulatedEngine) step(input emulator.EngineInput) {
	e.onOutputs(e.engine.Step(e.scheduler.wallTime(), input))
}

// nextCall returns a call ID that is unused on this engine.
func (e *emulatedEngine) nextCall() emulator.CallID {
	e.call++
	return e.call
}

// restart starts a dead engine again, empty and with the next incarnation.
func (e *emulatedEngine) restart() {
	e.incarnation++
	e.onOutputs(e.engine.Restart(e.scheduler.wallTime(), e.incarnation))
	e.trace.Note("engine-restart", string(e.id), formatCount(int(e.incarnation)))
}

// newReplicaChanges returns the replica changes recorded since the last call.
func (e *emulatedEngine) newReplicaChanges() []emulator.ReplicaChange {
	changes := e.engine.Records().ReplicaChanges[e.seen:]
	e.seen += len(changes)
	return changes
}

// planWake schedules the next Advance unless an earlier one is scheduled.
func (e *emulatedEngine) planWake() {
	next, found := e.engine.NextEvent()
	if !found || e.engine.Dead() {
		return
	}
	at := max(next.Sub(epochStart), e.scheduler.Now())
	if e.wake != 0 && e.wake <= at && e.wake > e.scheduler.Now() {
		return
	}
	e.wake = at
	e.scheduler.At(at, func() {
		if e.wake == at {
			e.wake = 0
			e.onOutputs(e.engine.Advance(e.scheduler.wallTime()))
		}
	})
}
