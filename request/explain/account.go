package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// before and after are how far beliefs are looked for around a request.
	before = 10 * time.Second
	after  = time.Second
)

// Account is what the logs tell of a request.
type Account struct {
	Request string `json:"request"`
	// Arrived is when it came, by the clock of its router.
	Arrived time.Time `json:"arrived"`
	// Outcome is that of its last line; empty if it was answered.
	Outcome string `json:"outcome"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Events are the request's own lines, Beliefs those around it that bear on it.
	Events  []Line `json:"events"`
	Beliefs []Line `json:"beliefs"`
	// Findings are what they point to, in plain words.
	Findings []string `json:"findings"`
	Clocks   []Clock  `json:"clocks,omitempty"`
}

// Clock says that the clock of a process is behind those of the controllers.
type Clock struct {
	Node string `json:"node"`
	// Behind is by how much at least, in nanoseconds.
	Behind time.Duration `json:"behind_ns"`
}

// Request gives an account of a request from the lines of all logs, in any order. The
// error is of kind ErrorNotFound if no line names it.
func Request(lines []Line, id string) (*Account, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	account := &Account{Request: id}
	for _, line := range lines {
		if line.Get("request") == id {
			account.addEvent(line)
		}
	}
	if len(account.Events) == 0 {
		return nil, structs.NewError(structs.ErrorNotFound, "no line names the request "+id,
			"Give the logs of all routers. Of requests that were answered in time, one in sixteen is logged.")
	}
	account.addBeliefs(lines)
	account.Clocks = clocks(lines)
	account.find(lines)
	return account, nil
}

func (a *Account) addEvent(line Line) {
	a.Events = append(a.Events, line)
	arrived := line.Time.Add(-line.duration("age"))
	if a.Arrived.IsZero() || arrived.Before(a.Arrived) {
		a.Arrived = arrived
	}
	a.Outcome = line.Get("outcome")
	if model := line.Get("model"); model != "" {
		a.Model, a.Adapter = model, line.Get("adapter")
	}
}

// ended is when the last line of the request was written.
func (a *Account) ended() time.Time { return a.Events[len(a.Events)-1].Time }

// values lists the values of a field over the request's lines.
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

// addBeliefs keeps the lines around the request that are about its runners, its model, the
// leader, or the life of its routers.
func (a *Account) addBeliefs(lines []Line) {
	routers, runners := a.routers(), a.values("runner")
	last := a.Events[len(a.Events)-1]
	tenant, content := last.Get("tenant"), last.Get("content")
	for _, line := range lines {
		if isAboutTenant(line, tenant, a.ended()) || a.isAboutContent(line, content) {
			a.Beliefs = append(a.Beliefs, line)
			continue
		}
		isNear := !line.Time.Before(a.Arrived.Add(-before)) && !line.Time.After(a.ended().Add(after))
		if !isNear || line.Get("request") != "" {
			continue
		}
		bears := slices.Contains(runners, line.Get("runner")) ||
			a.Model != "" && line.Get("model") == a.Model ||
			isAboutLeader(line) || isAboutLife(line) && slices.Contains(routers, line.Node) ||
			a.Model != "" && (strings.Contains(line.Get("models"), a.Model+":") || strings.Contains(line.Get("unmet"), a.Model+":"))
		if bears {
			a.Beliefs = append(a.Beliefs, line)
		}
	}
}

// The messages that an account knows.
const (
	messageLeads       = "This controller leads."
	messageLeadsNoMore = "This controller leads no more."
	messageOrdersFrom  = "The time of the first order is known."
	messageLost        = "The leader of the controllers is lost."
	messageOrder       = "An order was answered."
	messageAttempt     = "An attempt ended."
	messageDemand      = "The demand is met so."
	messageJudged      = "A runner's speed was judged."
	messageRunnerLost  = "A runner is taken for lost, as routers could not reach it."
	messagePut         = "A document was put."
	messageInForce     = "A document is in force."
	messageStarts      = "The process starts."
	messageRouterStops = "The router stops."
	messageLimit       = "A tenant's limit is in force."
	messageSuspect     = "A request may crash runners: it is run by permission of the leader only."
	messageRefused     = "A request is refused for a while, as its trial did not end well."
)

func isAboutLeader(line Line) bool {
	return line.Message == messageLeads || line.Message == messageOrdersFrom || line.Message == messageLeadsNoMore || line.Message == messageLost
}

func isAboutLife(line Line) bool {
	return line.Message == messageStarts || line.Message == messageRouterStops || line.Message == messageInForce
}

// clocks compares when documents came into force with when they were put.
func clocks(lines []Line) []Clock {
	put := make(map[string]time.Time)
	behind := make(map[string]time.Duration)
	for _, line := range lines {
		// Lines are in the order of time. A document is sent again when its answer was lost,
		// so that the first line counts, whatever it says of the outcome.
		if _, isKnown := put[line.Get("version")]; line.Message == messagePut && !isKnown {
			put[line.Get("version")] = line.Time
		}
	}
	for _, line := range lines {
		at, isKnown := put[line.Get("version")]
		// The line of a put is written after routers may have the document.
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

// since writes a time as seconds after the request's arrival.
func (a *Account) since(at time.Time) string {
	return fmt.Sprintf("%+.3f s", at.Sub(a.Arrived).Seconds())
}
