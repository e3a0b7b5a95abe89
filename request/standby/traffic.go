package standby

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// linkShare is the share of a standby's link that the copies of all routers may use together.
	linkShare = 0.1
	// burst is how much of a router's share may be saved up.
	burst = time.Second
	// bytesPerSecond converts megabits per second.
	bytesPerSecond = 1e6 / 8
)

// Traffic bounds the bytes of the copies that a router begins to each standby. A copy may be much
// larger than the router's share of a second. It may then begin if no earlier copy exceeds the share,
// and later ones wait until the share has made up for it. Create one with NewTraffic.
type Traffic struct{ accounts map[structs.RunnerID]*account }

// account is the number of bytes that may be sent to a standby; negative after a large copy.
type account struct {
	left float64
	at   time.Time
}

// NewTraffic returns a Traffic without copies.
func NewTraffic() *Traffic { return &Traffic{accounts: make(map[structs.RunnerID]*account)} }

// Share returns the bytes per second that one of the routers may send to a standby.
func Share(linkMbps float64, routers int) float64 {
	if linkMbps <= 0 || routers <= 0 {
		return 0
	}
	return linkMbps * bytesPerSecond * linkShare / float64(routers)
}

// MayBegin reports whether a copy to the standby may begin. share is the result of Share.
func (t *Traffic) MayBegin(now time.Time, to structs.RunnerID, share float64) bool {
	if share <= 0 {
		return false
	}
	known := t.accounts[to]
	return known == nil || known.leftAt(now, share) > 0
}

// Begin counts the bytes of a copy that begins.
func (t *Traffic) Begin(now time.Time, to structs.RunnerID, share, bytes float64) {
	known := t.accounts[to]
	if known == nil {
		known = &account{left: share * burst.Seconds(), at: now}
		t.accounts[to] = known
	}
	known.left, known.at = known.leftAt(now, share)-bytes, now
}

// Forget drops the account of a runner that is gone.
func (t *Traffic) Forget(runner structs.RunnerID) { delete(t.accounts, runner) }

func (a *account) leftAt(now time.Time, share float64) float64 {
	return min(share*burst.Seconds(), a.left+share*max(0, now.Sub(a.at).Seconds()))
}
