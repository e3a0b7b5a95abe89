package operatorapi

import (
	"context"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"github.com/lotusferry/lotusferry/structs"
)

// MemberAction is a kind of membership change.
type MemberAction string

// The actions on members.
const (
	// MemberAdd adds a daemon as a learner, which is promoted once its log is complete.
	MemberAdd MemberAction = "add"
	// MemberPromote makes a learner with a complete log a voter.
	MemberPromote MemberAction = "promote"
	// MemberRemove removes a daemon from the group.
	MemberRemove MemberAction = "remove"
)

// MemberChange is a request for one membership change of a group.
type MemberChange struct {
	// Group is "global", or "zone-" followed by the zone's ID.
	Group  string           `json:"group"`
	Action MemberAction     `json:"action"`
	Daemon structs.DaemonID `json:"daemon"`
	// Address is the daemon's internal address (IP:port); for MemberAdd only.
	Address string `json:"address,omitempty"`
}

// MemberStatus is the state of a group member, as known to the group's leader.
type MemberStatus struct {
	Daemon  structs.DaemonID `json:"daemon"`
	Node    uint64           `json:"node"`
	Address string           `json:"address"`
	Voter   bool             `json:"voter"`
	Leader  bool             `json:"leader"`
	// Active is false if the member has not responded for an election timeout.
	Active bool `json:"active"`
	// Match is the highest log index known to be replicated to the member.
	Match uint64 `json:"match"`
}

// GroupMembers is the membership of one group.
type GroupMembers struct {
	Group string `json:"group"`
	Term  uint64 `json:"term"`
	// Applied is the leader's applied index.
	Applied uint64         `json:"applied"`
	Members []MemberStatus `json:"members"`
	// Problem says why the group could not be queried. The other fields are then empty,
	// except Group.
	Problem string `json:"problem,omitempty"`
}

// membersBody wraps the groups so that fields can be added later.
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
		return nil, invalid("the membership action is unknown", "Use add, promote or remove.")
	}
	if change.Group == "" || change.Daemon == "" {
		return nil, invalid("the change lacks a group or a daemon", "Set both as `lotusferryctl member list` shows them.")
	}
	if change.Action == MemberAdd && change.Address == "" {
		return nil, invalid("the new member has no address", "Set the internal address of the daemon.")
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
