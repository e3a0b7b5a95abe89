package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// Watches without changes must not exhaust the leader's CPU time on large sites, and no
// router is held longer than it allows.
func TestHoldDurationGrowsWithRouters(t *testing.T) {
	for name, test := range map[string]struct {
		routers    int
		most, want time.Duration
	}{
		"a small site":                     {3, domainapi.MaxHold, domainapi.MinHold},
		"some hundred routers":             {700, domainapi.MaxHold, 700 * time.Millisecond},
		"thousands":                        {5000, domainapi.MaxHold, domainapi.MaxHold},
		"a router of the previous release": {5000, 0, domainapi.MinHold},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, holdDuration(test.routers, test.most), qt.Equals, test.want)
		})
	}
}
