package domain

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLatestZoneDrainTakesEffect(t *testing.T) {
	c := qt.New(t)
	m := NewMachine()
	for _, step := range []struct {
		order   ZoneDrain
		drained []string
	}{
		{ZoneDrain{"b", true}, []string{"b"}},
		{ZoneDrain{"a", true}, []string{"a", "b"}},
		{ZoneDrain{"b", true}, []string{"a", "b"}},
		{ZoneDrain{"b", false}, []string{"a"}},
		{ZoneDrain{"b", false}, []string{"a"}},
		{ZoneDrain{"a", false}, nil},
		{ZoneDrain{"b", true}, []string{"b"}},
	} {
		apply(c, m, Command{Drain: &step.order})
		c.Assert(m.Drained(), qt.DeepEquals, step.drained)
	}
	c.Assert(m.IsDrained("b"), qt.IsTrue)
	c.Assert(m.IsDrained("a"), qt.IsFalse)
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := NewMachine()
	apply(c, restored, Command{Drain: &ZoneDrain{"x", true}})
	c.Assert(restored.Restore(data), qt.IsNil)
	c.Assert(restored.Equal(m), qt.IsTrue)
	c.Assert(restored.Drained(), qt.DeepEquals, []string{"b"})
}
