package fleet

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"
)

// A publisher remembers the last len(runners)/removalsDivisor removals, at least minRemovals, for
// partial views. A removal takes some 40 bytes, a full view some 20 bytes per runner.
const (
	minRemovals     = 512
	removalsDivisor = 4
	// minChanges is the number of changes from which outdated ones are dropped.
	minChanges = 512
)

// Publisher assigns revisions to the changes of a view, so that routers that know an earlier
// revision get only what has changed since.
type Publisher struct {
	view     View
	revision uint64
	// changedAt maps each runner to the revision in which it last changed. changes lists all changes in
	// the order of their revisions, some of them outdated.
	changedAt map[string]uint64
	changes   []change
	removals  []change
	// goneAt maps each instance to the revision in which it was first listed as gone.
	goneAt map[string]uint64
	// encoded caches the encoded results of Since for the current revision, by known revision.
	encoded map[uint64]EncodedView
	// encodedTakeoverChanges caches those of TakeoverChangesSince. firstHeardAt maps each runner to the revision in which
	// it was first heard.
	encodedTakeoverChanges map[uint64]EncodedView
	// whole is the cached full view, encoded at wholeAt from revision wholeRevision.
	whole         EncodedView
	wholeRevision uint64
	wholeAt       time.Time
	firstHeardAt  map[string]uint64
	// partialFrom is the lowest revision from which partial views can be computed.
	partialFrom uint64
	// spare is the runner slice that the last Publish released.
	spare []Runner
}

// change is a change of a runner, or its removal.
type change struct {
	instance string
	revision uint64
}

// NewPublisher returns a publisher at revision 0, which no router knows.
func NewPublisher() *Publisher {
	return &Publisher{
		changedAt: make(map[string]uint64), goneAt: make(map[string]uint64), encoded: make(map[uint64]EncodedView),
		encodedTakeoverChanges: make(map[uint64]EncodedView), firstHeardAt: make(map[string]uint64),
	}
}

// Spare returns an empty slice for the runners of the next view with at least the capacity of the
// last one, to avoid allocating the whole list at each update. The caller owns it until Publish.
// Results of Since must not be read after the next Publish.
func (p *Publisher) Spare() []Runner {
	spare := p.spare
	p.spare = nil
	if minCapacity := len(p.view.Runners); cap(spare) < minCapacity {
		spare = make([]Runner, 0, minCapacity)
	}
	return spare[:0]
}

// Publish sets the newest view and reports whether it differs from the one before.
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
		if !isKnown || !former[0].equals(runner) {
			p.noteChange(runner.Instance, next)
			isChanged = true
			if isKnown {
				p.recordFirstHeard(&former[0], runner)
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
	if !slices.Equal(view.Gone, p.view.Gone) {
		p.recordGone(view.Gone)
	}
	p.trimRemovals()
	p.trimChanges(len(view.Runners))
	p.spare, p.view = p.view.Runners, view
	clear(p.encoded)
	clear(p.encodedTakeoverChanges)
	return true
}

// sortedByInstance returns the runners sorted by instance. It does not copy a sorted slice.
func sortedByInstance(runners []Runner) []Runner {
	order := func(a, b Runner) int { return strings.Compare(a.Instance, b.Instance) }
	if slices.IsSortedFunc(runners, order) {
		return runners
	}
	return slices.SortedStableFunc(slices.Values(runners), order)
}

// noteChange records that a runner changes in the revision.
func (p *Publisher) noteChange(instance string, revision uint64) {
	p.changedAt[instance] = revision
	p.changes = append(p.changes, change{instance, revision})
}

// trimChanges drops the outdated changes if they outnumber the runners.
func (p *Publisher) trimChanges(runners int) {
	if len(p.changes) > minChanges+2*runners {
		p.changes = slices.DeleteFunc(p.changes, func(each change) bool { return p.changedAt[each.instance] != each.revision })
	}
}

// remove records that a runner is no longer listed from the revision on.
func (p *Publisher) remove(instance string, revision uint64) {
	delete(p.changedAt, instance)
	delete(p.firstHeardAt, instance)
	p.removals = append(p.removals, change{instance, revision})
}

// recordGone records in which revision instances were first listed as gone. Routers are told of
// each only once, since a rollout may leave thousands of them.
func (p *Publisher) recordGone(gone []string) {
	former := p.goneAt
	p.goneAt = make(map[string]uint64, len(gone))
	for _, instance := range gone {
		p.goneAt[instance] = p.revision
		if at, isKnown := former[instance]; isKnown {
			p.goneAt[instance] = at
		}
	}
}

// trimRemovals bounds the remembered removals. The bound grows with the fleet, so that a rollout of
// a tenth of it does not cause a full view for every router.
func (p *Publisher) trimRemovals() {
	limit := max(minRemovals, len(p.view.Runners)/removalsDivisor)
	if len(p.removals) <= limit {
		return
	}
	dropped := len(p.removals) - limit
	p.partialFrom = p.removals[dropped-1].revision
	p.removals = slices.Delete(p.removals, 0, dropped)
}

// Revision returns the revision of the newest view.
func (p *Publisher) Revision() uint64 { return p.revision }

// Runners returns the number of runners in the newest view.
func (p *Publisher) Runners() int { return len(p.view.Runners) }

// Since returns the changes since a known revision as a partial view, or the full view if known is
// 0 or the changes are not available.
func (p *Publisher) Since(known uint64) View {
	if known == 0 || known < p.partialFrom || known > p.revision {
		return p.view
	}
	partial := View{Partial: true, Complete: p.view.Complete, Gone: p.goneSince(known)}
	for _, i := range p.changedSince(known) {
		partial.Runners = append(partial.Runners, p.view.Runners[i])
	}
	partial.Removed = p.removedSince(known)
	return partial
}

// changedSince returns the indexes of the runners that have changed after the revision, in ascending
// order.
func (p *Publisher) changedSince(known uint64) []int {
	var indexes []int
	for _, each := range p.changes[firstAfter(p.changes, known):] {
		if p.changedAt[each.instance] != each.revision {
			continue
		}
		if i, isListed := p.find(each.instance); isListed {
			indexes = append(indexes, i)
		}
	}
	slices.Sort(indexes)
	// A view adopted twice lists its changes twice.
	return slices.Compact(indexes)
}

// firstAfter returns the index of the first change after the revision.
func firstAfter(changes []change, revision uint64) int {
	i, _ := slices.BinarySearchFunc(changes, revision+1, func(each change, target uint64) int { return cmp.Compare(each.revision, target) })
	return i
}

// goneSince returns the instances that were first listed as gone after the revision.
func (p *Publisher) goneSince(known uint64) []string {
	var gone []string
	for _, instance := range p.view.Gone {
		if p.goneAt[instance] > known {
			gone = append(gone, instance)
		}
	}
	return gone
}

// removedSince returns the runners that were removed after the revision and are not listed again.
func (p *Publisher) removedSince(known uint64) []string {
	var removed []string
	for _, each := range p.removals[firstAfter(p.removals, known):] {
		if p.changedAt[each.instance] == 0 {
			removed = append(removed, each.instance)
		}
	}
	return appendIDs(removed, p.isListed)
}

// isListed reports whether an incarnation of the runner with the ID is in the view.
func (p *Publisher) isListed(id string) bool {
	if _, isListed := p.find(id); isListed {
		return true
	}
	prefix := id + incarnationSeparator
	at, _ := p.find(prefix)
	return at < len(p.view.Runners) && strings.HasPrefix(p.view.Runners[at].Instance, prefix)
}

// find returns the index of an instance in the view, or where it would be listed.
func (p *Publisher) find(instance string) (index int, isListed bool) {
	index = sort.Search(len(p.view.Runners), func(i int) bool { return p.view.Runners[i].Instance >= instance })
	return index, index < len(p.view.Runners) && p.view.Runners[index].Instance == instance
}

const (
	// largeViewBytes is the size from which an encoded full view is reused for wholeViewTTL:
	// encoding ten thousand runners takes some tens of milliseconds, and routers fetch the later
	// changes right away.
	largeViewBytes = 16 << 10
	wholeViewTTL   = 2 * time.Second
)

// Whole returns an encoded full view and its revision. It may reuse a large view of up to
// wholeViewTTL ago, but none older than the known revision, since that could list a departed runner
// again.
func (p *Publisher) Whole(now time.Time, known uint64) (view EncodedView, revision uint64, err error) {
	isFresh := len(p.whole.Bytes) >= largeViewBytes && p.wholeRevision >= known && now.Sub(p.wholeAt) < wholeViewTTL && p.wholeRevision >= p.partialFrom
	if p.wholeRevision > 0 && (isFresh || p.wholeRevision == p.revision) {
		return p.whole, p.wholeRevision, nil
	}
	encoded, err := p.view.Encode()
	if err != nil {
		return encoded, 0, err
	}
	p.whole, p.wholeRevision, p.wholeAt = encoded, p.revision, now
	return encoded, p.revision, nil
}

// IsLarge reports whether a full view is too large to send to all routers at once.
func (p *Publisher) IsLarge(now time.Time) bool {
	whole, _, err := p.Whole(now, 0)
	return err == nil && len(whole.Bytes) >= largeViewBytes
}

// EncodedSince returns the encoded result of Since. It encodes only once per known revision.
func (p *Publisher) EncodedSince(known uint64) (EncodedView, error) {
	return p.encodeOnce(p.encoded, known, p.Since)
}
