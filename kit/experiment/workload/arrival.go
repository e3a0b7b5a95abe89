package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Class identifies a kind of call.
type Class string

// The classes of the generated workloads.
const (
	// ClassEditor is an interactive call from a developer's editor.
	ClassEditor Class = "editor"
	// ClassSearch is an interactive search by a developer.
	ClassSearch Class = "search"
	// ClassReview is a call in a nightly code review batch.
	ClassReview Class = "review"
	// ClassGate is an interactive query from a weighbridge.
	ClassGate Class = "gate"
	// ClassCertificate drafts a certificate of origin.
	ClassCertificate Class = "certificate"
	// ClassPicking summarizes a harvest picking record.
	ClassPicking Class = "picking"
)

// Arrival is a single call in a workload.
type Arrival struct {
	// At is the arrival time at the router, measured from the start of the workload.
	At time.Duration
	// Zone and Router identify the router; Router is its zero-based index in the zone.
	Zone     structs.ZoneID
	Router   int
	Row      structs.RowName
	Class    Class
	Priority structs.Priority
	// PromptTokens and OutputTokens are the prompt and output lengths in tokens.
	PromptTokens int
	OutputTokens int
	// Deadline is the time allowed, from At, for the complete response.
	Deadline time.Duration
}

// Sort sorts arrivals in place by time, then by zone, router and row, so that
// the order is deterministic.
func Sort(arrivals []Arrival) {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int {
		return cmp.Or(
			cmp.Compare(a.At, b.At), cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Router, b.Router), cmp.Compare(a.Row, b.Row),
		)
	})
}

// Shape describes the zones, routers and rows of a site.
type Shape struct {
	Zones          []structs.ZoneID
	RoutersPerZone int
	Rows           []structs.Row
}

// rowsOf returns the names of the rows with the given role.
func (s Shape) rowsOf(role structs.RunnerRole) []structs.RowName {
	var names []structs.RowName
	for _, row := range s.Rows {
		if row.Role == role {
			names = append(names, row.Name)
		}
	}
	return names
}
