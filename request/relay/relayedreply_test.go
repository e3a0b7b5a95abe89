package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/site"
)

// Guards against a document that counts as the newest from later on than its relay knew it to be:
// keys that were revoked in between would be accepted for too long.
func TestRelaysConfirmationCountsFromItsQuestion(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	r := New(Options{Logger: log.NewNopLogger(), Now: func() time.Time { return at }})
	r.adoptDocument(&site.Document{Version: 3})
	arguments := domainapi.WatchArguments{Router: "r", Term: 1}
	asked := at.Add(-500 * time.Millisecond)
	r.adopt(&domainapi.WatchReply{Term: 1, Confirmed: 3, ConfirmedBefore: 200 * time.Millisecond, Age: 250 * time.Millisecond}, &arguments, asked)
	c.Assert(r.confirmedAgo(), qt.Equals, 700*time.Millisecond)
	r.adopt(&domainapi.WatchReply{Term: 1, Confirmed: 3}, &arguments, asked)
	c.Assert(r.confirmedAgo(), qt.Equals, 500*time.Millisecond, qt.Commentf("the leader itself"))
}

// Guards against a zone that is cut off together with its relay and takes the relay's answers for
// contact with the leader.
func TestRelaysSilenceCountsAsTheLeaders(t *testing.T) {
	for name, test := range map[string]struct{ age, want time.Duration }{
		"the leader":        {0, 0},
		"a relay":           {domainapi.RelayHold, 0},
		"a relay cut off":   {domainapi.MirrorTTL, domainapi.MirrorTTL - domainapi.RelayHold},
		"a relay just late": {domainapi.RelayHold + time.Millisecond, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			at := time.Unix(1000, 0)
			r := New(Options{Logger: log.NewNopLogger(), Now: func() time.Time { return at }})
			r.adopt(&domainapi.WatchReply{Term: 1, Routers: 4, Age: test.age}, &domainapi.WatchArguments{}, at)
			qt.Assert(t, at.Sub(r.routerCount.at), qt.Equals, test.want)
		})
	}
}
