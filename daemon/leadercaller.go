package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/pause"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/lotusferry/lotusferry/transport"
)

// retryPause separates two rounds over the members of a group.
const retryPause = 50 * time.Millisecond

// leaderCaller calls the leader of a group from any daemon: it remembers who
// led, follows redirections, and tries the other members in turn. It is only
// used for calls that may be repeated.
type leaderCaller struct {
	client    *transport.Client
	addresses []string

	mutex  sync.Mutex
	leader string
}

func newLeaderCaller(client *transport.Client, addresses []string) *leaderCaller {
	return &leaderCaller{client: client, addresses: addresses}
}

// errorReply is a reply that carries a typed error.
type errorReply interface {
	failure() *structs.Error
}

func (r *GlobalReply) failure() *structs.Error       { return r.Error }
func (r *DeltaReply) failure() *structs.Error        { return r.Error }
func (r *TableReply) failure() *structs.Error        { return r.Error }
func (r *CheckReply) failure() *structs.Error        { return r.Error }
func (r *HistoryReply) failure() *structs.Error      { return r.Error }
func (r *GlobalStatusReply) failure() *structs.Error { return r.Error }
func (r *SaveReply) failure() *structs.Error         { return r.Error }
func (r *ZoneReply) failure() *structs.Error         { return r.Error }
func (r *ViewReply) failure() *structs.Error         { return r.Error }
func (r *DemandReply) failure() *structs.Error       { return r.Error }
func (r *ReportsReply) failure() *structs.Error      { return r.Error }
func (r *ZoneStatusReply) failure() *structs.Error   { return r.Error }

// callLeader calls method at the group's leader until it answers or ctx ends.
// newReply makes a fresh reply for each try, because a failed call may leave one
// half filled.
func callLeader[Reply errorReply](ctx context.Context, c *leaderCaller, method string, arguments any, newReply func() Reply) (Reply, error) {
	var last error
	for {
		round := newRound(c.addresses)
		for address := round.next(c.knownLeader()); address != ""; address = round.next(c.knownLeader()) {
			reply := newReply()
			err := c.client.Call(ctx, address, method, arguments, reply)
			if err == nil {
				err = asError(reply.failure())
			}
			if !c.retryElsewhere(address, err) {
				return reply, err
			}
			last = err
		}
		if !pause.For(ctx, retryPause) {
			return newReply(), unavailable(last)
		}
	}
}

// round tries each member once: the known leader first.
type round struct {
	addresses []string
	tried     map[string]bool
}

func newRound(addresses []string) *round {
	return &round{addresses: addresses, tried: make(map[string]bool, len(addresses))}
}

// next returns the next address to try, or "" when all were tried.
func (r *round) next(leader string) string {
	if leader != "" && !r.tried[leader] {
		r.tried[leader] = true
		return leader
	}
	for _, address := range r.addresses {
		if !r.tried[address] {
			r.tried[address] = true
			return address
		}
	}
	return ""
}

func (c *leaderCaller) knownLeader() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leader
}

// retryElsewhere notes what the outcome says of the leader and reports whether
// another member should be asked.
func (c *leaderCaller) retryElsewhere(address string, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil {
		c.leader = address
		return false
	}
	var typed *structs.Error
	if !errors.As(err, &typed) {
		return false
	}
	switch typed.Kind {
	case structs.ErrorNotLeader:
		c.leader = typed.Leader
		return true
	case structs.ErrorUnavailable, structs.ErrorDeadline:
		if c.leader == address {
			c.leader = ""
		}
		return true
	}
	return false
}

func unavailable(cause error) *structs.Error {
	message := "no member of the group answered in time"
	if cause != nil {
		message += " (" + cause.Error() + ")"
	}
	refusal := structs.NewError(structs.ErrorUnavailable, message, "Check that a majority of the group's members runs and is reachable, then send it again.")
	refusal.RetryAfter = time.Second
	return refusal
}

// asError turns a typed error into an error without making a nil one non-nil.
func asError(typed *structs.Error) error {
	if typed == nil {
		return nil
	}
	return typed
}

// asTyped gives the typed error in err's chain, or wraps err as an internal one.
func asTyped(err error) *structs.Error {
	if err == nil {
		return nil
	}
	var typed *structs.Error
	if errors.As(err, &typed) {
		return typed
	}
	return structs.NewError(structs.ErrorInternal, err.Error(), "Look in the daemon's log for the cause, then send it again.")
}
