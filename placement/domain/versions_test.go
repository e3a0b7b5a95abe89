package domain

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/versions"
)

// A software version must outlive its runners: streams that they began may still be taken up when a new leader begins.
func TestVersionsOutliveTheirRunners(t *testing.T) {
	c := qt.New(t)
	m := NewMachine()
	register := func(instance, version string) {
		apply(c, m, Command{Registrations: []Registration{{Instance: instance, Service: "s", Address: instance, Version: version}}})
	}
	register("a", "v2")
	register("b", "v1")
	register("c", "v1")
	register("d", "")
	want := []versions.Key{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}}
	apply(c, m, Command{Depart: &Departure{Instance: "a", Gone: true}, Silent: []string{"b"}})
	c.Assert(m.Versions(), qt.DeepEquals, want)
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := NewMachine()
	c.Assert(restored.Restore(data), qt.IsNil)
	c.Assert(restored.Equal(m), qt.IsTrue)
	apply(c, m, Command{Retired: []versions.Key{{Service: "s", Version: "v2"}, {Service: "s", Version: "other"}}})
	c.Assert(m.Versions(), qt.DeepEquals, want[:1])
	c.Assert(restored.Equal(m), qt.IsFalse)
}
