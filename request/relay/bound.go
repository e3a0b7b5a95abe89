package relay

// hasBound reports whether requests wait for runners of a software version.
func (s *rowState) hasBound() bool {
	for key, queue := range s.limited {
		if key.version != "" && queue.Len() > 0 {
			return true
		}
	}
	return false
}

// deferBound tells the requests that wait for runners of a software version if none of it is left, whatever versions serve now. The
// caller must hold r.mutex.
func (r *Router) deferBound() {
	now := r.now()
	for _, state := range r.rows {
		if state.hasBound() {
			r.deferWaiters(now, state)
		}
	}
}
