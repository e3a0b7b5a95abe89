package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Engine is a model engine in virtual time. It is not safe for concurrent use.
// Times passed to its methods must not go backwards.
type Engine struct {
	options EngineOptions
	faults  EngineFaults

	now         time.Time
	dead        bool
	incarnation structs.Incarnation
	role        structs.RunnerRole

	fence     structs.Fence
	lastOrder structs.Order

	replicas    map[structs.RowName]*replica
	memoryUsed  int64
	idleBytes   int64
	checkpoints *CheckpointCache
	// fetches are the checkpoints asked of the weight store.
	fetches map[structs.RowName]*fetch

	requests requestRegister
	batch    batch
	prefix   prefixCache
	events   cacheEventLog
	imported importedCaches

	timers  timerQueue
	report  reporter
	records Records
	// outputs gathers the outputs of the Step or Advance under way.
	outputs []EngineOutput
}

// NewEngine makes an engine that holds nothing.
func NewEngine(options EngineOptions) *Engine {
	options = options.withDefaults()
	e := &Engine{options: options, faults: options.Faults, incarnation: options.Incarnation, role: options.Role}
	e.checkpoints = NewCheckpointCache(options.HostMemoryBytes, options.DiskBytes)
	e.records.Lives = 1
	return e
}

// Options returns the options with their defaults filled in.
func (e *Engine) Options() EngineOptions { return e.options }

// Incarnation returns the number of the current life.
func (e *Engine) Incarnation() structs.Incarnation { return e.incarnation }

// Dead reports whether the process has died and was not restarted.
func (e *Engine) Dead() bool { return e.dead }

// Records returns the engine's own records. They change with the engine.
func (e *Engine) Records() *Records { return &e.records }

// Faults returns the faults that are switched on.
func (e *Engine) Faults() EngineFaults { return e.faults }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults EngineFaults) { e.faults = faults }

// Step takes one input at now. It first does what was due before now, so the
// outputs may belong to other calls too.
func (e *Engine) Step(now time.Time, input EngineInput) []EngineOutput {
	e.advance(now)
	if e.dead {
		if input.Kind != InputDisconnect && input.Kind != InputFetched && input.Kind != InputCrash {
			e.emit(EngineOutput{Kind: OutputReset, Call: input.Call})
		}
		return e.takeOutputs()
	}
	e.reach(now)
	e.handle(input)
	return e.takeOutputs()
}

func (e *Engine) handle(input EngineInput) {
	switch input.Kind {
	case InputGenerate:
		e.generate(input.Call, input.Generate)
	case InputDisconnect:
		e.disconnect(input.Call)
	case InputStatus:
		e.status(input.Call, input.ID, input.Cancel)
	case InputOrder:
		e.takeOrder(input.Call, input.Order)
	case InputReport:
		report := e.currentReport()
		e.emit(EngineOutput{Kind: OutputReport, Call: input.Call, Report: &report})
	case InputEvents:
		page := e.events.page(e.now, input.After)
		page.Incarnation = e.incarnation
		e.emit(EngineOutput{Kind: OutputEvents, Call: input.Call, Events: &page})
	case InputExport:
		e.exportCache(input.Call, input.ID, input.Row)
	case InputImport:
		e.importCache(input.Call, input.Cache)
	case InputEmbeddings:
		e.embed(input.Call, input.Embeddings)
	case InputFetched:
		e.fetched(input.Row, input.Failed)
	case InputCrash:
		e.die()
	}
}

// NextEvent returns when Advance must be called next; false means that nothing
// happens without an input.
func (e *Engine) NextEvent() (time.Time, bool) {
	at, found := e.timers.first()
	if e.batch.stepping && (!found || e.batch.stepEnd.Before(at)) {
		return e.batch.stepEnd, true
	}
	return at, found
}

// Advance does all that is due up to now and returns its outputs.
func (e *Engine) Advance(now time.Time) []EngineOutput {
	e.advance(now)
	if !e.dead {
		e.reach(now)
	}
	return e.takeOutputs()
}

func (e *Engine) advance(now time.Time) {
	for !e.dead {
		at, found := e.NextEvent()
		if !found || at.After(now) {
			return
		}
		e.reach(at)
		if first, timed := e.timers.first(); timed && !first.After(at) {
			e.timers.pop().run()
			continue
		}
		e.finishStep()
	}
}

// reach moves the engine's time to at, before anything changes: the idle time
// and the lagging report are taken from the state that lasted until then.
func (e *Engine) reach(at time.Time) {
	if at.Before(e.now) {
		return
	}
	if !e.now.IsZero() && e.idleBytes > 0 {
		share := float64(e.idleBytes) / float64(e.options.MemoryBytes)
		idle := float64(at.Sub(e.now)) * share * float64(e.options.Accelerators)
		e.records.IdleAccelerator += time.Duration(idle)
	}
	e.renewReport(at)
	e.now = at
}

func (e *Engine) after(duration time.Duration, run func()) {
	e.timers.add(e.now.Add(duration), run)
}

func (e *Engine) emit(output EngineOutput) {
	e.outputs = append(e.outputs, output)
}

func (e *Engine) takeOutputs() []EngineOutput {
	outputs := e.outputs
	e.outputs = nil
	return outputs
}

// die ends the process: all state but the disk cache is lost.
func (e *Engine) die() {
	e.dead = true
	for _, sequence := range e.batch.running {
		e.endExecution(sequence, structs.FinishError)
	}
	e.emit(EngineOutput{Kind: OutputDied})
	e.timers = timerQueue{}
	e.batch = batch{}
	for _, row := range slices.Sorted(maps.Keys(e.replicas)) {
		if lost := e.replicas[row]; lost.state != structs.ReplicaAbsent {
			e.setState(lost, structs.ReplicaAbsent)
		}
	}
	e.replicas = nil
	e.memoryUsed = 0
	e.idleBytes = 0
	e.fetches = nil
	e.requests = requestRegister{}
	e.prefix = prefixCache{}
	e.events = cacheEventLog{}
	e.imported = importedCaches{}
	e.checkpoints.ClearMemory()
}

// Restart begins a new life at now. The incarnation must be higher than the last
// one; a living engine dies first, and its OutputDied is returned.
func (e *Engine) Restart(now time.Time, incarnation structs.Incarnation) []EngineOutput {
	e.advance(now)
	if !e.dead {
		e.reach(now)
		e.die()
	}
	e.now = now
	e.dead = false
	e.incarnation = incarnation
	e.role = e.options.Role
	e.fence = structs.Fence{}
	e.lastOrder = structs.Order{}
	e.report = reporter{}
	e.records.Lives++
	return e.takeOutputs()
}
