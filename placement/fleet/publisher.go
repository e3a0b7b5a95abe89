package fleet

import (
	"slices"
	"strings"
)

// Of removals at least minRemovals are remembered for partial views, and a removalsShare of the runners: a removal
// is some 40 bytes where a whole view has 20 for each runner.
const (
	minRemovals   = 512
	removalsShare = 4
)

// Publisher numbers the changes of a view, so that who knows an earlier one is told
// only what has changed.
type Publisher struct {
	view     View
	revision uint64
	// changedAt is the revision in which each runner last changed.
	changedAt map[string]uint64
	removals  []removal
	// goneAt is the revision in which each instance was first listed as gone.
	goneAt map[string]uint64
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
	return &Publisher{
		changedAt: make(map[string]uint64), goneAt: make(map[string]uint64), encoded: make(map[uint64]EncodedView),
	}
}

// Publish takes the newest view and reports whether it differs from the one before.
func (p *Publisher) Publish(view View) bool {
	view.Runners = sortedByInstance(view.Runners)
	next := p.revision + 1
	isChanged := p.revision == 0 || view.Complete != p.view.Complete || !slices.Equal(view.Gone, p.view.Gone)
	former := p.view.Runners
	for i := range view.Runners {
		runner := &view.Runners[i]
		for len(former) > 0 && former[0].Instance < runner.Instance {
			p.remove(former[0].Instance, next)
			isChanged = true
			former = former[1:]
		}
		isKnown := len(former) > 0 && former[0].Instance == runner.Instance
		if !isKnown || !former[0].Equal(*runner) {
			p.changedAt[runner.Instance] = next
			isChanged = true
		}
		if isKnown {
			former = former[1:]
		}
	}
	for i := range former {
		p.remove(former[i].Instance, next)
		isChanged = true
	}
	if !isChanged {
		return false
	}
	p.revision = next
	p.noteGone(view.Gone)
	p.forgetRemovals()
	p.view = view
	clear(p.encoded)
	return true
}

// sortedByInstance returns the runners in the order of their instances, which a leader lists them in.
func sortedByInstance(runners []Runner) []Runner {
	order := func(a, b Runner) int { return strings.Compare(a.Instance, b.Instance) }
	if slices.IsSortedFunc(runners, order) {
		return runners
	}
	return slices.SortedStableFunc(slices.Values(runners), order)
}

// remove notes that a runner is listed no more from a revision on.
func (p *Publisher) remove(instance string, revision uint64) {
	delete(p.changedAt, instance)
	p.removals = append(p.removals, removal{instance, revision})
}

// noteGone notes in which revision instances were first listed as gone: who knows it need not be told again, and
// thousands are gone while a fleet is released anew.
func (p *Publisher) noteGone(gone []string) {
	former := p.goneAt
	p.goneAt = make(map[string]uint64, len(gone))
	for _, instance := range gone {
		p.goneAt[instance] = p.revision
		if at, isKnown := former[instance]; isKnown {
			p.goneAt[instance] = at
		}
	}
}

// forgetRemovals bounds the removals that are remembered, by the size of the view: a release of a tenth of a fleet
// must not have everybody get a whole view.
func (p *Publisher) forgetRemovals() {
	most := max(minRemovals, len(p.view.Runners)/removalsShare)
	if len(p.removals) <= most {
		return
	}
	dropped := len(p.removals) - most
	p.partialFrom = p.removals[dropped-1].revision
	p.removals = slices.Delete(p.removals, 0, dropped)
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
	partial := View{Partial: true, Complete: p.view.Complete}
	for _, instance := range p.view.Gone {
		if p.goneAt[instance] > known {
			partial.Gone = append(partial.Gone, instance)
		}
	}
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
