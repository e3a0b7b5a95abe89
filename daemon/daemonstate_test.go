package daemon

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// TestStatusSaysOfEachDaemonWhatItIsItself stops one of three controllers and checks
// that only that one is reported as unreachable.
func TestStatusSaysOfEachDaemonWhatItIsItself(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		for i := range s.settings {
			s.settings[i].Listen.Operators = "127.0.0.1:0"
		}
		s.start(0, 1, 2)
		s.await("three voters", s.allVotersActive)
		look := func() map[structs.DaemonID]bool {
			status, err := s.running["north-0"].operators.Status(s.ctx)
			c.Assert(err, qt.IsNil)
			reachable := map[structs.DaemonID]bool{}
			for _, entry := range status.Daemons {
				reachable[entry.Daemon] = entry.Reachable
				if entry.Reachable {
					c.Check(entry.Roles, qt.DeepEquals, []string{"controller"})
					c.Check(entry.Address, qt.Equals, "127.0.0.1:0")
					c.Check(entry.TableRevision, qt.Equals, s.running[entry.Daemon].zone.tableRevision())
				}
			}
			return reachable
		}
		c.Check(look(), qt.DeepEquals, map[structs.DaemonID]bool{"north-0": true, "north-1": true, "north-2": true})
		s.kill(2)
		c.Check(look(), qt.DeepEquals, map[structs.DaemonID]bool{"north-0": true, "north-1": true, "north-2": false})
	})
}
