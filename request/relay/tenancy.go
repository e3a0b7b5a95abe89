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
	// unconfirmedRetryAfter is the Retry-After while API keys cannot be verified: about the
	// duration of an election.
	unconfirmedRetryAfter = 500 * time.Millisecond
	// limitWait bounds the wait for the leader's decision on a tenant's limit: a decision takes
	// milliseconds, a change of leader 0.4 to 0.9 s. Requests with short deadlines wait for
	// maxWaitShare of their time.
	limitWait = time.Second
	// maxTenantLogRate bounds the log lines per second about requests rejected for their key or
	// limit.
	maxTenantLogRate = 20
)

// rejection is a response of the router itself to a request that was sent to no runner.
type tenantRejection struct {
	status     int
	retryAfter time.Duration
	// outcome is the label in metrics and logs; message is the text for the caller.
	outcome string
	message string
}

// isConfirmed reports whether the current document was confirmed as the newest recently enough to
// accept its API keys.
func (r *Router) isConfirmed(at time.Time) bool {
	ttl := r.options.ConfirmationTTL
	if ttl <= 0 {
		return true
	}
	confirmed := r.confirmed.Load()
	return confirmed != nil && at.Sub(*confirmed) < ttl
}

// confirmedAgo returns the time since the last confirmation; negative if there was none.
func (r *Router) confirmedAgo() time.Duration {
	confirmed := r.confirmed.Load()
	if confirmed == nil {
		return -1
	}
	return r.now().Sub(*confirmed)
}

// confirm records that the current document was the newest at the given time.
func (r *Router) confirm(at time.Time) {
	if known := r.confirmed.Load(); known == nil || at.After(*known) {
		r.confirmed.Store(&at)
	}
}

// identify returns the tenant of a request, or a rejection. The tenant is nil where none is required.
func (r *Router) identify(index *site.Index, route *site.Route, request *Request) (*site.Tenant, *tenantRejection) {
	if !index.Document.RequiresKeys || route.Public && request.Credential.Key == "" {
		return nil, nil
	}
	if !r.isConfirmed(r.now()) {
		return nil, &tenantRejection{
			status: http.StatusServiceUnavailable, retryAfter: unconfirmedRetryAfter, outcome: "unconfirmed",
			message: "this router cannot tell whether the key is still good, as it reaches no controller: try again soon",
		}
	}
	if problem := request.Credential.Problem; problem != "" {
		return nil, &tenantRejection{status: http.StatusUnauthorized, outcome: "bad_key", message: problem}
	}
	tenant := index.TenantOf(request.Credential.Key)
	if tenant == nil && !route.Public {
		return nil, &tenantRejection{
			status: http.StatusUnauthorized, outcome: "unknown_key",
			message: "no tenant holds the key: ask the operators of the site for a new one",
		}
	}
	if tenant != nil && tenant.Limit.Unit == site.UnitTokens && request.Size.Problem != "" {
		return nil, &tenantRejection{status: http.StatusBadRequest, outcome: "bad_size", message: request.Size.Problem}
	}
	return tenant, nil
}

// priorityOf returns the priority of a tenant's requests on a route.
func priorityOf(tenant *site.Tenant, route *site.Route) int {
	if tenant == nil || tenant.Priority == nil {
		return route.Priority
	}
	return *tenant.Priority
}

// admission is what was charged to a tenant's limit for a request.
type admission struct {
	tenant *site.Tenant
	// cost is in unit.
	cost  float64
	unit  site.Unit
	fresh limiter.LeaderGrant
}

// admit charges a request to its tenant's limit, or returns a rejection. It waits for the leader's
// decision if the router's share of the limit is too small.
func (r *Router) admit(ctx context.Context, tenant *site.Tenant, request *Request, ticket waiting.Ticket, digest poison.Digest) (admission, *tenantRejection) {
	if tenant == nil || !tenant.Limit.IsLimited() {
		return admission{}, nil
	}
	settled := make(chan limiter.Verdict, 1)
	waiter := &limiter.Waiter{
		Tenant: tenant.Name, Cost: tenant.Limit.Cost(request.Size.Tokens), Unit: tenant.Limit.Unit, Tokens: request.Size.Tokens, Asked: r.now(),
		Settle: func(verdict limiter.Verdict) { settled <- verdict },
	}
	waiter.Ask = quota.Ask{
		Class: ticket.Class, Digest: request.retryDigest(digest), Due: ticket.Due.Sub(waiter.Asked),
		Away: fraction(ticket.Deadline.Sub(waiter.Asked), maxRetryShare) - retrySlack,
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
		if verdict, isSettled = r.limits.await(ctx, waiter, settled, min(limitWait, fraction(ticket.Deadline.Sub(r.now()), maxWaitShare))); !isSettled {
			if ctx.Err() != nil {
				return admission{}, &tenantRejection{status: http.StatusServiceUnavailable, outcome: reasonCallerLeft, message: "the caller has left"}
			}
			return admission{}, &tenantRejection{
				status: http.StatusServiceUnavailable, retryAfter: unconfirmedRetryAfter, outcome: "limit_unknown",
				message: "no controller could tell whether the tenant's limit has room: try again soon",
			}
		}
	}
	if !verdict.IsAdmitted {
		return admission{}, &tenantRejection{
			status: http.StatusTooManyRequests, retryAfter: verdict.RetryAfter, outcome: "over_limit",
			message: "the tenant's limit is used up: send less, or ask the operators of the site to raise it",
		}
	}
	r.metrics.tenant(tenant.Name, "admitted")
	return admission{tenant: tenant, cost: waiter.Cost, unit: waiter.Unit, fresh: verdict.Granted}, nil
}

// refund returns the charge of a request that no runner has run.
func (r *Router) refund(counted admission) {
	if counted.tenant == nil {
		return
	}
	r.limits.mutex.Lock()
	r.limits.limiter.Refund(r.now(), counted.tenant.Name, counted.unit, counted.cost, counted.fresh)
	isAsking := r.limits.isLow(r.now())
	r.limits.mutex.Unlock()
	if isAsking {
		r.limits.wakeUp()
	}
}

// rejectTenant answers a request rejected for its key or limit.
func (r *Router) rejectTenant(writer http.ResponseWriter, request *Request, route *site.Route, tenant *site.Tenant, version uint64, why *tenantRejection) {
	name := ""
	if tenant != nil {
		name = tenant.Name
	}
	r.metrics.requests.WithLabelValues(kindName(route.Kind), why.outcome).Inc()
	r.metrics.tenant(name, why.outcome)
	if suppressed, allowed := r.rejectionLog.Allow(time.Now()); allowed {
		r.limits.mutex.Lock()
		held := r.limits.limiter.Held(r.now(), name)
		r.limits.mutex.Unlock()
		level.Info(r.logger).Log("msg", "A request was refused for its key or limit.", "request", request.ID, "tenant", name,
			"route", route.Name, "outcome", why.outcome, "status", why.status, "tokens", request.Size.Tokens, "held", held,
			"confirmed_ago", r.confirmedAgo(), "come_back_in", why.retryAfter, "age", r.age(request), "version", version, "not_logged", suppressed)
	}
	reject(writer, why.status, why.retryAfter, why.message)
}
