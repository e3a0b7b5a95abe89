package waiting

import "time"

// Ticket describes one request for queueing. It is created when the request arrives and does
// not change.
type Ticket struct {
	// Tenant is the name of the tenant; empty if unknown.
	Tenant string
	// Class is the route of the request.
	Class string
	// Rank is the priority of the tenant or the route; 0 is the most urgent.
	Rank    int
	Arrived time.Time
	// Due is the objective for the first event, or for the answer.
	Due time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Prompt and Answer are the number of prompt tokens and the maximum number of answer tokens;
	// 0 if unknown.
	Prompt int64
	Answer int64
}

// Slack returns how much longer the request may wait and still meet Due, if its first event
// takes the given time after admission. It is negative for a late request.
func (t Ticket) Slack(now time.Time, firstEvent time.Duration) time.Duration {
	return t.Due.Sub(now) - firstEvent
}

// Work returns the work of the request in tokens.
func (t Ticket) Work() int64 { return t.Prompt + t.Answer }
