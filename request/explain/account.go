package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// contextBefore and contextAfter are the times around a request in which related
	// lines are searched.
	contextBefore = 10 * time.Second
	contextAfter  = time.Second
)

// Account is the history of a request according to the logs.
type Account struct {
	Request string `json:"request"`
	// Arrived is the arrival time by the clock of the router.
	Arrived time.Time `json:"arrived"`
	// Outcome is the outcome in the last line of the request, or empty if it was answered.
	Outcome string `json:"outcome"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Events are the lines of the request, Beliefs the lines related to it.
	Events  []Line `json:"events"`
	Beliefs []Line `json:"beliefs"`
	// Findings are the probable causes of the outcome, as text.
	Findings []string `json:"findings"`
	Clocks   []Clock  `json:"clocks,omitempty"`
}

// Clock describes a process whose clock is behind those of the controllers.
type Clock struct {
	Node string `json:"node"`
	// Behind is a lower bound of the clock difference, in nanoseconds.
	Behind time.Duration `json:"behind_ns"`
}

// Request returns the account of a request from the lines of all logs, which may be in any
// order and are sorted by time. The error has kind ErrorNotFound if no line contains the
// request.
func Request(lines []Line, id string) (*Account, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	account := &Account{Request: id}
	for _, line := range lines {
		if line.Get("request") == id {
			account.addEvent(line)
		}
	}
	if len(account.Events) == 0 {
		return nil, structs.NewError(structs.ErrorNotFound, "no log line contains the request "+id,
			"Provide the logs of all routers. Of the requests answered in time, one in sixteen is logged.")
	}
	account.addRelatedLines(lines)
	account.Clocks = clockSkews(lines)
	account.addFindings(lines)
	return account, nil
}

func (a *Account) addEvent(line Line) {
	a.Events = append(a.Events, line)
	arrived := line.Time.Add(-line.durationField("age"))
	if a.Arrived.IsZero() || arrived.Before(a.Arrived) {
		a.Arrived = arrived
	}
	a.Outcome = line.Get("outcome")
	if model := line.Get("model"); model != "" {
		a.Model, a.Adapter = model, line.Get("adapter")
	}
}

// ended returns the time of the last line of the request.
func (a *Account) ended() time.Time { return a.Events[len(a.Events)-1].Time }

// values returns the distinct values of a field in the lines of the request.
func (a *Account) values(key string) []string {
	var found []string
	for i := range a.Events {
		if value := a.Events[i].Get(key); value != "" && !slices.Contains(found, value) {
			found = append(found, value)
		}
	}
	return found
}

func (a *Account) routers() []string {
	var nodes []string
	for _, event := range a.Events {
		if !slices.Contains(nodes, event.Node) {
			nodes = append(nodes, event.Node)
		}
	}
	return nodes
}

// addRelatedLines adds the lines around the request that concern its runners, its model,
// its tenant, its content, the leader or the lifecycle of its routers.
func (a *Account) addRelatedLines(lines []Line) {
	routers, runners := a.routers(), a.values("runner")
	last := a.Events[len(a.Events)-1]
	tenant, content, suspect := last.Get("tenant"), last.Get("content"), last.Get("suspect")
	for _, line := range lines {
		if isAboutTenant(line, tenant, a.ended()) || a.isAboutContent(line, content) || a.isAboutPart(line, suspect) {
			a.Beliefs = append(a.Beliefs, line)
			continue
		}
		isNear := !line.Time.Before(a.Arrived.Add(-contextBefore)) && !line.Time.After(a.ended().Add(contextAfter))
		if !isNear || line.Get("request") != "" {
			continue
		}
		isRelevant := slices.Contains(runners, line.Get("runner")) ||
			a.Model != "" && line.Get("model") == a.Model ||
			isAboutLeadership(line) || isAboutLifecycle(line) && slices.Contains(routers, line.Node) ||
			a.Model != "" && (strings.Contains(line.Get("models"), a.Model+":") || strings.Contains(line.Get("unmet"), a.Model+":"))
		if isRelevant {
			a.Beliefs = append(a.Beliefs, line)
		}
	}
}

// Log messages that are evaluated.
const (
	messageLeads           = "This controller leads."
	messageStoppedLeading  = "This controller leads no more."
	messageFirstOrderKnown = "The time of the first order is known."
	messageLeaderLost      = "The leader of the controllers is lost."
	messageOrder           = "An order was answered."
	messageAttempt         = "An attempt ended."
	messageDemand          = "The demand is met so."
	messageSpeedJudged     = "A runner's speed was judged."
	messageRunnerLost      = "A runner is taken for lost, as routers could not reach it."
	messagePut             = "A document was put."
	messageInForce         = "A document is in force."
	messageStarts          = "The process starts."
	messageRouterStops     = "The router stops."
	messageLimit           = "A tenant's limit is in force."
	messageTrialOnly       = "A request may crash runners: it is run by permission of the leader only."
	messagePartTrialOnly   = "A part of prompts may crash runners: requests with it are run by permission of the leader only."
	messagePartRefused     = "Requests with a part of a prompt are refused for a while, as runners that ran such requests were lost."
	messageRefused         = "A request is refused for a while, as its trial did not end well."
)

func isAboutLeadership(line Line) bool {
	return line.Message == messageLeads || line.Message == messageFirstOrderKnown || line.Message == messageStoppedLeading || line.Message == messageLeaderLost
}

func isAboutLifecycle(line Line) bool {
	return line.Message == messageStarts || line.Message == messageRouterStops || line.Message == messageInForce
}

// clockSkews returns the processes by whose clocks a document came into force before it was
// put, sorted by node.
func clockSkews(lines []Line) []Clock {
	put := make(map[string]time.Time)
	behind := make(map[string]time.Duration)
	for _, line := range lines {
		// A put is retried if its reply was lost, so the first line counts, whatever its
		// outcome.
		if _, isKnown := put[line.Get("version")]; line.Message == messagePut && !isKnown {
			put[line.Get("version")] = line.Time
		}
	}
	for _, line := range lines {
		at, isKnown := put[line.Get("version")]
		// Routers may receive the document before the line of the put is written.
		const slack = 50 * time.Millisecond
		if line.Message != messageInForce || !isKnown || line.Time.After(at.Add(-slack)) {
			continue
		}
		behind[line.Node] = max(behind[line.Node], at.Sub(line.Time))
	}
	var found []Clock
	for node, by := range behind {
		found = append(found, Clock{node, by})
	}
	slices.SortFunc(found, func(a, b Clock) int { return strings.Compare(a.Node, b.Node) })
	return found
}

// relativeTime formats a time as seconds relative to the arrival of the request.
func (a *Account) relativeTime(at time.Time) string {
	return fmt.Sprintf("%+.3f s", at.Sub(a.Arrived).Seconds())
}
