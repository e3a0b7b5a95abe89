package fleet

import "time"

// Resolve names the life that a heartbeat is of. One that does not say when its runner was started was passed on
// by a controller of the version before, or is not the runner's own: it counts for the latest life that is known
// only if it agrees with it.
func (r *Registry) Resolve(heartbeat Heartbeat) Heartbeat {
	heartbeat = heartbeat.named()
	id, born := SplitIncarnation(heartbeat.Instance)
	newest := r.newest[id]
	if born > 0 || newest == "" || newest == heartbeat.Instance {
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

// Latest is the latest life of the runner with the ID of which anything was heard, or the ID itself.
func (r *Registry) Latest(id string) string {
	if newest := r.newest[id]; newest != "" {
		return newest
	}
	return id
}

// begin notes a life of a runner that is heard of for the first time. It returns nil if a later one is known, or
// if the life has ended.
func (r *Registry) begin(now time.Time, heartbeat Heartbeat) *record {
	id, born := SplitIncarnation(heartbeat.Instance)
	former := r.runners[r.newest[id]]
	if !r.replace(now, heartbeat.Instance) {
		return nil
	}
	begun := &record{}
	r.add(heartbeat.Instance, begun)
	if born > 0 && former != nil && former.isUnnamed() && former.isSameLife(heartbeat) {
		begun.leaving, begun.gone, begun.endsAt = former.leaving, former.gone, former.endsAt
		if begun.gone {
			begun.heartbeat, begun.heardAt = Heartbeat{Instance: heartbeat.Instance}, now
			return nil
		}
	}
	return begun
}

// replace notes the latest life of a runner: those before it have ended. It reports false if a later one is
// known.
func (r *Registry) replace(now time.Time, instance string) bool {
	id, born := SplitIncarnation(instance)
	if former := r.newest[id]; former != "" {
		if _, formerBorn := SplitIncarnation(former); formerBorn > born {
			return false
		}
		if known := r.runners[former]; known != nil && former != instance {
			known.isReplaced = true
			known.heardAt = now
		}
	}
	r.newest[id] = instance
	return true
}

// hasEnded reports whether the runner's life is over.
func (r *record) hasEnded() bool { return r.gone || r.isReplaced }

// isUnnamed reports whether it is not known when the runner was started.
func (r *record) isUnnamed() bool {
	_, born := SplitIncarnation(r.heartbeat.Instance)
	return born == 0
}

// isSameLife reports whether a record of the version before, which knows no lives, is probably of the life that
// a heartbeat tells of: its count goes on, or nothing but its end is known.
func (r *record) isSameLife(heartbeat Heartbeat) bool {
	if r.heartbeat.Address == "" {
		return true
	}
	return r.heartbeat.Address == heartbeat.Address && heartbeat.Sequence > r.heartbeat.Sequence
}
