// Package leadercall calls the leader of a raft group from any process.
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

// RetryPause separates two rounds over the members of a group.
const RetryPause = 50 * time.Millisecond

// Caller calls the leader of a group from any daemon: it remembers who led, follows
// redirections, and tries the other members in turn. It is only used for calls that
// may be repeated.
type Caller struct {
	client *transport.Client

	mutex sync.Mutex
	// addresses are those of the members, as far as they are known.
	addresses []string
	leader    string
	// tryTimeout bounds one call; 0 leaves it to the caller's context.
	tryTimeout time.Duration
}

// New makes a caller of the group whose members are reached at the addresses.
func New(client *transport.Client, addresses []string) *Caller {
	return &Caller{client: client, addresses: addresses}
}

// WithTryTimeout bounds each single call, so that one silent member does not use up
// the time of a call that another could answer.
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

// Addresses returns the members' addresses, which must not be changed.
func (c *Caller) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.addresses
}

// Client returns what the calls are made with.
func (c *Caller) Client() *transport.Client { return c.client }

// Reply is a reply that carries a typed error.
type Reply interface {
	Failure() *structs.Error
}

// Call calls method at the group's leader until it answers or ctx ends. newReply
// makes a fresh reply for each try, because a failed call may leave one half filled.
func Call[R Reply](ctx context.Context, c *Caller, method string, arguments any, newReply func() R) (R, error) {
	var last error
	for {
		round := newRound(c.Addresses())
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
		if !pause.For(ctx, RetryPause) {
			return newReply(), unavailable(last)
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

func (c *Caller) knownLeader() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leader
}

// retryElsewhere notes what the outcome says of the leader and reports whether
// another member should be asked.
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

// Unique merges lists of addresses in their order, each address once.
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
