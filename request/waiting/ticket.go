package waiting

import "time"

// Ticket is one request's worth of waiting. It is made once, when the request arrives, and does
// not change.
type Ticket struct {
	// Tenant is who brings the request, empty where nobody is known by name.
	Tenant string
	// Class names the kind of request: its route.
	Class string
	// Rank is the priority of the tenant or the route; 0 is the most urgent.
	Rank    int
	Arrived time.Time
	// Due is until when the first event, or the answer, is in time.
	Due time.Time
	// Deadline is when the caller has left.
	Deadline time.Time
	// Prompt and Answer are how many tokens the prompt has, and the most that the answer may
	// have; 0 if the request does not say.
	Prompt int64
	Answer int64
}

// Slack is how much longer the request may wait and still be in time, if it takes so long
// from when it is let in to its first event. It is below 0 for one that is late.
func (t Ticket) Slack(now time.Time, firstEvent time.Duration) time.Duration {
	return t.Due.Sub(now) - firstEvent
}

// Work is the work that the request asks for, in tokens.
func (t Ticket) Work() int64 { return t.Prompt + t.Answer }
