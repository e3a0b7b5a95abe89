package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// Run is the result of a run.
type Run struct {
	Site   string `json:"site"`
	Policy Policy `json:"policy"`
	Seed   uint64 `json:"seed"`
	Faults bool   `json:"faults"`
	// Requests counts all requests, Live those with live priority.
	Requests int `json:"requests"`
	Live     int `json:"live"`
	// ColdWait is over all live requests: the time from arrival to first token if no
	// replica was ready, or 0 if one was. ColdStart is over the cold requests of all
	// classes.
	ColdWait  Quantiles `json:"cold_wait"`
	ColdStart Quantiles `json:"cold_start"`
	// ColdShare is the fraction of live requests that were cold.
	ColdShare float64 `json:"cold_share"`
	// LiveInTime and GateInTime are the fractions of requests fully answered before
	// their deadline.
	LiveInTime float64                         `json:"live_in_time"`
	GateInTime float64                         `json:"gate_in_time"`
	Classes    map[workload.Class]ClassFigures `json:"classes"`
	// IdleHours is in accelerator hours with weights loaded and no request running.
	IdleHours    float64                   `json:"idle_accelerator_hours"`
	LoadsPerHour float64                   `json:"loads_per_hour"`
	Loads        map[structs.CacheTier]int `json:"loads"`
	LoadReasons  map[scheduler.Reason]int  `json:"load_reasons"`
	Unloads      map[scheduler.Reason]int  `json:"unloads"`
	Prefetches   int                       `json:"prefetches"`
	// RefusedReservations counts loads that the zone's state machine rejected.
	RefusedReservations int `json:"refused_reservations"`
	FaultCount          int `json:"fault_count"`
	// StorePeak is the maximum number of concurrent store reads, including waiting
	// ones; MemoryPeak is the largest fraction of a runner's memory in use.
	StorePeak       int         `json:"store_peak"`
	MemoryPeak      float64     `json:"memory_peak"`
	Plans           int         `json:"plans"`
	PlanMicrosecond float64     `json:"plan_microseconds"`
	RealSeconds     float64     `json:"real_seconds"`
	Violations      []Violation `json:"violations"`
}

// ClassFigures holds the results of one class. InTime and Cold are fractions of its
// requests.
type ClassFigures struct {
	Requests int     `json:"requests"`
	InTime   float64 `json:"in_time"`
	Cold     float64 `json:"cold"`
	Refused  int     `json:"refused"`
	Late     int     `json:"late"`
}

// result returns the result of a run of the given length.
func (w *simulation) result(length time.Duration) Run {
	m := w.recorder
	r := Run{
		Requests: m.ended, Live: len(m.coldWaits),
		ColdWait: quantilesOf(m.coldWaits), ColdStart: quantilesOf(m.coldStarts),
		Classes: map[workload.Class]ClassFigures{}, Loads: m.loads, LoadReasons: m.loadReasons, Unloads: m.unloads,
		Prefetches: m.prefetches, RefusedReservations: m.refusedReservations, FaultCount: m.faults,
		StorePeak: w.checker.storePeak, MemoryPeak: w.checker.memoryPeak, Plans: m.plans,
		Violations: append([]Violation{}, w.checker.violations...),
	}
	if m.plans > 0 {
		r.PlanMicrosecond = float64(m.planTime.Microseconds()) / float64(m.plans)
	}
	w.addClasses(&r)
	loads := 0
	for _, count := range m.loads {
		loads += count
	}
	r.LoadsPerHour = float64(loads) / length.Hours()
	for _, z := range w.zones {
		for _, e := range z.engines {
			r.IdleHours += e.idleSeconds / time.Hour.Seconds()
		}
	}
	return r
}

// addClasses sets the results of each class, and those of live and gate requests.
func (w *simulation) addClasses(r *Run) {
	live, missed, cold := 0, 0, 0
	for class, count := range w.recorder.classes {
		failed := count.refused + count.late
		r.Classes[class] = ClassFigures{
			Requests: count.arrived, Refused: count.refused, Late: count.late,
			InTime: 1 - ratio(failed, count.arrived), Cold: ratio(count.cold, count.arrived),
		}
		if class == workload.ClassEditor || class == workload.ClassSearch || class == workload.ClassGate {
			live += count.arrived
			missed += failed
			cold += count.cold
		}
	}
	r.LiveInTime = 1 - ratio(missed, live)
	r.ColdShare = ratio(cold, live)
	r.GateInTime = r.Classes[workload.ClassGate].InTime
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
