package lab

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// LoadOptions configure a run of the load tool against running routers.
type LoadOptions struct {
	// Targets are the routers' base URLs.
	Targets []string
	// AllowRemote permits targets that are not loopback addresses.
	AllowRemote bool
	// Key is the caller's API key, or "".
	Key  string
	Plan Plan
	// CheckAnswers compares each answer with that expected of the emulated engines.
	CheckAnswers bool
	// Show is called with the progress every second, unless nil.
	Show func(Progress)
}

// LoadReport is the result of a load tool run. Latencies are measured from the time at
// which a call was due, which avoids coordinated omission.
type LoadReport struct {
	Command         string   `json:"command"`
	Targets         []string `json:"targets"`
	DurationSeconds float64  `json:"duration_seconds"`
	// Planned is the number of planned calls; it exceeds the number of requests if the
	// run was ended early.
	Planned int `json:"planned"`
	Totals
	// SendLag is the delay between the due time of a call and its sending, caused by the
	// load tool itself.
	SendLag    Percentiles `json:"send_lag_seconds"`
	Violations []Violation `json:"violations"`
	Timeline   []Second    `json:"timeline"`
}

// RunLoad makes the planned calls and waits for their results.
func RunLoad(ctx context.Context, options LoadOptions) (LoadReport, error) {
	routers, err := routersOf(options.Targets, options.AllowRemote)
	if err != nil {
		return LoadReport{}, err
	}
	load := newLoadRun(routers)
	load.caller.key = options.Key
	load.caller.unchecked = !options.CheckAnswers
	began := time.Now()
	endProgress := load.showProgress(options.Show, func(*Progress) {})
	outcomes := load.run(ctx, options.Plan.arrivals)
	endProgress()
	report := newLoadReport(began, outcomes)
	report.DurationSeconds = time.Since(began).Seconds()
	report.Targets = options.Targets
	report.Planned = options.Plan.Calls()
	return report, nil
}

func newLoadReport(began time.Time, outcomes []Outcome) LoadReport {
	last := lastOutcomes(outcomes)
	report := LoadReport{Violations: []Violation{}}
	report.sum(last, coldStarts{})
	lag := newLatencies()
	for _, tries := range groupByRequest(outcomes) {
		lag.add(tries[0].SentAt.Sub(tries[0].PlannedAt))
		for _, outcome := range tries {
			if outcome.Wrong != "" {
				report.Violations = append(report.Violations, Violation{"own_answer", fmt.Sprintf("%s: %s", outcome.Request.ID, outcome.Wrong)})
			}
		}
	}
	report.SendLag = lag.percentiles()
	report.Violations = append(report.Violations, checkAnswered(last)...)
	report.Timeline = newTimeline(began, last)
	return report
}

// routersOf validates the URLs of the routers to call.
func routersOf(targets []string, allowRemote bool) ([]target, error) {
	var routers []target
	for _, text := range targets {
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, structs.NewError(structs.ErrorInvalid, text+" is not the URL of a router", "Give a URL such as http://127.0.0.1:7101.")
		}
		address := net.ParseIP(parsed.Hostname())
		if !allowRemote && (address == nil || !address.IsLoopback()) {
			return nil, structs.NewError(structs.ErrorDenied, parsed.Hostname()+" is not a loopback address",
				"Name a router on a loopback address, or give --allow-remote for a site that may be put under load.")
		}
		routers = append(routers, target{id: structs.DaemonID(parsed.Host), url: parsed.Scheme + "://" + parsed.Host})
	}
	if len(routers) == 0 {
		return nil, structs.NewError(structs.ErrorInvalid, "no router to call", "Give the URL of at least one router.")
	}
	return routers, nil
}
