package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// reporter caches the report as of the last multiple of the report lag.
type reporter struct {
	taken  bool
	at     time.Time
	report structs.EngineReport
	cached []structs.CachedRow
	// stale is set if the checkpoint caches changed after cached was set.
	stale bool
}

// renewReport refreshes the report if it is due by now. The state is unchanged since the
// last event, so it equals the state at the due time.
func (e *Engine) renewReport(now time.Time) {
	lag := e.options.ReportLag
	if !e.report.taken {
		e.report.taken = true
		e.report.at = now
		e.report.stale = true
		e.report.report = e.makeReport(now)
		return
	}
	passed := now.Sub(e.report.at)
	if lag <= 0 || passed < lag {
		return
	}
	e.report.at = e.report.at.Add(passed / lag * lag)
	e.report.report = e.makeReport(e.report.at)
}

// currentReport returns the engine's report at the current time.
func (e *Engine) currentReport() structs.EngineReport {
	report := e.report.report
	if e.options.ReportLag <= 0 {
		report = e.makeReport(e.now)
	}
	report.Load = *e.currentLoad()
	report.Replicas = slices.Clone(report.Replicas)
	if e.faults.HideLoad {
		hideLoad(report.Replicas)
	}
	return report
}

func hideLoad(replicas []structs.EngineReplica) {
	for i := range replicas {
		replicas[i].Running = 0
		replicas[i].Queued = 0
	}
}

// currentLoad returns the load that the engine reports at the current time.
func (e *Engine) currentLoad() *structs.LoadReport {
	load := e.report.report.Load
	if e.options.ReportLag <= 0 {
		load = e.makeLoad(e.now)
	}
	if e.faults.HideLoad {
		load.Running = 0
		load.Queued = 0
	}
	return &load
}

func (e *Engine) makeLoad(at time.Time) structs.LoadReport {
	return structs.LoadReport{
		Running:         len(e.batch.running),
		Queued:          e.batch.queued(),
		MaxBatch:        e.options.MaxBatch,
		TokensPerSecond: e.batch.rate,
		ObservedAt:      at,
	}
}

func (e *Engine) makeReport(at time.Time) structs.EngineReport {
	if e.report.stale {
		e.report.cached = e.checkpoints.List()
		e.report.stale = false
	}
	report := structs.EngineReport{
		Runner:       e.options.Runner,
		Incarnation:  e.incarnation,
		Role:         e.role,
		Fence:        e.fence,
		MemoryBytes:  e.options.MemoryBytes,
		MemoryUsed:   e.memoryUsed,
		Accelerators: e.options.Accelerators,
		Replicas:     make([]structs.EngineReplica, 0, len(e.replicas)),
		Cached:       slices.Clone(e.report.cached),
		Load:         e.makeLoad(at),
	}
	for _, row := range slices.Sorted(maps.Keys(e.replicas)) {
		held := e.replicas[row]
		report.Replicas = append(report.Replicas, structs.EngineReplica{
			Row: row, State: held.state, Fence: held.fence, Running: held.running, Queued: held.queued,
		})
	}
	return report
}
