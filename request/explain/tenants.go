package explain

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	messageTenantStatus  = "A tenant stands so."
	messageTenantRefused = "A request was refused for its key or limit."
	messageRetryLater    = "A request was told to come back."
)

// Tenant is the last status of a tenant reported by the leader, with the number of its
// requests that routers refused.
type Tenant struct {
	Name string    `json:"tenant"`
	At   time.Time `json:"at"`
	Node string    `json:"leader,omitempty"`
	// Share is the work done for the tenant divided by its fair share.
	Share   float64 `json:"share"`
	Waiting int     `json:"waiting"`
	// Used is the part of the limit granted in the last window, Most the limit for a
	// window, or 0 if there is none.
	Used           int `json:"used"`
	Most           int `json:"most"`
	DrawnPerSecond int `json:"drawn_per_second"`
	// Asked, LimitRefused and Promised are the totals of the leader's decisions in the logs.
	Asked        int `json:"asked"`
	LimitRefused int `json:"limit_refused"`
	Promised     int `json:"promised"`
	// Refused counts the requests refused by routers by outcome, including those not logged.
	Refused map[string]int `json:"refused,omitempty"`
}

// Tenants returns the tenants found in the lines of all logs, which may be in any order,
// sorted by name.
func Tenants(lines []Line) []Tenant {
	byName := make(map[string]*Tenant)
	for i := range lines {
		line := &lines[i]
		name := line.Get("tenant")
		if name == "" {
			continue
		}
		if byName[name] == nil {
			byName[name] = &Tenant{Name: name}
		}
		switch line.Message {
		case messageTenantStatus:
			byName[name].addStatus(line)
		case messageTenantRefused, messageRetryLater:
			byName[name].addRefusals(line)
		}
	}
	var listed []Tenant
	for _, tenant := range byName {
		if !tenant.At.IsZero() || tenant.Refused != nil {
			listed = append(listed, *tenant)
		}
	}
	slices.SortFunc(listed, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })
	return listed
}

func (t *Tenant) addStatus(line *Line) {
	t.Asked += line.intField("asked")
	t.LimitRefused += line.intField("refused")
	t.Promised += line.intField("promised")
	if line.Time.Before(t.At) {
		return
	}
	t.At, t.Node = line.Time, line.Node
	t.Share, _ = strconv.ParseFloat(line.Get("share"), 64)
	t.Waiting, t.Used, t.Most = line.intField("waiting"), line.intField("used"), line.intField("most")
	t.DrawnPerSecond = line.intField("drawn_per_second")
}

func (t *Tenant) addRefusals(line *Line) {
	if t.Refused == nil {
		t.Refused = make(map[string]int)
	}
	t.Refused[line.Get("outcome")] += 1 + line.intField("not_logged")
}

func (l *Line) intField(key string) int {
	number, err := strconv.Atoi(l.Get(key))
	if err != nil {
		return 0
	}
	return number
}
