package versions

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Key names a software version of the runners of a service.
type Key struct {
	Service string
	Version string
}

// Tracker holds the software versions that runners of each service had lately. Create one with NewTracker.
type Tracker struct {
	services map[string]map[string]time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{services: make(map[string]map[string]time.Time)} }

// Observe records that a runner of the version was there at the given time. An empty version is unknown, and ignored.
func (t *Tracker) Observe(now time.Time, key Key) {
	if key.Version == "" {
		return
	}
	known := t.services[key.Service]
	if known == nil {
		known = make(map[string]time.Time)
		t.services[key.Service] = known
	}
	if now.After(known[key.Version]) {
		known[key.Version] = now
	}
}

// Expire forgets the versions that no runner has had for longer than retention. The last version of a service stays.
func (t *Tracker) Expire(now time.Time, retention time.Duration) {
	for _, known := range t.services {
		for version, seenAt := range known {
			if len(known) > 1 && now.Sub(seenAt) > retention {
				delete(known, version)
			}
		}
	}
}

// IsMixed reports whether runners of several versions of the service were there lately.
func (t *Tracker) IsMixed(service string) bool { return len(t.services[service]) > 1 }

// Mixed returns the services for which IsMixed holds, sorted; nil for none.
func (t *Tracker) Mixed() (services []string) {
	for service, known := range t.services {
		if len(known) > 1 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Only returns the version of each service that had one alone lately; nil for none.
func (t *Tracker) Only() map[string]string {
	var only map[string]string
	for service, known := range t.services {
		for version := range known {
			if len(known) > 1 {
				break
			}
			if only == nil {
				only = make(map[string]string)
			}
			only[service] = version
		}
	}
	return only
}

// Of returns the known versions of a service, sorted.
func (t *Tracker) Of(service string) []string {
	return slices.Sorted(maps.Keys(t.services[service]))
}

// Has reports whether the version is known.
func (t *Tracker) Has(key Key) bool {
	_, isKnown := t.services[key.Service][key.Version]
	return isKnown
}

// Keys returns all known versions, sorted.
func (t *Tracker) Keys() (listed []Key) {
	for service, known := range t.services {
		for version := range known {
			listed = append(listed, Key{service, version})
		}
	}
	slices.SortFunc(listed, CompareKeys)
	return listed
}

// CompareKeys orders keys by service and version.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}
