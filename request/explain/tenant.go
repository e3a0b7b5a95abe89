package explain

import (
	"slices"
	"time"
)

// findTenant says why a request was refused for its key or its tenant's limit.
func (a *Account) findTenant() {
	last := a.Events[len(a.Events)-1]
	tenant := last.Get("tenant")
	switch a.Outcome {
	case "bad_key":
		a.note("The request showed no key that can be read.")
	case "unknown_key":
		a.note("No tenant of version %s holds the key; that version was the newest %s before.",
			last.Get("version"), last.Get("confirmed_ago"))
	case "unconfirmed":
		a.note("The router could not tell whether keys were still good: its version %s was confirmed last %s before.",
			last.Get("version"), last.Get("confirmed_ago"))
	case "limit_unknown":
		a.note("The router held %s of the limit of tenant %s where the request tells %s tokens, and no leader answered in time.",
			last.Get("held"), tenant, last.Get("tokens"))
	case "over_limit":
		a.note("Tenant %s had used its limit: the request tells %s tokens, and room was expected in %s.",
			tenant, last.Get("tokens"), last.Get("come_back_in"))
		a.findLimit(tenant)
		a.findStanding(tenant)
	case "crowded":
		a.note("More requests waited for %s than could be served in its time, by those that went before it; its caller was told to come back in %s.",
			a.Model, last.Get("after"))
		a.findStanding(tenant)
	case "come_back":
		a.note("%s was being loaded, and would not have been there in time; its caller was told to come back in %s.", a.Model, last.Get("after"))
	case "resting":
		a.note("All runners that could serve %s had asked the router for rest; its caller was told to come back in %s.", a.Model, last.Get("after"))
	case "no_runner":
		a.findStanding(tenant)
	}
}

// findStanding says how the tenant stood among the others when its request ended.
func (a *Account) findStanding(tenant string) {
	for _, line := range slices.Backward(a.Beliefs) {
		if line.Message != messageTenant || line.Get("tenant") != tenant || line.Time.After(a.ended()) {
			continue
		}
		a.note("At %s tenant %s had %s of its share of the work, %s of its requests waited, and %s of %s of its limit were granted in a window; %s of %s requests beyond it were promised room.",
			a.since(line.Time), tenant, line.Get("share"), line.Get("waiting"), line.Get("used"), line.Get("most"), line.Get("promised"), line.Get("refused"))
		return
	}
}

// findLimit says what the limit of a tenant was set to last.
func (a *Account) findLimit(tenant string) {
	for _, line := range slices.Backward(a.Beliefs) {
		if line.Message == messageLimit && line.Get("tenant") == tenant && !line.Time.After(a.ended()) {
			a.note("Its limit is %s a second and %s at once since %s (version %s).", line.Get("rate"), line.Get("burst"),
				a.since(line.Time), line.Get("version"))
			return
		}
	}
}

// isAboutTenant reports whether the line is about the limit of a tenant, before the request ended.
// Limits change seldom, so that lines from long before count.
func isAboutTenant(line Line, tenant string, until time.Time) bool {
	isStanding := line.Message == messageTenant && until.Sub(line.Time) <= before
	return tenant != "" && (line.Message == messageLimit || isStanding) && line.Get("tenant") == tenant && !line.Time.After(until)
}
