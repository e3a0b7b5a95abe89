package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/limiter"
	"github.com/lotusferry/lotusferry/request/waiting"
)

const (
	// unconfirmedReturn is when a caller is asked to come back to a router that cannot tell
	// whether keys are still good: elections take about half a second.
	unconfirmedReturn = 500 * time.Millisecond
	// limitWait is how long a request waits for the leader's word on its tenant's limit, at most:
	// a word takes some milliseconds, another leader after a lost one 0.4 to 0.9 s. A request
	// with little time waits for maxWaitShare of it.
	limitWait = time.Second
	// maxTenantLines is how many lines a second tell of requests that were refused for their
	// key or limit.
	maxTenantLines = 20
)

// refusal is an answer in the router's own name to a request that no runner has seen.
type refusal struct {
	status     int
	retryAfter time.Duration
	// outcome names the refusal in metrics and logs; message tells the caller the remedy.
	outcome string
	message string
}

// isConfirmed reports whether the document in force was the newest so short ago that all keys
// that it lists may be taken as good.
func (r *Router) isConfirmed(at time.Time) bool {
	life := r.options.ConfirmationLife
	if life <= 0 {
		return true
	}
	confirmed := r.confirmed.Load()
	return confirmed != nil && at.Sub(*confirmed) < life
}

// confirmedAgo is how long ago the document in force was the newest; below 0 for never.
func (r *Router) confirmedAgo() time.Duration {
	confirmed := r.confirmed.Load()
	if confirmed == nil {
		return -1
	}
	return r.now().Sub(*confirmed)
}

// confirm notes that the document in force was the newest at a time.
func (r *Router) confirm(at time.Time) {
	if known := r.confirmed.Load(); known == nil || at.After(*known) {
		r.confirmed.Store(&at)
	}
}

// identify finds the tenant of a request, or says why the request is refused. The tenant is nil
// where none is needed.
func (r *Router) identify(index *site.Index, route *site.Route, request *Request) (*site.Tenant, *refusal) {
	if !index.Document.RequiresKeys || route.Public && request.Credential.Key == "" {
		return nil, nil
	}
	if !r.isConfirmed(r.now()) {
		return nil, &refusal{
			status: http.StatusServiceUnavailable, retryAfter: unconfirmedReturn, outcome: "unconfirmed",
			message: "this router cannot tell whether the key is still good, as it reaches no controller: try again soon",
		}
	}
	if problem := request.Credential.Problem; problem != "" {
		return nil, &refusal{status: http.StatusUnauthorized, outcome: "bad_key", message: problem}
	}
	tenant := index.TenantOf(request.Credential.Key)
	if tenant == nil && !route.Public {
		return nil, &refusal{
			status: http.StatusUnauthorized, outcome: "unknown_key",
			message: "no tenant holds the key: ask the operators of the site for a new one",
		}
	}
	if tenant != nil && tenant.Limit.Unit == site.UnitTokens && request.Size.Problem != "" {
		return nil, &refusal{status: http.StatusBadRequest, outcome: "bad_size", message: request.Size.Problem}
	}
	return tenant, nil
}

// priorityOf is the rank of a tenant's requests on a route.
func priorityOf(tenant *site.Tenant, route *site.Route) int {
	if tenant == nil || tenant.Priority == nil {
		return route.Priority
	}
	return *tenant.Priority
}

// admission is a request that was counted against its tenant's limit.
type admission struct {
	tenant *site.Tenant
	cost   float64
	fresh  limiter.Fresh
}

// admit counts a request against its tenant's limit, or says why it is refused. It waits for the
// leader's word if the router holds too little of the limit.
func (r *Router) admit(ctx context.Context, tenant *site.Tenant, request *Request, ticket waiting.Ticket, digest poison.Digest) (admission, *refusal) {
	if tenant == nil || !tenant.Limit.IsLimited() {
		return admission{}, nil
	}
	counted := admission{tenant: tenant, cost: tenant.Limit.Cost(request.Size.Tokens)}
	settled := make(chan limiter.Verdict, 1)
	waiter := &limiter.Waiter{
		Tenant: tenant.Name, Cost: counted.cost, Asked: r.now(),
		Settle: func(verdict limiter.Verdict) { settled <- verdict },
	}
	waiter.Ask = quota.Ask{
		Class: ticket.Class, Digest: request.returnDigest(digest), Due: ticket.Due.Sub(waiter.Asked),
		Away: share(ticket.Deadline.Sub(waiter.Asked), returnShare) - returnSlack,
	}
	r.limits.mutex.Lock()
	verdict, isDecided := r.limits.limiter.Admit(r.now(), waiter)
	isAsking := !isDecided || r.limits.isLow(r.now())
	r.limits.mutex.Unlock()
	if isAsking {
		r.limits.wakeUp()
	}
	if !isDecided {
		var isSettled bool
		if verdict, isSettled = r.limits.await(ctx, waiter, settled, min(limitWait, share(ticket.Deadline.Sub(r.now()), maxWaitShare))); !isSettled {
			if ctx.Err() != nil {
				return admission{}, &refusal{status: http.StatusServiceUnavailable, outcome: "caller_left", message: "the caller has left"}
			}
			return admission{}, &refusal{
				status: http.StatusServiceUnavailable, retryAfter: unconfirmedReturn, outcome: "limit_unknown",
				message: "no controller could tell whether the tenant's limit has room: try again soon",
			}
		}
	}
	if !verdict.IsAdmitted {
		return admission{}, &refusal{
			status: http.StatusTooManyRequests, retryAfter: verdict.ComeBackIn, outcome: "over_limit",
			message: "the tenant's limit is used up: send less, or ask the operators of the site to raise it",
		}
	}
	counted.fresh = verdict.Fresh
	r.metrics.tenant(tenant.Name, "admitted")
	return counted, nil
}

// refund gives back what was counted for a request that no runner has run.
func (r *Router) refund(counted admission) {
	if counted.tenant == nil {
		return
	}
	r.limits.mutex.Lock()
	r.limits.limiter.Refund(r.now(), counted.tenant.Name, counted.cost, counted.fresh)
	isAsking := r.limits.isLow(r.now())
	r.limits.mutex.Unlock()
	if isAsking {
		r.limits.wakeUp()
	}
}

// refuseTenant answers a request that its key or its limit does not allow.
func (r *Router) refuseTenant(writer http.ResponseWriter, request *Request, route *site.Route, tenant *site.Tenant, version uint64, why *refusal) {
	name := ""
	if tenant != nil {
		name = tenant.Name
	}
	r.metrics.requests.WithLabelValues(kindName(route.Kind), why.outcome).Inc()
	r.metrics.tenant(name, why.outcome)
	if suppressed, allowed := r.refused.Allow(time.Now()); allowed {
		r.limits.mutex.Lock()
		held := r.limits.limiter.Held(r.now(), name)
		r.limits.mutex.Unlock()
		level.Info(r.logger).Log("msg", "A request was refused for its key or limit.", "request", request.ID, "tenant", name,
			"route", route.Name, "outcome", why.outcome, "status", why.status, "tokens", request.Size.Tokens, "held", held,
			"confirmed_ago", r.confirmedAgo(), "come_back_in", why.retryAfter, "age", r.age(request), "version", version, "not_logged", suppressed)
	}
	refuse(writer, why.status, why.retryAfter, why.message)
}
