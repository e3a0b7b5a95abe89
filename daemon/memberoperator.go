package daemon

import (
	"context"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// groupCaller returns a caller of the group's leader, or nil if there is no such group.
func (s *operatorService) groupCaller(name string) *leadercall.Caller {
	if name == globalGroupName {
		return s.global
	}
	for _, zone := range s.site.Zones {
		if name == zoneGroupPrefix+string(zone.ID) {
			return leadercall.New(s.client, memberAddresses(zone.Controllers))
		}
	}
	return nil
}

func unknownGroupError(name string) error {
	return structs.NewError(structs.ErrorNotFound, "the site has no group "+name,
		"Name a group as `lotusferryctl member list` does, such as global or zone-sala-a.")
}

func (s *operatorService) groupNames() []string {
	names := []string{globalGroupName}
	for _, zone := range s.site.Zones {
		names = append(names, zoneGroupPrefix+string(zone.ID))
	}
	return names
}

// Members implements operatorapi.Service. It queries all groups concurrently; a group
// that does not reply is listed with the error.
func (s *operatorService) Members(ctx context.Context) ([]operatorapi.GroupMembers, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	names := s.groupNames()
	groups := make([]operatorapi.GroupMembers, len(names))
	done := make(chan struct{}, len(names))
	for i, name := range names {
		go func() {
			groups[i] = s.groupMembers(ctx, name)
			done <- struct{}{}
		}()
	}
	for range names {
		<-done
	}
	return groups, nil
}

func (s *operatorService) groupMembers(ctx context.Context, name string) operatorapi.GroupMembers {
	arguments := DescribeArguments{Group: name}
	reply, err := leadercall.Call(ctx, s.groupCaller(name), methodMemberList, arguments, func() *MemberListReply { return &MemberListReply{} })
	if err != nil {
		return operatorapi.GroupMembers{Group: name, Problem: err.Error()}
	}
	return reply.Members
}

// ChangeMember implements operatorapi.Service.
func (s *operatorService) ChangeMember(ctx context.Context, change operatorapi.MemberChange) error {
	caller := s.groupCaller(change.Group)
	if caller == nil {
		return unknownGroupError(change.Group)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	arguments := MemberChangeArguments{Change: change}
	_, err := leadercall.Call(ctx, caller, methodMemberChange, arguments, func() *MemberReply { return &MemberReply{} })
	return err
}
