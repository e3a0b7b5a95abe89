package fleet

import "time"

// Resolve returns the heartbeat with the name of its incarnation. A heartbeat without a start time
// was forwarded by a controller of the previous version or does not come from the runner; it is
// attributed to the latest known incarnation only if it matches that one.
func (r *Registry) Resolve(heartbeat Heartbeat) Heartbeat {
	heartbeat = heartbeat.withIncarnation()
	id, startTime := SplitIncarnation(heartbeat.Instance)
	newest := r.latest[id]
	if startTime > 0 || newest == "" || newest == heartbeat.Instance {
		return heartbeat
	}
	known := r.runners[newest]
	isSame := known.heartbeat.Service == heartbeat.Service && known.heartbeat.Address == heartbeat.Address &&
		heartbeat.Sequence > known.heartbeat.Sequence
	if isSame {
		heartbeat.Instance = newest
	}
	return heartbeat
}

// Latest returns the latest known incarnation of the runner, or the ID itself if none is known.
func (r *Registry) Latest(id string) string {
	if newest := r.latest[id]; newest != "" {
		return newest
	}
	return id
}

// addIncarnation adds the record of a new incarnation. It returns nil if a later one is known or if
// the incarnation has ended.
func (r *Registry) addIncarnation(now time.Time, heartbeat Heartbeat) *record {
	id, startTime := SplitIncarnation(heartbeat.Instance)
	former := r.runners[r.latest[id]]
	if !r.supersede(now, heartbeat.Instance) {
		return nil
	}
	added := &record{}
	r.add(heartbeat.Instance, added)
	if startTime > 0 && former != nil && former.hasNoStartTime() && former.isSameIncarnation(heartbeat) {
		added.leaving, added.gone, added.endsAt = former.leaving, former.gone, former.endsAt
		if added.gone {
			added.heartbeat, added.heardAt = Heartbeat{Instance: heartbeat.Instance}, now
			return nil
		}
	}
	return added
}

// supersede makes the instance the latest incarnation of its runner and ends the one before. It
// reports false if a later incarnation is known.
func (r *Registry) supersede(now time.Time, instance string) bool {
	id, startTime := SplitIncarnation(instance)
	if former := r.latest[id]; former != "" {
		if _, formerStartTime := SplitIncarnation(former); formerStartTime > startTime {
			return false
		}
		if known := r.runners[former]; known != nil && former != instance {
			known.isSuperseded = true
			known.heardAt = now
		}
	}
	r.latest[id] = instance
	return true
}

// hasEnded reports whether the incarnation has ended.
func (r *record) hasEnded() bool { return r.gone || r.isSuperseded }

// hasNoStartTime reports whether the start time of the runner is unknown.
func (r *record) hasNoStartTime() bool {
	_, startTime := SplitIncarnation(r.heartbeat.Instance)
	return startTime == 0
}

// isSameIncarnation reports whether a record without start time, as the previous version keeps it,
// probably belongs to the heartbeat's incarnation: the sequence continues, or only the departure is
// known.
func (r *record) isSameIncarnation(heartbeat Heartbeat) bool {
	if r.heartbeat.Address == "" {
		return true
	}
	return r.heartbeat.Address == heartbeat.Address && heartbeat.Sequence > r.heartbeat.Sequence
}
