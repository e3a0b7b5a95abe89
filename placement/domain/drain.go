package domain

import (
	"maps"
	"slices"
	"strings"
)

// ZoneDrain is an operator's order that the runners of a zone get no new requests, or its withdrawal.
// The last one in the log holds.
type ZoneDrain struct {
	Zone string
	// IsDrained is false for a withdrawal.
	IsDrained bool
}

// maxDrained bounds the zones that are drained at a time, far above what a site has.
const maxDrained = 256

// drain takes an operator's order about a zone.
func (m *Machine) drain(order ZoneDrain) {
	switch {
	case !order.IsDrained:
		delete(m.drained, order.Zone)
	case len(m.drained) < maxDrained:
		m.drained[order.Zone] = struct{}{}
	}
}

// IsDrained reports whether the runners of a zone get no new requests.
func (m *Machine) IsDrained(zone string) bool {
	_, isDrained := m.drained[zone]
	return isDrained
}

// Drained lists the zones whose runners get no new requests, sorted.
func (m *Machine) Drained() []string {
	return slices.SortedFunc(maps.Keys(m.drained), strings.Compare)
}

// restoreDrained takes the drained zones of a snapshot.
func (m *Machine) restoreDrained(zones []string) {
	clear(m.drained)
	for _, zone := range zones {
		m.drained[zone] = struct{}{}
	}
}
