package domain

import (
	"maps"
	"slices"
	"strings"
)

// ZoneDrain is an operator's order to start or end the drain of a zone. The runners of
// a drained zone get no new requests. The latest order in the log takes effect.
type ZoneDrain struct {
	Zone string
	// IsDrained is false to end the drain.
	IsDrained bool
}

// maxDrained bounds the zones drained at the same time.
const maxDrained = 256

func (m *Machine) setDrain(order ZoneDrain) {
	switch {
	case !order.IsDrained:
		delete(m.drained, order.Zone)
	case len(m.drained) < maxDrained:
		m.drained[order.Zone] = struct{}{}
	}
}

// IsDrained reports whether a zone is drained.
func (m *Machine) IsDrained(zone string) bool {
	_, isDrained := m.drained[zone]
	return isDrained
}

// Drained returns the drained zones, sorted.
func (m *Machine) Drained() []string {
	return slices.SortedFunc(maps.Keys(m.drained), strings.Compare)
}

// restoreDrained replaces the drained zones by those of a snapshot.
func (m *Machine) restoreDrained(zones []string) {
	clear(m.drained)
	for _, zone := range zones {
		m.drained[zone] = struct{}{}
	}
}
