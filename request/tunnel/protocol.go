package tunnel

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// statusPath is the path of a peer's Status, noticePath the one to which a Notice is sent.
	statusPath = "/status"
	noticePath = "/notice"
	// statusInterval is the interval between the lines of a Status, and statusTimeout the time without one
	// after which the peer counts as lost.
	statusInterval = 250 * time.Millisecond
	statusTimeout  = 800 * time.Millisecond
	// peerTimeout bounds the connect to a peer, and targetTimeout the peer's answer, for which it may have to
	// wait for its own connect to the runner.
	peerTimeout   = 300 * time.Millisecond
	targetTimeout = 700 * time.Millisecond
	// noticeTimeout bounds the sending of a Notice.
	noticeTimeout = time.Second
)

// Notice is what a runner said of itself in an answer to a request that the peer's machine sent, its own or one through
// a tunnel: the runner cannot tell them apart.
type Notice struct {
	// Runner is the address of the runner, and Instance its incarnation: another may have the address by now.
	Runner   string
	Instance string
	// Cooldown is for how much longer the runner wants no requests of that machine; 0 for no cooldown.
	Cooldown time.Duration
	// IsLeaving is set if the runner takes no requests any more.
	IsLeaving bool
}

// Status is what a peer says of itself.
type Status struct {
	// IsStopping is set while the peer shuts down, IsBusy while it has no room for more tunnels.
	IsStopping bool
	IsBusy     bool
	// Lost are the zones of which the peer reaches no runner.
	Lost []structs.ZoneID
	// Notices are those that are in force at the peer's machine. Peers of the version before send none.
	Notices []Notice
}

// Cause says why there is no tunnel.
type Cause uint8

// Causes.
const (
	// CausePeer means that the peer was not reached or sent no valid answer.
	CausePeer Cause = iota + 1
	// CauseRejected means that the peer accepts no tunnel to the runner at present.
	CauseRejected
	// CauseRunner means that the peer does not reach or know the runner.
	CauseRunner
)

// String returns the cause as shown in logs and metrics.
func (c Cause) String() string {
	switch c {
	case CausePeer:
		return "peer_unreachable"
	case CauseRejected:
		return "peer_rejects"
	case CauseRunner:
		return "runner_unreachable"
	}
	return "unknown"
}

// Error is the reason why there is no tunnel. Nothing has been sent to the runner.
type Error struct {
	Peer  string
	Cause Cause
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("tunnel through %s: %s: %v", e.Peer, e.Cause, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
