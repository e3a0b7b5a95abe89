package versions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a version that is used while a router may take another one for the only one, and one that is held back for longer than
// a router can.
func TestVersionIsHeldBackUntilRoutersKnowIt(t *testing.T) {
	key, other := Key{"s", "v2"}, Key{"s", "v3"}
	lease := CertainTime + certainMargin
	for name, test := range map[string]struct {
		// begunAfter and askedAfter are counted from the start of the leadership, known is the revision that all routers have.
		begunAfter, askedAfter time.Duration
		known                  uint64
		isPending              bool
	}{
		"all routers know it":                        {time.Minute, time.Minute, 7, false},
		"all routers know more":                      {time.Minute, time.Minute, 8, false},
		"a router does not know it":                  {time.Minute, time.Minute + lease - 1, 6, true},
		"a router has not known it for too long":     {time.Minute, time.Minute + lease, 6, false},
		"routers of the leader before may not know":  {0, lease - 1, 7, true},
		"routers of the leader before have lost it":  {0, lease, 7, false},
		"begun late, the leader before is forgotten": {lease - time.Second, lease, 7, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			held := NewIntroductions(start)
			held.Begin(start.Add(test.begunAfter), key, 7)
			c.Assert(held.IsPending(key), qt.IsTrue)
			c.Assert(held.Awaited(), qt.Equals, uint64(7))
			held.Begin(start.Add(test.askedAfter), key, 9)
			held.End(start.Add(test.askedAfter), test.known)
			c.Assert(held.IsPending(key), qt.Equals, test.isPending)
			c.Assert(held.IsPending(other), qt.IsFalse)
		})
	}
}
