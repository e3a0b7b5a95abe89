package site

import (
	"fmt"

	"github.com/lotusferry/lotusferry/internal/keys"
)

// Tenant is a group of callers with common keys, priority and rate limit.
type Tenant struct {
	Name string
	// Keys are the hashes of the keys that its callers may present. A tenant without keys
	// has no callers.
	Keys []keys.Hash
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	Limit    RateLimit
	// Regions are where the tenant's requests may be served and stored; empty means all
	// regions. The regions of the route apply too.
	Regions []string
}

// Unit is what a RateLimit counts.
type Unit uint8

// The units of limits.
const (
	// UnitRequests counts each request as one.
	UnitRequests Unit = iota
	// UnitTokens counts the tokens of a request, including the requested output.
	UnitTokens
)

// RateLimit bounds the use of a tenant's requests over all routers together.
type RateLimit struct {
	Unit Unit
	// Rate is in units per second; 0 means no limit.
	Rate float64
	// Burst is how many units may be used at once beyond the rate.
	Burst float64
	// PlainTokens is the cost of a request of unknown size if tokens are counted.
	PlainTokens float64
}

// IsLimited reports whether there is a limit.
func (l RateLimit) IsLimited() bool { return l.Rate > 0 }

// Cost returns the units that a request with the given number of tokens uses. A negative
// number means that the size is unknown.
func (l RateLimit) Cost(tokens int64) float64 {
	switch {
	case l.Unit == UnitRequests:
		return 1
	case tokens < 0:
		return l.PlainTokens
	}
	return float64(tokens)
}

// maxLimit bounds the values of a limit. It is far above what a site can serve, and low enough
// for float64 sums to resolve single units.
const maxLimit = 1e12

func (t *Tenant) validate(keyOwners map[keys.Hash]string) error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"rate", t.Limit.Rate}, {"burst", t.Limit.Burst}, {"plain token count", t.Limit.PlainTokens},
	} {
		if !(field.value >= 0 && field.value <= maxLimit) {
			return invalid(fmt.Sprintf("the %s of tenant %q is %g", field.name, t.Name, field.value),
				fmt.Sprintf("Give a number from 0 to %g; a rate of 0 means no limit.", maxLimit))
		}
	}
	for _, key := range t.Keys {
		if owner, found := keyOwners[key]; found && owner != t.Name {
			// The message is logged, so it must not contain the key.
			return invalid(fmt.Sprintf("the tenants %q and %q share a key", owner, t.Name), "Give each tenant its own keys.")
		}
		keyOwners[key] = t.Name
	}
	return nil
}

// validateTenants returns an error for the first invalid tenant.
func (d *Document) validateTenants() error {
	names := make(map[string]bool, len(d.Tenants))
	keyOwners := make(map[keys.Hash]string)
	for i := range d.Tenants {
		tenant := &d.Tenants[i]
		if tenant.Name == "" || names[tenant.Name] {
			return invalid(fmt.Sprintf("the tenant name %q is empty or not unique", tenant.Name), "Give each tenant a unique name.")
		}
		names[tenant.Name] = true
		if err := tenant.validate(keyOwners); err != nil {
			return err
		}
	}
	return nil
}

// TenantOf returns the tenant with the key, or nil if there is none. It compares hashes, so
// that its timing reveals nothing about similar keys.
func (x *Index) TenantOf(key string) *Tenant {
	if key == "" {
		return nil
	}
	return x.tenants[keys.HashAPIKey(key)]
}
