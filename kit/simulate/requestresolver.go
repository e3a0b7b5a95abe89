package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// requestClaimLease is how long a claim is kept without a renewal; holders renew
	// it four times in that time.
	requestClaimLease = 3 * time.Second
	renewalInterval   = requestClaimLease / 4
	// resolveInterval is how often a zone's leader checks for lapsed claims.
	resolveInterval = 500 * time.Millisecond
)

// claimResolver resolves the claims of dead holders on a zone's leader: it applies
// only the claim commands of a controller.Core.
type claimResolver struct {
	group   *zoneGroup
	core    *controller.Core
	term    int
	renewed map[structs.RequestID]time.Time
}

func newClaimResolver(group *zoneGroup) *claimResolver {
	resolver := &claimResolver{group: group}
	resolver.loop()
	return resolver
}

func (r *claimResolver) loop() {
	if r.group.leaderless == 0 && !r.group.site.mutated(mutationNoResolution) {
		r.decide()
	}
	r.group.site.scheduler.After(resolveInterval, r.loop)
}

// lead resets the state if the leader has changed.
func (r *claimResolver) lead() {
	if r.core == nil || r.term != r.group.term {
		r.core = controller.New(controller.Options{ClaimLease: requestClaimLease})
		r.renewed = map[structs.RequestID]time.Time{}
		r.term = r.group.term
	}
}

func (r *claimResolver) decide() {
	r.lead()
	decisions := r.core.Decide(controller.Input{
		Now:        r.group.site.now(),
		Epoch:      structs.Epoch(r.term + 1),
		LeaseValid: true,
		State:      r.group.state,
		Renewed:    r.renewed,
	})
	for _, command := range decisions.Commands {
		if command.ClaimFinish != nil {
			r.group.site.trace.Note("resolve", string(command.ClaimFinish.Request), string(command.ClaimFinish.State))
			r.group.propose(zone.ClaimOperation{Finish: command.ClaimFinish}, func(zone.Result) {})
		}
	}
	for _, inquiry := range decisions.Inquiries {
		r.ask(inquiry)
	}
}

// ask sends an inquiry. With mutationResolveBlind it reports an unknown state
// without asking.
func (r *claimResolver) ask(inquiry controller.Inquiry) {
	site := r.group.site
	term := r.term
	answer := func(status structs.RequestStatus) {
		if r.term == term {
			r.core.ObserveInquiry(controller.InquiryReply{Inquiry: inquiry, Status: status})
		}
	}
	if site.mutated(mutationResolveBlind) {
		claim, _ := r.group.state.Claim(inquiry.Key)
		answer(structs.RequestStatus{ID: inquiry.Request, State: structs.RunUnknown, Incarnation: claim.Incarnation})
		return
	}
	site.inquire(r.group.address(), inquiry, answer)
}

// inquire cancels a request at its engine and returns its status by answer.
func (s *requestSite) inquire(from Address, inquiry controller.Inquiry, answer func(structs.RequestStatus)) {
	engine := s.engineNamed(structs.RunnerID(inquiry.Address))
	s.dial(from, engine.address(), engine.listening, func(link *connection) {
		link.down.end.receive = func(message any) { answer(message.(structs.RequestStatus)) }
		link.up.end.receive = func(any) {
			engine.askStatus(inquiry.Request, true, func(status structs.RequestStatus) { link.down.send(status) })
		}
		link.up.send(inquiry.Request)
	}, func() {})
}

// renew records a holder's renewal unless the group has no leader.
func (g *zoneGroup) renew(requests []structs.RequestID) {
	if g.leaderless > 0 {
		return
	}
	g.resolver.lead()
	for _, request := range requests {
		g.resolver.renewed[request] = g.site.now()
	}
}

// renewClaims periodically renews the claims that the router holds or has requested.
func (h *routerHost) renewClaims(life int) {
	if h.core == nil || h.life != life {
		return
	}
	byHome := map[structs.ZoneID][]structs.RequestID{}
	for _, request := range sortedKeys(h.claims) {
		home := h.claims[request]
		byHome[home] = append(byHome[home], request)
	}
	for _, home := range sortedKeys(byHome) {
		member := h.homes[home].next()
		link := newConnection(h.site.network, h.address(), member.address())
		link.up.end.receive = func(any) { member.renew(byHome[home]) }
		link.up.send(home)
	}
	h.site.scheduler.After(renewalInterval, func() { h.renewClaims(life) })
}
