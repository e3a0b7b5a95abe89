package domainnode

import (
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/site"
)

// applyDocument passes the current document to the planner if it has changed.
func (l *leadership) applyDocument() {
	var current domain.Document
	l.member.group.View(func() { current = l.member.machine.Document() })
	l.mutex.Lock()
	isKnown := l.document == current.Version
	l.mutex.Unlock()
	if isKnown {
		return
	}
	document, err := l.options.documentOf(current)
	if err != nil {
		level.Error(l.logger).Log("msg", "The current document cannot be decoded.", "version", current.Version, "err", err)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.document = current.Version
	l.planner.SetDocument(site.NewIndex(document))
	l.versionRetention.SetLongestTimeout(l.now(), document.LongestTimeout())
	level.Info(l.logger).Log("msg", "A document is in force.", "version", current.Version)
	l.setColdRates(document.Services)
	l.shares.SetTenants(document.Tenants)
	for _, tenant := range l.limits.SetTenants(l.now(), document.Tenants) {
		level.Info(l.logger).Log("msg", "A tenant's limit is in force.", "tenant", tenant.Name, "rate", tenant.Limit.Rate,
			"burst", tenant.Limit.Burst, "version", current.Version)
	}
}
