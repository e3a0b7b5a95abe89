package fleet

// Adopt takes over a view that another publisher made at the given revision: a full view, or the
// changes since this publisher's revision. Later partial views of this publisher then carry the
// other's revisions. It returns false, without a change, for a partial view if there is no view
// yet, and for an earlier revision.
//
// Every runner listed in a partial view counts as changed, even if it equals the known one. A reader
// may have come from the other publisher with a revision between the two, in which the runner was
// different or missing.
func (p *Publisher) Adopt(view View, revision uint64) bool {
	if revision < p.revision || view.Partial && p.revision == 0 {
		return false
	}
	p.revision = revision
	if view.Partial {
		p.adoptChanges(&view)
	} else {
		p.adoptWhole(view)
	}
	clear(p.encoded)
	clear(p.encodedTakeoverChanges)
	return true
}

// adoptWhole replaces the view. Changes before it are unknown, so readers with an earlier revision
// get the full view.
func (p *Publisher) adoptWhole(view View) {
	view.Runners, view.Removed = sortedByInstance(view.Runners), nil
	p.view, p.spare = view, nil
	p.partialFrom, p.removals, p.changes = p.revision, nil, nil
	clear(p.changedAt)
	clear(p.firstHeardAt)
	for i := range view.Runners {
		p.noteChange(view.Runners[i].Instance, p.revision)
	}
	clear(p.goneAt)
	for _, instance := range view.Gone {
		p.goneAt[instance] = p.revision
	}
	p.whole, p.wholeRevision = EncodedView{}, 0
}

func (p *Publisher) adoptChanges(changes *View) {
	replaced := make(map[string]bool, len(changes.Runners)+len(changes.Removed))
	derived := derivedIDs(changes.Removed)
	for _, instance := range changes.Removed {
		replaced[instance] = true
		if !derived[instance] {
			p.remove(instance, p.revision)
		}
	}
	for i := range changes.Runners {
		replaced[changes.Runners[i].Instance] = true
	}
	// The former slice is not modified: results of Since may share it.
	runners := make([]Runner, 0, len(p.view.Runners)+len(changes.Runners))
	for i := range p.view.Runners {
		if !replaced[p.view.Runners[i].Instance] {
			runners = append(runners, p.view.Runners[i])
		}
	}
	runners = append(runners, changes.Runners...)
	for i := range changes.Runners {
		p.noteChange(changes.Runners[i].Instance, p.revision)
	}
	gone := p.adoptGone(changes.Gone)
	p.view = View{Runners: sortedByInstance(runners), Complete: changes.Complete, Gone: gone}
	p.trimRemovals()
	p.trimChanges(len(runners))
}

// derivedIDs returns the IDs that are listed beside their incarnations. They are added again when a
// partial view is made, unless another incarnation is listed by then.
func derivedIDs(removed []string) map[string]bool {
	derived := make(map[string]bool)
	for _, instance := range removed {
		if id, startTime := SplitIncarnation(instance); startTime > 0 {
			derived[id] = true
		}
	}
	return derived
}

// maxAdoptedGone bounds the remembered instances that are gone. A partial view does not say which
// are forgotten by its publisher. They matter only in the first seconds of a term, in which a view is
// not complete; a new term begins with a full view.
const maxAdoptedGone = 4096

// adoptGone returns the instances that are gone including further ones.
func (p *Publisher) adoptGone(further []string) []string {
	gone := append([]string(nil), p.view.Gone...)
	for _, instance := range further {
		if p.goneAt[instance] == 0 {
			gone = append(gone, instance)
		}
		p.goneAt[instance] = p.revision
	}
	if excess := len(gone) - maxAdoptedGone; excess > 0 {
		for _, instance := range gone[:excess] {
			delete(p.goneAt, instance)
		}
		gone = gone[excess:]
	}
	return gone
}
