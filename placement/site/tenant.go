package site

import (
	"fmt"

	"github.com/lotusferry/lotusferry/internal/keys"
)

// Tenant is a member of a site: its callers hold its keys, and share its rank and its limit.
type Tenant struct {
	Name string
	// Keys are the hashes of the keys that its callers may present. A tenant without keys
	// has no callers.
	Keys []keys.Hash
	// Priority ranks the tenant's requests in place of the route's priority; nil leaves that.
	Priority *int
	Limit    RateLimit
	// Regions are those in which the tenant's requests may be served and kept; empty for all. Those of a
	// route bind as well.
	Regions []string
}

// Unit is what a RateLimit counts.
type Unit uint8

// The units of limits.
const (
	// UnitRequests counts each request as one.
	UnitRequests Unit = iota
	// UnitTokens counts the tokens of a request, those asked for included.
	UnitTokens
)

// RateLimit bounds what a tenant's requests use, over all routers together.
type RateLimit struct {
	Unit Unit
	// Rate is in units a second; 0 means that there is no limit.
	Rate float64
	// Burst is what may be used above that at once, in units.
	Burst float64
	// PlainTokens is what a request that tells no size uses, where tokens are counted.
	PlainTokens float64
}

// IsLimited reports whether there is a limit.
func (l RateLimit) IsLimited() bool { return l.Rate > 0 }

// Cost is what a request of so many tokens uses; tokens below 0 mean that it tells no size.
func (l RateLimit) Cost(tokens int64) float64 {
	switch {
	case l.Unit == UnitRequests:
		return 1
	case tokens < 0:
		return l.PlainTokens
	}
	return float64(tokens)
}

// maxLimit bounds the figures of a limit: far above what a site can serve, and far below
// where sums lose single units.
const maxLimit = 1e12

func (t *Tenant) validate(held map[keys.Hash]string) error {
	for _, figure := range []struct {
		name  string
		value float64
	}{
		{"rate", t.Limit.Rate}, {"burst", t.Limit.Burst}, {"count for plain requests", t.Limit.PlainTokens},
	} {
		if !(figure.value >= 0 && figure.value <= maxLimit) {
			return invalid(fmt.Sprintf("the %s of tenant %q is %g", figure.name, t.Name, figure.value),
				fmt.Sprintf("Give a number from 0 to %g; a rate of 0 means no limit.", maxLimit))
		}
	}
	for _, key := range t.Keys {
		if other, isHeld := held[key]; isHeld && other != t.Name {
			// The key itself stays out of the message, which is logged.
			return invalid(fmt.Sprintf("the tenants %q and %q share a key", other, t.Name), "Give each tenant keys of its own.")
		}
		held[key] = t.Name
	}
	return nil
}

// validateTenants reports the first fault of the tenants.
func (d *Document) validateTenants() error {
	names := make(map[string]bool, len(d.Tenants))
	held := make(map[keys.Hash]string)
	for i := range d.Tenants {
		tenant := &d.Tenants[i]
		if tenant.Name == "" || names[tenant.Name] {
			return invalid(fmt.Sprintf("the tenant name %q is empty or stands twice", tenant.Name), "Give each tenant a name of its own.")
		}
		names[tenant.Name] = true
		if err := tenant.validate(held); err != nil {
			return err
		}
	}
	return nil
}

// TenantOf returns the tenant that holds the key, or nil. Keys are compared by their hashes,
// so that the time it takes tells nothing of a key that is nearly right.
func (x *Index) TenantOf(key string) *Tenant {
	if key == "" {
		return nil
	}
	return x.tenants[keys.HashAPIKey(key)]
}
