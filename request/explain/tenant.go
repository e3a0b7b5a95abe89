package explain

import (
	"slices"
	"time"
)

// addTenantFindings explains refusals caused by the API key, the tenant's limit or a lack of
// capacity.
func (a *Account) addTenantFindings() {
	last := a.Events[len(a.Events)-1]
	tenant := last.Get("tenant")
	switch a.Outcome {
	case "bad_key":
		a.addFinding("The API key of the request is missing or malformed.")
	case "unknown_key":
		a.addFinding("No tenant of version %s has the key; that version was last confirmed %s before.",
			last.Get("version"), last.Get("confirmed_ago"))
	case "unconfirmed":
		a.addFinding("The router could not verify API keys: its version %s was last confirmed %s before.",
			last.Get("version"), last.Get("confirmed_ago"))
	case "limit_unknown":
		a.addFinding("The router held %s of the limit of tenant %s, the request declares %s tokens, and no leader responded in time.",
			last.Get("held"), tenant, last.Get("tokens"))
	case "over_limit":
		a.addFinding("Tenant %s had exhausted its limit: the request declares %s tokens, and capacity was expected in %s.",
			tenant, last.Get("tokens"), last.Get("come_back_in"))
		a.addLimitFinding(tenant)
		a.addTenantStatusFinding(tenant)
	case "crowded":
		a.addFinding("Too many requests ahead of it waited for %s to serve it in time; its caller was told to come back in %s.",
			a.Model, last.Get("after"))
		a.addTenantStatusFinding(tenant)
	case "come_back":
		a.addFinding("%s was being loaded and would not have been ready in time; its caller was told to come back in %s.", a.Model, last.Get("after"))
	case "resting":
		a.addFinding("All runners that could serve %s had asked the router to back off; its caller was told to come back in %s.", a.Model, last.Get("after"))
	case "no_runner":
		a.addTenantStatusFinding(tenant)
	}
}

// addTenantStatusFinding reports the last status of the tenant before the request ended.
func (a *Account) addTenantStatusFinding(tenant string) {
	for _, line := range slices.Backward(a.Beliefs) {
		if line.Message != messageTenantStatus || line.Get("tenant") != tenant || line.Time.After(a.ended()) {
			continue
		}
		a.addFinding("At %s tenant %s had %s of its share of the work, %s of its requests waited, and %s of %s of its limit were granted in a window; %s of %s requests beyond the limit were promised capacity.",
			a.relativeTime(line.Time), tenant, line.Get("share"), line.Get("waiting"), line.Get("used"), line.Get("most"), line.Get("promised"), line.Get("refused"))
		return
	}
}

// addLimitFinding reports the limit of the tenant when the request ended.
func (a *Account) addLimitFinding(tenant string) {
	for _, line := range slices.Backward(a.Beliefs) {
		if line.Message == messageLimit && line.Get("tenant") == tenant && !line.Time.After(a.ended()) {
			a.addFinding("Its limit is %s per second with bursts of %s since %s (version %s).", line.Get("rate"), line.Get("burst"),
				a.relativeTime(line.Time), line.Get("version"))
			return
		}
	}
}

// isAboutTenant reports whether the line is about the limit or a recent status of the tenant
// until the given time. There is no limit on the age of limit lines, as limits rarely change.
func isAboutTenant(line Line, tenant string, until time.Time) bool {
	isStatus := line.Message == messageTenantStatus && until.Sub(line.Time) <= contextBefore
	return tenant != "" && (line.Message == messageLimit || isStatus) && line.Get("tenant") == tenant && !line.Time.After(until)
}
