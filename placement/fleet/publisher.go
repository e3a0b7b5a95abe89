package fleet

import "slices"

// maxRemovals bounds the removals that are remembered for partial views.
const maxRemovals = 512

// Publisher numbers the changes of a view, so that who knows an earlier one is told
// only what has changed.
type Publisher struct {
	view     View
	revision uint64
	// changedAt is the revision in which each runner last changed.
	changedAt map[string]uint64
	removals  []removal
	// encoded holds the views since each revision that somebody asked for, as of now.
	encoded map[uint64]EncodedView
	// partialFrom is the least revision from which changes are known.
	partialFrom uint64
}

type removal struct {
	instance string
	revision uint64
}

// NewPublisher makes a publisher at revision 0, which nobody knows.
func NewPublisher() *Publisher {
	return &Publisher{changedAt: make(map[string]uint64), encoded: make(map[uint64]EncodedView)}
}

// Publish takes the newest view and reports whether it differs from the one before.
func (p *Publisher) Publish(view View) bool {
	if p.revision > 0 && view.Equal(p.view) {
		return false
	}
	p.revision++
	former := make(map[string]Runner, len(p.view.Runners))
	for _, runner := range p.view.Runners {
		former[runner.Instance] = runner
	}
	for _, runner := range view.Runners {
		known, isKnown := former[runner.Instance]
		if !isKnown || !known.Equal(runner) {
			p.changedAt[runner.Instance] = p.revision
		}
		delete(former, runner.Instance)
	}
	for instance := range former {
		delete(p.changedAt, instance)
		p.removals = append(p.removals, removal{instance, p.revision})
	}
	if len(p.removals) > maxRemovals {
		dropped := len(p.removals) - maxRemovals
		p.partialFrom = p.removals[dropped-1].revision
		p.removals = slices.Delete(p.removals, 0, dropped)
	}
	p.view = view
	clear(p.encoded)
	return true
}

// Revision is that of the newest view.
func (p *Publisher) Revision() uint64 { return p.revision }

// Runners counts the runners in the newest view.
func (p *Publisher) Runners() int { return len(p.view.Runners) }

// Since returns the newest view for one who knows a revision, 0 for none: only what has
// changed, if that is known.
func (p *Publisher) Since(known uint64) View {
	if known == 0 || known < p.partialFrom || known > p.revision {
		return p.view
	}
	partial := View{Partial: true, Complete: p.view.Complete, Gone: p.view.Gone}
	for _, runner := range p.view.Runners {
		if p.changedAt[runner.Instance] > known {
			partial.Runners = append(partial.Runners, runner)
		}
	}
	for _, each := range p.removals {
		if each.revision > known && p.changedAt[each.instance] == 0 {
			partial.Removed = append(partial.Removed, each.instance)
		}
	}
	partial.Removed = withIDs(partial.Removed, p.isListed)
	return partial
}

// isListed reports whether a life of the runner with the ID is in the view.
func (p *Publisher) isListed(id string) bool {
	return slices.ContainsFunc(p.view.Runners, func(runner Runner) bool { return IDOf(runner.Instance) == id })
}

// EncodedSince is Since as bytes, which are made once for all who know the revision.
func (p *Publisher) EncodedSince(known uint64) (EncodedView, error) {
	if encoded, isMade := p.encoded[known]; isMade {
		return encoded, nil
	}
	encoded, err := p.Since(known).Encode()
	if err == nil {
		p.encoded[known] = encoded
	}
	return encoded, err
}
