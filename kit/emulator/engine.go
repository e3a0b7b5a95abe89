package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Engine is an emulated model engine in virtual time. It is not safe for concurrent use.
// Times passed to its methods must not decrease.
type Engine struct {
	options EngineOptions
	faults  EngineFaults

	now         time.Time
	crashed     bool
	incarnation structs.Incarnation
	role        structs.RunnerRole

	fence     structs.Fence
	lastOrder structs.Order

	replicas    map[structs.RowName]*replica
	memoryUsed  int64
	idleBytes   int64
	checkpoints *CheckpointCache
	// fetches are the pending reads from the weight store.
	fetches map[structs.RowName]*fetch

	requests requestRegister
	batch    batch
	prefix   prefixCache
	events   cacheEventLog
	imported importedCaches

	timers  timerQueue
	report  reporter
	records Records
	// outputs collects the outputs of the current Step or Advance.
	outputs []EngineOutput
}

// NewEngine returns an engine without replicas.
func NewEngine(options EngineOptions) *Engine {
	options = options.withDefaults()
	e := &Engine{options: options, faults: options.Faults, incarnation: options.Incarnation, role: options.Role}
	e.checkpoints = NewCheckpointCache(options.HostMemoryBytes, options.DiskBytes)
	e.records.Lives = 1
	return e
}

// Options returns the options with defaults applied.
func (e *Engine) Options() EngineOptions { return e.options }

// Incarnation returns the current incarnation.
func (e *Engine) Incarnation() structs.Incarnation { return e.incarnation }

// Dead reports whether the engine has crashed and was not restarted.
func (e *Engine) Dead() bool { return e.crashed }

// Records returns the engine's records. They are updated as the engine runs.
func (e *Engine) Records() *Records { return &e.records }

// Faults returns the injected faults.
func (e *Engine) Faults() EngineFaults { return e.faults }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults EngineFaults) { e.faults = faults }

// Step processes one input at now, after all events due before. The outputs may
// therefore belong to other calls as well.
func (e *Engine) Step(now time.Time, input EngineInput) []EngineOutput {
	e.advance(now)
	if e.crashed {
		if input.Kind != InputDisconnect && input.Kind != InputFetched && input.Kind != InputCrash {
			e.emit(EngineOutput{Kind: OutputReset, Call: input.Call})
		}
		return e.takeOutputs()
	}
	e.advanceClock(now)
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
		e.handleOrder(input.Call, input.Order)
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
		e.crash()
	}
}

// NextEvent returns the time at which Advance must be called next, and false if no event
// is scheduled.
func (e *Engine) NextEvent() (time.Time, bool) {
	at, found := e.timers.first()
	if e.batch.stepping && (!found || e.batch.stepEnd.Before(at)) {
		return e.batch.stepEnd, true
	}
	return at, found
}

// Advance processes all events up to now and returns their outputs.
func (e *Engine) Advance(now time.Time) []EngineOutput {
	e.advance(now)
	if !e.crashed {
		e.advanceClock(now)
	}
	return e.takeOutputs()
}

func (e *Engine) advance(now time.Time) {
	for !e.crashed {
		at, found := e.NextEvent()
		if !found || at.After(now) {
			return
		}
		e.advanceClock(at)
		if first, timed := e.timers.first(); timed && !first.After(at) {
			e.timers.pop().run()
			continue
		}
		e.finishStep()
	}
}

// advanceClock sets the current time to at. It must be called before a state change,
// because it accumulates the idle time and refreshes the report from the unchanged
// state.
func (e *Engine) advanceClock(at time.Time) {
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

// crash stops the engine. All state is lost except the disk cache.
func (e *Engine) crash() {
	e.crashed = true
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

// Restart starts the next incarnation at now; it must be higher than the last one. A
// running engine crashes first, and its OutputDied is returned.
func (e *Engine) Restart(now time.Time, incarnation structs.Incarnation) []EngineOutput {
	e.advance(now)
	if !e.crashed {
		e.advanceClock(now)
		e.crash()
	}
	e.now = now
	e.crashed = false
	e.incarnation = incarnation
	e.role = e.options.Role
	e.fence = structs.Fence{}
	e.lastOrder = structs.Order{}
	e.report = reporter{}
	e.records.Lives++
	return e.takeOutputs()
}
