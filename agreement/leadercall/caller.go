// Package leadercall calls the leader of a Raft group from any process.
package leadercall

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

// RetryDelay is the delay between two rounds of attempts at all members.
const RetryDelay = 50 * time.Millisecond

// Caller calls the leader of a group: it remembers the last known leader, follows
// redirects, and tries the other members in order. It retries calls, which must therefore
// be idempotent.
type Caller struct {
	client *transport.Client

	mutex sync.Mutex
	// addresses are the known addresses of the members.
	addresses []string
	leader    string
	// tryTimeout bounds each attempt; 0 means no limit but that of the context.
	tryTimeout time.Duration
}

// New returns a caller of the group with the given member addresses.
func New(client *transport.Client, addresses []string) *Caller {
	return &Caller{client: client, addresses: addresses}
}

// WithTryTimeout sets the timeout of each attempt, so that an unresponsive member does not
// use up the deadline of the call. It returns c.
func (c *Caller) WithTryTimeout(timeout time.Duration) *Caller {
	c.tryTimeout = timeout
	return c
}

// SetAddresses replaces the members' addresses.
func (c *Caller) SetAddresses(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addresses = slices.Clone(addresses)
}

// Addresses returns the members' addresses, which must not be modified.
func (c *Caller) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.addresses
}

func (c *Caller) Client() *transport.Client { return c.client }

// Reply is an RPC reply that can carry a typed error.
type Reply interface {
	Failure() *structs.Error
}

// Call calls method at the group's leader until it replies or ctx ends. newReply returns a
// new reply for each attempt, because a failed call may leave one partially filled.
func Call[R Reply](ctx context.Context, c *Caller, method string, arguments any, newReply func() R) (R, error) {
	var last error
	for {
		round := newAttemptRound(c.Addresses())
		for address := round.next(c.knownLeader()); address != ""; address = round.next(c.knownLeader()) {
			reply := newReply()
			err := c.try(ctx, address, method, arguments, reply)
			if err == nil {
				err = structs.AsError(reply.Failure())
			}
			if !c.retryElsewhere(address, err) {
				return reply, err
			}
			last = err
		}
		if !pause.For(ctx, RetryDelay) {
			return newReply(), unavailableError(last)
		}
	}
}

func (c *Caller) try(ctx context.Context, address, method string, arguments, reply any) error {
	if c.tryTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.tryTimeout)
		defer cancel()
	}
	return c.client.Call(ctx, address, method, arguments, reply)
}

// attemptRound tracks the addresses tried in one attemptRound: the known leader first, then the
// other members.
type attemptRound struct {
	addresses []string
	tried     map[string]bool
}

func newAttemptRound(addresses []string) *attemptRound {
	return &attemptRound{addresses: addresses, tried: make(map[string]bool, len(addresses))}
}

// next returns the next address to try, or "" if all were tried.
func (r *attemptRound) next(leader string) string {
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

func (c *Caller) knownLeader() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leader
}

// retryElsewhere updates the known leader from the result of an attempt and reports
// whether to try another member.
func (c *Caller) retryElsewhere(address string, err error) bool {
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
		if c.leader != "" {
			c.client.NoteReachable(c.leader)
		}
		return true
	case structs.ErrorUnavailable, structs.ErrorDeadline:
		if c.leader == address {
			c.leader = ""
		}
		return true
	}
	return false
}

func unavailableError(cause error) *structs.Error {
	message := "no member of the group replied in time"
	if cause != nil {
		message += " (" + cause.Error() + ")"
	}
	failure := structs.NewError(structs.ErrorUnavailable, message, "Check that a majority of the group's members is running and reachable, then retry.")
	failure.RetryAfter = time.Second
	return failure
}

// Unique concatenates lists of addresses without duplicates, in order of first occurrence.
func Unique(lists ...[]string) []string {
	seen := make(map[string]bool)
	var addresses []string
	for _, list := range lists {
		for _, address := range list {
			if !seen[address] {
				seen[address] = true
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}
