package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// On a large site watches without news take the leader a bounded part of its time; no router waits for longer than
// it said.
func TestWatchesAreHeldLongerOnALargeSite(t *testing.T) {
	for name, test := range map[string]struct {
		routers    int
		most, want time.Duration
	}{
		"a small site":                   {3, domainapi.MostHold, domainapi.LeastHold},
		"some hundred routers":           {700, domainapi.MostHold, 700 * time.Millisecond},
		"thousands":                      {5000, domainapi.MostHold, domainapi.MostHold},
		"a router of the version before": {5000, 0, domainapi.LeastHold},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, holdTime(test.routers, test.most), qt.Equals, test.want)
		})
	}
}
