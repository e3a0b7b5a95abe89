package operatorapi

import (
	"context"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"github.com/lotusferry/lotusferry/structs"
)

// MemberAction is a change of a group's membership.
type MemberAction string

// The actions on members.
const (
	// MemberAdd adds a daemon as a learner; it is promoted once it has the whole log.
	MemberAdd MemberAction = "add"
	// MemberPromote makes a learner that has the whole log a voter.
	MemberPromote MemberAction = "promote"
	// MemberRemove takes a daemon out of the group.
	MemberRemove MemberAction = "remove"
)

// MemberChange asks for one change of a group's membership.
type MemberChange struct {
	// Group is "global", or "zone-" and the zone's ID.
	Group  string           `json:"group"`
	Action MemberAction     `json:"action"`
	Daemon structs.DaemonID `json:"daemon"`
	// Address is the daemon's internal address (IP:port); for MemberAdd only.
	Address string `json:"address,omitempty"`
}

// MemberStatus is one member of a group as the group's leader sees it.
type MemberStatus struct {
	Daemon  structs.DaemonID `json:"daemon"`
	Node    uint64           `json:"node"`
	Address string           `json:"address"`
	Voter   bool             `json:"voter"`
	Leader  bool             `json:"leader"`
	// Active is false when the member has not answered for an election timeout.
	Active bool `json:"active"`
	// Match is the index up to which the member is known to hold the log.
	Match uint64 `json:"match"`
}

// GroupMembers is the membership of one group.
type GroupMembers struct {
	Group string `json:"group"`
	Term  uint64 `json:"term"`
	// Applied is the leader's applied index.
	Applied uint64         `json:"applied"`
	Members []MemberStatus `json:"members"`
	// Problem says why the group could not be asked; the rest is empty then.
	Problem string `json:"problem,omitempty"`
}

// membersBody wraps the groups, so that fields can be added later.
type membersBody struct {
	Groups []GroupMembers `json:"groups"`
}

func membersEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) {
		groups, err := service.Members(ctx)
		return membersBody{Groups: groups}, err
	}
}

func changeMemberEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return emptyRequest{}, service.ChangeMember(ctx, request.(MemberChange))
	}
}

func decodeMemberChange(_ context.Context, request *http.Request) (any, error) {
	var change MemberChange
	if err := decodeBody(request.Body, &change); err != nil {
		return nil, err
	}
	switch change.Action {
	case MemberAdd, MemberPromote, MemberRemove:
	default:
		return nil, invalid("the action on a member is not known", "Ask for add, promote or remove.")
	}
	if change.Group == "" || change.Daemon == "" {
		return nil, invalid("the change names no group or no daemon", "Name both as `lotusferryctl member list` does.")
	}
	if change.Action == MemberAdd && change.Address == "" {
		return nil, invalid("the new member has no address", "Give the internal address of the daemon.")
	}
	return change, nil
}

// Members implements Service.
func (c *Client) Members(ctx context.Context) ([]GroupMembers, error) {
	var body membersBody
	err := c.call(ctx, call{method: http.MethodGet, path: pathMembers}, decodeInto(&body))
	return body.Groups, err
}

// ChangeMember implements Service.
func (c *Client) ChangeMember(ctx context.Context, change MemberChange) error {
	return c.call(ctx, call{method: http.MethodPost, path: pathMembers, body: change}, decodeInto(&emptyRequest{}))
}
