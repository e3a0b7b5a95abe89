package explain

import (
	"fmt"
	"time"
)

const (
	// longWaitThreshold is the waiting time that is reported as the cause of a late answer.
	longWaitThreshold = 300 * time.Millisecond
	// sameFailureWindow is the maximum time between attempts ended by the same failure.
	sameFailureWindow = 100 * time.Millisecond
)

// addFindings derives the findings from the lines.
func (a *Account) addFindings(lines []Line) {
	last := a.Events[len(a.Events)-1]
	waited := last.durationField("waited")
	switch {
	case a.Outcome == "no_runner", a.Outcome == "router_stops", waited >= longWaitThreshold:
		a.addLoadFindings()
	case a.Outcome == "retry_budget":
		a.addFinding("The runner's failure was returned, because the retry budget was exhausted.")
	case a.Outcome == "timeout", a.Outcome == "silent":
		a.addFinding("The runner did not respond in time; any lines about it are below.")
	case last.durationField("pause") >= longWaitThreshold:
		a.addFinding("The stream paused for %v.", last.durationField("pause"))
	}
	a.addTenantFindings()
	a.addContentFindings()
	a.addFailureFindings(lines)
	a.addSlowRunnerFindings()
	a.addLostRunnerFindings()
	a.addLeaderFindings()
}

func (a *Account) addFinding(format string, arguments ...any) {
	a.Findings = append(a.Findings, fmt.Sprintf(format, arguments...))
}

// addLoadFindings reports the load orders for the model of the request.
func (a *Account) addLoadFindings() {
	ordered := false
	for _, line := range a.Beliefs {
		isLoad := line.Message == messageOrder && line.Get("operation") == "load" && line.Get("model") == a.Model
		if !isLoad || line.Get("adapter") != "" && line.Get("adapter") != a.Adapter {
			continue
		}
		ordered = true
		a.addFinding("At %s a load of %s%s on %s was answered with %q.", a.relativeTime(line.Time), a.Model,
			adapterSuffix(line.Get("adapter")), line.Get("runner"), line.Get("outcome"))
	}
	if a.Model != "" && !ordered {
		a.addFinding("No load of %s was ordered within %v before the request or while it waited.", a.Model, contextBefore)
	}
}

func adapterSuffix(adapter string) string {
	if adapter == "" {
		return ""
	}
	return "/" + adapter
}

// addFailureFindings counts the attempts of other requests that failed on the same runner at
// the same time.
func (a *Account) addFailureFindings(lines []Line) {
	for _, event := range a.Events {
		outcome := event.Get("outcome")
		if event.Message != messageAttempt || outcome != "cut_short" && outcome != "send_failed" {
			continue
		}
		others := 0
		for _, line := range lines {
			isSame := line.Message == messageAttempt && line.Get("runner") == event.Get("runner") &&
				line.Get("outcome") == outcome && line.Get("request") != a.Request
			if distance := line.Time.Sub(event.Time).Abs(); isSame && distance <= sameFailureWindow {
				others++
			}
		}
		if others > 0 {
			a.addFinding("Runner %s ended %d other attempts with the same outcome within %v: the runner failed, not the router.",
				event.Get("runner"), others, sameFailureWindow)
		}
	}
}

// addSlowRunnerFindings reports related runners that were judged slow.
func (a *Account) addSlowRunnerFindings() {
	noted := make(map[string]bool)
	for _, line := range a.Beliefs {
		runner := line.Get("runner")
		isSlow := line.Get("slow") == "true" || line.Get("pauses") == "true"
		if line.Message == messageSpeedJudged && isSlow && !noted[runner] {
			noted[runner] = true
			a.addFinding("Runner %s was judged slow at %s.", runner, a.relativeTime(line.Time))
		}
	}
}

// addLostRunnerFindings reports related runners that were declared lost.
func (a *Account) addLostRunnerFindings() {
	for _, line := range a.Beliefs {
		if line.Message == messageRunnerLost {
			a.addFinding("Runner %s was declared lost at %s after no response for %s: %s routers could not reach it.",
				line.Get("runner"), a.relativeTime(line.Time), line.Get("silent"), line.Get("routers"))
		}
	}
}

// addLeaderFindings reports changes of the leader.
func (a *Account) addLeaderFindings() {
	for _, line := range a.Beliefs {
		if line.Message == messageLeads {
			a.addFinding("The leader changed: %s has led since %s and sends orders after at most another %s.",
				line.Node, a.relativeTime(line.Time), line.Get("orders_in"))
		}
		if line.Message == messageFirstOrderKnown {
			a.addFinding("%s learned that it may send orders %s after it began to lead.", line.Node, line.Get("orders_in"))
		}
	}
}
