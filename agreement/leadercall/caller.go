package leadercall

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

// Caller calls the leader of a group: it remembers the last known leader, follows
// redirects, and searches among the members. It retries calls, which must therefore
// be idempotent. It is safe for concurrent use.
type Caller struct {
	client *transport.Client
	group  *groupState
	// tryTimeout bounds each attempt; 0 means no limit but that of the context.
	tryTimeout time.Duration
}

// New returns a caller of the group with the given member addresses.
func New(client *transport.Client, addresses []string) *Caller {
	return &Caller{client: client, group: newGroupState(addresses)}
}

// WithTryTimeout returns a caller that shares the addresses, the known leader and the backoff
// with c. Each of its attempts is bounded by the timeout, so that an unresponsive member does
// not use up the deadline of the call.
func (c *Caller) WithTryTimeout(timeout time.Duration) *Caller {
	return &Caller{client: c.client, group: c.group, tryTimeout: timeout}
}

// WithRandom sets the source of the order of members and of the jitter, instead of the global
// source. It must be called before the first call and returns c.
func (c *Caller) WithRandom(random func() uint64) *Caller {
	c.group.setRandom(random)
	return c
}

// SetAddresses replaces the members' addresses.
func (c *Caller) SetAddresses(addresses []string) { c.group.setAddresses(addresses) }

// Addresses returns the members' addresses, which must not be modified.
func (c *Caller) Addresses() []string { return c.group.listed() }

// SuggestLeader tells the caller which member leads, as learned by other means than a call.
// Waiting calls ask it at once. A repeated suggestion does not replace the known leader.
func (c *Caller) SuggestLeader(address string) { c.group.suggestLeader(address) }

func (c *Caller) Client() *transport.Client { return c.client }

// Reply is an RPC reply that can carry a typed error.
type Reply interface {
	Failure() *structs.Error
}

// Call calls method at the group's leader until it replies or ctx ends. newReply returns a
// new reply for each attempt, because a failed call may leave one partially filled.
func Call[R Reply](ctx context.Context, c *Caller, method string, arguments any, newReply func() R) (R, error) {
	var last error
	search := newSearch(c.group)
	for address := search.next(ctx); address != ""; address = search.next(ctx) {
		reply, began := newReply(), time.Now()
		err := c.try(ctx, address, method, arguments, reply)
		if err == nil {
			err = structs.AsError(reply.Failure())
		}
		isCutShort := ctx.Err() != nil && time.Since(began) < c.tryTimeout/2
		leader, isOver := search.record(address, err, isCutShort)
		if isOver {
			return reply, err
		}
		if leader != "" {
			c.client.NoteReachable(leader)
		}
		last = err
	}
	return newReply(), unavailableError(last)
}

func (c *Caller) try(ctx context.Context, address, method string, arguments, reply any) error {
	if c.tryTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.tryTimeout)
		defer cancel()
	}
	return c.client.Call(ctx, address, method, arguments, reply)
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
