package explain

import (
	"fmt"
	"time"
)

const (
	// longWait is the waiting for a runner that makes an answer late by itself.
	longWait = 300 * time.Millisecond
	// sameMoment is how close attempts that one fault ended lie together.
	sameMoment = 100 * time.Millisecond
)

// find says what the lines point to.
func (a *Account) find(lines []Line) {
	last := a.Events[len(a.Events)-1]
	waited := last.duration("waited")
	switch {
	case a.Outcome == "no_runner", a.Outcome == "router_stops", waited >= longWait:
		a.findLoads()
	case a.Outcome == "retry_budget":
		a.note("The runner's failure was passed on, as the budget of repeated requests was used up.")
	case a.Outcome == "timeout", a.Outcome == "silent":
		a.note("The runner did not answer in time; the lines about it, if there are any, are below.")
	case last.duration("pause") >= longWait:
		a.note("The stream paused for %v.", last.duration("pause"))
	}
	a.findTenant()
	a.findContent()
	a.findBreaks(lines)
	a.findSlow()
	a.findLost()
	a.findLeaders()
}

func (a *Account) note(format string, arguments ...any) {
	a.Findings = append(a.Findings, fmt.Sprintf(format, arguments...))
}

// findLoads says what the leader did about the model that the request waited for.
func (a *Account) findLoads() {
	ordered := false
	for _, line := range a.Beliefs {
		isLoad := line.Message == messageOrder && line.Get("operation") == "load" && line.Get("model") == a.Model
		if !isLoad || line.Get("adapter") != "" && line.Get("adapter") != a.Adapter {
			continue
		}
		ordered = true
		a.note("At %s a load of %s%s on %s was answered with %q.", a.since(line.Time), a.Model,
			adapterSuffix(line.Get("adapter")), line.Get("runner"), line.Get("outcome"))
	}
	if a.Model != "" && !ordered {
		a.note("No load of %s was ordered within %v before the request nor while it waited.", a.Model, before)
	}
}

func adapterSuffix(adapter string) string {
	if adapter == "" {
		return ""
	}
	return "/" + adapter
}

// findBreaks counts the other requests that the same runner broke off at the same time.
func (a *Account) findBreaks(lines []Line) {
	for _, event := range a.Events {
		outcome := event.Get("outcome")
		if event.Message != messageAttempt || outcome != "cut_short" && outcome != "send_failed" {
			continue
		}
		others := 0
		for _, line := range lines {
			isSame := line.Message == messageAttempt && line.Get("runner") == event.Get("runner") &&
				line.Get("outcome") == outcome && line.Get("request") != a.Request
			if distance := line.Time.Sub(event.Time).Abs(); isSame && distance <= sameMoment {
				others++
			}
		}
		if others > 0 {
			a.note("Runner %s ended %d other attempts so within %v: the runner failed, not the router.",
				event.Get("runner"), others, sameMoment)
		}
	}
}

// findSlow says which of the request's runners were believed to be slow.
func (a *Account) findSlow() {
	noted := make(map[string]bool)
	for _, line := range a.Beliefs {
		runner := line.Get("runner")
		isSlow := line.Get("slow") == "true" || line.Get("pauses") == "true"
		if line.Message == messageJudged && isSlow && !noted[runner] {
			noted[runner] = true
			a.note("Runner %s was judged slow at %s.", runner, a.since(line.Time))
		}
	}
}

// findLost says which of the request's runners were taken for lost.
func (a *Account) findLost() {
	for _, line := range a.Beliefs {
		if line.Message == messageRunnerLost {
			a.note("Runner %s was taken for lost at %s, silent for %s: %s routers could not reach it.",
				line.Get("runner"), a.since(line.Time), line.Get("silent"), line.Get("routers"))
		}
	}
}

// findLeaders says when the leader changed.
func (a *Account) findLeaders() {
	for _, line := range a.Beliefs {
		if line.Message == messageLeads {
			a.note("The leader changed: %s leads from %s, and sends orders after another %s at the latest.",
				line.Node, a.since(line.Time), line.Get("orders_in"))
		}
		if line.Message == messageOrdersFrom {
			a.note("%s learned that it may send orders %s after it began to lead.", line.Node, line.Get("orders_in"))
		}
	}
}
