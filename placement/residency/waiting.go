package residency

import "slices"

// addWaiting adds waiting requests to the group with the same zones.
func addWaiting(groups []waiting, added waiting) []waiting {
	for i := range groups {
		if slices.Equal(groups[i].zones, added.zones) {
			groups[i].merge(added)
			return groups
		}
	}
	return append(groups, added)
}

// merge adds the requests of another group that a load for this group also serves.
func (w *waiting) merge(other waiting) {
	w.count += other.count
	w.oldest = max(w.oldest, other.oldest)
	w.priority = min(w.priority, other.priority)
}

// mergeCovered merges each group of a row into the first one, by the number of zones, whose zones it
// may all use: a load for that one serves both. Requests without allowed zones may use any.
func mergeCovered(groups []waiting) []waiting {
	if len(groups) < 2 {
		return groups
	}
	slices.SortFunc(groups, func(a, b waiting) int {
		if (a.zones == nil) != (b.zones == nil) {
			return len(b.zones) - len(a.zones)
		}
		if len(a.zones) != len(b.zones) {
			return len(a.zones) - len(b.zones)
		}
		return slices.Compare(a.zones, b.zones)
	})
	var kept []waiting
	for _, group := range groups {
		i := slices.IndexFunc(kept, func(other waiting) bool { return isWithin(other.zones, group.zones) })
		if i < 0 {
			kept = append(kept, group)
		} else {
			kept[i].merge(group)
		}
	}
	return kept
}

// isWithin reports whether all of the zones are among others; nil stands for all zones.
func isWithin(zones, others []string) bool {
	if others == nil || zones == nil {
		return others == nil
	}
	return !slices.ContainsFunc(zones, func(zone string) bool { return !slices.Contains(others, zone) })
}

// needOf returns the need for the model with the same zones; nil if there is none.
func needOf(needs []*need, row Row, zones []string) *need {
	i := slices.IndexFunc(needs, func(other *need) bool { return other.row == row && slices.Equal(other.zones, zones) })
	if i < 0 {
		return nil
	}
	return needs[i]
}

// add adds waiting requests that a load for the need serves. The need keeps the narrower set of zones.
func (n *need) add(wanted waiting) {
	if n.zones == nil || wanted.zones != nil && isWithin(wanted.zones, n.zones) {
		n.zones = wanted.zones
	}
	n.priority = min(n.priority, wanted.priority)
	n.oldest = max(n.oldest, wanted.oldest)
	n.gain += float64(wanted.count) * (1 + wanted.oldest.Seconds()/agingTime.Seconds())
}
