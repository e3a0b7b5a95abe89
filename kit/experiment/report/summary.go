package report

import (
	"slices"

	"github.com/lotusferry/lotusferry/kit/experiment"
)

// Spread holds the mean, minimum and maximum of a value over seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Summary aggregates the runs of one policy over all seeds of a group.
type Summary struct {
	Policy        experiment.Policy `json:"policy"`
	Runs          int               `json:"runs"`
	ColdShare     Spread            `json:"cold_share"`
	ColdWaitP50   Spread            `json:"cold_wait_p50_seconds"`
	ColdWaitP99   Spread            `json:"cold_wait_p99_seconds"`
	ColdWaitP999  Spread            `json:"cold_wait_p99_9_seconds"`
	ColdStartP50  Spread            `json:"cold_start_p50_seconds"`
	ColdStartP99  Spread            `json:"cold_start_p99_seconds"`
	ColdStartP999 Spread            `json:"cold_start_p99_9_seconds"`
	LiveInTime    Spread            `json:"live_in_time"`
	GateInTime    Spread            `json:"gate_in_time"`
	IdleHours     Spread            `json:"idle_accelerator_hours"`
	LoadsPerHour  Spread            `json:"loads_per_hour"`
	Violations    int               `json:"violations"`
}

// Group holds the results for one site, with fault injection on or off.
type Group struct {
	Site     string    `json:"site"`
	Faults   bool      `json:"faults"`
	Policies []Summary `json:"policies"`
	// Targets holds only targets whose policies were run.
	Targets []Target `json:"targets"`
}

// Report holds the aggregated results of an experiment.
type Report struct {
	// Command is the command line that reproduces the experiment.
	Command    string                 `json:"command"`
	Days       int                    `json:"days"`
	Groups     []Group                `json:"groups"`
	Runs       []experiment.Run       `json:"runs"`
	Violations []experiment.Violation `json:"violations"`
}

// New returns a report that groups the runs by site and fault setting and
// aggregates them by policy.
func New(command string, days int, runs []experiment.Run) Report {
	r := Report{Command: command, Days: days, Runs: runs, Violations: []experiment.Violation{}}
	for _, run := range runs {
		r.Violations = append(r.Violations, run.Violations...)
		position := slices.IndexFunc(r.Groups, func(g Group) bool { return g.Site == run.Site && g.Faults == run.Faults })
		if position < 0 {
			position = len(r.Groups)
			r.Groups = append(r.Groups, Group{Site: run.Site, Faults: run.Faults})
		}
		group := &r.Groups[position]
		known := slices.ContainsFunc(group.Policies, func(s Summary) bool { return s.Policy == run.Policy })
		if !known {
			group.Policies = append(group.Policies, summarize(runs, run))
		}
	}
	for i := range r.Groups {
		r.Groups[i].Targets = targets(r.Groups[i])
	}
	return r
}

// summarize aggregates the runs that have the site, fault setting and policy of
// the reference run.
func summarize(runs []experiment.Run, reference experiment.Run) Summary {
	var matching []experiment.Run
	s := Summary{Policy: reference.Policy}
	for _, run := range runs {
		if run.Site == reference.Site && run.Faults == reference.Faults && run.Policy == reference.Policy {
			matching = append(matching, run)
			s.Violations += len(run.Violations)
		}
	}
	s.Runs = len(matching)
	spread := func(figure func(experiment.Run) float64) Spread { return newSpread(matching, figure) }
	s.ColdShare = spread(func(r experiment.Run) float64 { return r.ColdShare })
	s.ColdWaitP50 = spread(func(r experiment.Run) float64 { return r.ColdWait.P50 })
	s.ColdWaitP99 = spread(func(r experiment.Run) float64 { return r.ColdWait.P99 })
	s.ColdWaitP999 = spread(func(r experiment.Run) float64 { return r.ColdWait.P999 })
	s.ColdStartP50 = spread(func(r experiment.Run) float64 { return r.ColdStart.P50 })
	s.ColdStartP99 = spread(func(r experiment.Run) float64 { return r.ColdStart.P99 })
	s.ColdStartP999 = spread(func(r experiment.Run) float64 { return r.ColdStart.P999 })
	s.LiveInTime = spread(func(r experiment.Run) float64 { return r.LiveInTime })
	s.GateInTime = spread(func(r experiment.Run) float64 { return r.GateInTime })
	s.IdleHours = spread(func(r experiment.Run) float64 { return r.IdleHours })
	s.LoadsPerHour = spread(func(r experiment.Run) float64 { return r.LoadsPerHour })
	return s
}

func newSpread(runs []experiment.Run, figure func(experiment.Run) float64) Spread {
	s := Spread{Min: figure(runs[0]), Max: figure(runs[0])}
	for _, run := range runs {
		value := figure(run)
		s.Mean += value / float64(len(runs))
		s.Min = min(s.Min, value)
		s.Max = max(s.Max, value)
	}
	return s
}
