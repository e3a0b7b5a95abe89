package fleet

import (
	"slices"
	"strings"
	"time"
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
	// encodedNews holds the same of NewsSince, and heardAt the revision in which each runner was first heard.
	encodedNews map[uint64]EncodedView
	// whole is the newest view as bytes, as of wholeRevision and wholeAt.
	whole         EncodedView
	wholeRevision uint64
	wholeAt       time.Time
	heardAt       map[string]uint64
	// partialFrom is the least revision from which changes are known.
	partialFrom uint64
	// spare is the memory of runners that the last Publish let go of.
	spare []Runner
}

type removal struct {
	instance string
	revision uint64
}

// NewPublisher makes a publisher at revision 0, which nobody knows.
func NewPublisher() *Publisher {
	return &Publisher{
		changedAt: make(map[string]uint64), goneAt: make(map[string]uint64), encoded: make(map[uint64]EncodedView),
		encodedNews: make(map[uint64]EncodedView), heardAt: make(map[string]uint64),
	}
}

// Spare returns memory for the runners of the next view, of the same size as the last at least: a leader looks at all
// runners several times a second, and each look at ten thousand is two megabytes. Nobody else may use it; what Since
// returned must not be read after the next Publish.
func (p *Publisher) Spare() []Runner {
	spare := p.spare
	p.spare = nil
	if most := len(p.view.Runners); cap(spare) < most {
		spare = make([]Runner, 0, most)
	}
	return spare[:0]
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
			if isKnown {
				p.noteHeard(&former[0], runner)
			}
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
		p.spare = view.Runners
		return false
	}
	p.revision = next
	p.noteGone(view.Gone)
	p.forgetRemovals()
	p.spare, p.view = p.view.Runners, view
	clear(p.encoded)
	clear(p.encodedNews)
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
	delete(p.heardAt, instance)
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
	partial := View{Partial: true, Complete: p.view.Complete, Gone: p.goneSince(known)}
	for _, runner := range p.view.Runners {
		if p.changedAt[runner.Instance] > known {
			partial.Runners = append(partial.Runners, runner)
		}
	}
	partial.Removed = p.removedSince(known)
	return partial
}

// goneSince lists the instances that were first listed as gone after a revision.
func (p *Publisher) goneSince(known uint64) []string {
	var gone []string
	for _, instance := range p.view.Gone {
		if p.goneAt[instance] > known {
			gone = append(gone, instance)
		}
	}
	return gone
}

// removedSince lists the runners that have not been listed since some time after a revision.
func (p *Publisher) removedSince(known uint64) []string {
	var removed []string
	for _, each := range p.removals {
		if each.revision > known && p.changedAt[each.instance] == 0 {
			removed = append(removed, each.instance)
		}
	}
	return withIDs(removed, p.isListed)
}

// isListed reports whether a life of the runner with the ID is in the view.
func (p *Publisher) isListed(id string) bool {
	order := func(runner Runner, name string) int { return strings.Compare(runner.Instance, name) }
	if _, isListed := slices.BinarySearchFunc(p.view.Runners, id, order); isListed {
		return true
	}
	lives := id + bornSeparator
	at, _ := slices.BinarySearchFunc(p.view.Runners, lives, order)
	return at < len(p.view.Runners) && strings.HasPrefix(p.view.Runners[at].Instance, lives)
}

const (
	// largeView is the size in bytes from which a whole view is worth keeping, and wholeLife how long: to encode
	// one of ten thousand runners takes some tens of milliseconds, and who gets it asks for the rest at once.
	largeView = 16 << 10
	wholeLife = 2 * time.Second
)

// Whole returns a whole view as bytes, and its revision: the newest, or a large one of just before that is no older
// than a revision which its reader knows, as nobody may be told again of a runner that has left.
func (p *Publisher) Whole(now time.Time, known uint64) (view EncodedView, revision uint64, err error) {
	isYoung := len(p.whole.Bytes) >= largeView && p.wholeRevision >= known && now.Sub(p.wholeAt) < wholeLife && p.wholeRevision >= p.partialFrom
	if p.wholeRevision > 0 && (isYoung || p.wholeRevision == p.revision) {
		return p.whole, p.wholeRevision, nil
	}
	encoded, err := p.view.Encode()
	if err != nil {
		return encoded, 0, err
	}
	p.whole, p.wholeRevision, p.wholeAt = encoded, p.revision, now
	return encoded, p.revision, nil
}

// IsLarge reports whether a whole view is so large that a leader must not send it to all routers at once.
func (p *Publisher) IsLarge(now time.Time) bool {
	whole, _, err := p.Whole(now, 0)
	return err == nil && len(whole.Bytes) >= largeView
}

// EncodedSince is Since as bytes, which are made once for all who know the revision.
func (p *Publisher) EncodedSince(known uint64) (EncodedView, error) {
	return p.encodeOnce(p.encoded, known, p.Since)
}
