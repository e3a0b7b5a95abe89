package routing

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// ofVersion returns the row with a subset of the replicas on runners of a software version, at most size; the row itself if the
// version is empty or all of its replicas have it.
func (r *row) ofVersion(size int, version string) *row {
	if r == nil || version == "" || !r.isMixed() {
		return r
	}
	limited := &row{name: r.name, replicas: r.replicas}
	for _, known := range r.replicas {
		if !known.runner.leaving && known.runner.info.Version == version {
			limited.subset = append(limited.subset, known)
		}
	}
	limited.ready = len(limited.subset)
	limited.limitSubset(size)
	return limited
}

// isMixed reports whether the row has replicas on runners of several software versions.
func (r *row) isMixed() bool {
	for _, known := range r.replicas {
		if known.runner.info.Version != r.replicas[0].runner.info.Version {
			return true
		}
	}
	return false
}

// HasVersion reports whether a runner of a software version that is not leaving holds the row in one of the zones, whatever its load.
// Without zones all count.
func (b *Balancer) HasVersion(name structs.RowName, version string, zones map[structs.ZoneID]bool) bool {
	wanted := b.rows[name]
	if wanted == nil {
		return false
	}
	allowed := Work{Version: version, Zones: zones}
	return slices.ContainsFunc(wanted.replicas, func(known *replica) bool {
		return !known.runner.leaving && allowed.allows(known.runner)
	})
}
