package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Class names a kind of call.
type Class string

// The classes of the generated workloads.
const (
	// ClassEditor is a call of a developer who waits in an editor.
	ClassEditor Class = "editor"
	// ClassSearch is a search that a developer waits for.
	ClassSearch Class = "search"
	// ClassReview is a call of an overnight review batch.
	ClassReview Class = "review"
	// ClassGate is a weighbridge clerk's query while lorries wait.
	ClassGate Class = "gate"
	// ClassCertificate is the draft of a certificate of origin.
	ClassCertificate Class = "certificate"
	// ClassPicking is the summary of a picking record.
	ClassPicking Class = "picking"
)

// Arrival is one call.
type Arrival struct {
	// At is when the call reaches a router.
	At time.Duration
	// Zone and Router name that router; routers of a zone are numbered from 0.
	Zone   structs.ZoneID
	Router int
	Row    structs.RowName
	Class  Class
	// Priority is that of the request.
	Priority structs.Priority
	// PromptTokens and OutputTokens are the sizes of prompt and answer.
	PromptTokens int
	OutputTokens int
	// Deadline is how long after At the whole answer is of use.
	Deadline time.Duration
}

// Sort puts arrivals into the order of time; equal times are ordered by zone,
// router and row, so that equal workloads stay equal.
func Sort(arrivals []Arrival) {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int {
		return cmp.Or(
			cmp.Compare(a.At, b.At), cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Router, b.Router), cmp.Compare(a.Row, b.Row),
		)
	})
}

// Shape is what a generator needs to know of a site.
type Shape struct {
	Zones []structs.ZoneID
	// RoutersPerZone is how many routers each zone has.
	RoutersPerZone int
	Rows           []structs.Row
}

// rowsOf returns the names of the rows of the role.
func (s Shape) rowsOf(role structs.RunnerRole) []structs.RowName {
	var names []structs.RowName
	for _, row := range s.Rows {
		if row.Role == role {
			names = append(names, row.Name)
		}
	}
	return names
}
