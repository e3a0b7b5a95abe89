package explain

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	messageTenant    = "A tenant stands so."
	messageOverLimit = "A request was refused for its key or limit."
	messageComeBack  = "A request was told to come back."
)

// Tenant is how a tenant stood when the leader last told of it, and how many of its requests
// routers said that they refused, by outcome.
type Tenant struct {
	Name string    `json:"tenant"`
	At   time.Time `json:"at"`
	Node string    `json:"leader,omitempty"`
	// Share is the work done for it over its share of all: 1 for all of it and no more.
	Share   float64 `json:"share"`
	Waiting int     `json:"waiting"`
	// Used is what was granted of its limit in the last window, of Most; Most is 0 for one without
	// a limit.
	Used           int `json:"used"`
	Most           int `json:"most"`
	DrawnPerSecond int `json:"drawn_per_second"`
	// Asked, LimitRefused and Promised count what the leader decided on in all that was read.
	Asked        int `json:"asked"`
	LimitRefused int `json:"limit_refused"`
	Promised     int `json:"promised"`
	// Refused counts what routers refused, by outcome; lines that they did not write included.
	Refused map[string]int `json:"refused,omitempty"`
}

// Tenants lists how tenants stand by the lines of all logs, in any order, by name.
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
		case messageTenant:
			byName[name].stand(line)
		case messageOverLimit, messageComeBack:
			byName[name].refuse(line)
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

func (t *Tenant) stand(line *Line) {
	t.Asked += line.number("asked")
	t.LimitRefused += line.number("refused")
	t.Promised += line.number("promised")
	if line.Time.Before(t.At) {
		return
	}
	t.At, t.Node = line.Time, line.Node
	t.Share, _ = strconv.ParseFloat(line.Get("share"), 64)
	t.Waiting, t.Used, t.Most = line.number("waiting"), line.number("used"), line.number("most")
	t.DrawnPerSecond = line.number("drawn_per_second")
}

func (t *Tenant) refuse(line *Line) {
	if t.Refused == nil {
		t.Refused = make(map[string]int)
	}
	t.Refused[line.Get("outcome")] += 1 + line.number("not_logged")
}

func (l *Line) number(key string) int {
	number, err := strconv.Atoi(l.Get(key))
	if err != nil {
		return 0
	}
	return number
}
