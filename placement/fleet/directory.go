package fleet

import (
	"slices"

	"github.com/lotusferry/lotusferry/placement/pace"
)

// ModelKey identifies a model of a service, or the service itself if Model is empty.
type ModelKey struct{ Service, Model string }

// Directory is a router's index of the runners. Applying a partial view costs time proportional to
// the view, not to the fleet. Create one with NewDirectory. Its methods are not safe for concurrent
// use.
type Directory struct {
	runners map[string]*entry
	// addresses maps an address to the instance there, and incarnations maps a runner ID to its
	// listed instance.
	addresses    map[string]string
	incarnations map[string]string
	// holders lists the runners that hold a model. A key without a model lists all runners of the
	// service.
	holders map[ModelKey][]*entry
	// unconfirmed counts the runners that the current leader has not listed yet.
	unconfirmed int
	// isComplete is set if the leader had heard of every live runner when it made the last view.
	isComplete bool
	names      interner
}

type entry struct {
	Runner
	// position is the index of the runner in the holders of its service.
	position int
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{
		runners:      make(map[string]*entry),
		addresses:    make(map[string]string),
		incarnations: make(map[string]string),
		holders:      make(map[ModelKey][]*entry),
		names:        make(interner),
	}
}

// Changes lists the instances whose entries changed when a view was applied.
type Changes struct {
	// Changed are new or updated instances, Removed those that are no longer listed.
	Changed []string
	Removed []string
}

// ApplyView applies a newer view. An incomplete view adds runners and removes only those that have
// certainly ended, so that a new leader which has not received all heartbeats doesn't empty the
// routers' directories. A complete view also removes every runner that its leader never listed.
func (d *Directory) ApplyView(view View) Changes {
	var changes Changes
	d.isComplete = view.Complete
	if !view.Partial {
		d.markUnconfirmed(&view, &changes)
	}
	for _, ended := range [][]string{view.Removed, view.Gone} {
		for _, instance := range ended {
			d.remove(instance, &changes)
		}
	}
	recalled := d.lookUpRecalled(view.Runners)
	for i := range view.Runners {
		d.applyRunner(recalled.fillIn(view.Runners[i]), &changes)
	}
	if view.Complete && d.unconfirmed > 0 {
		for instance, known := range d.runners {
			if known.Unconfirmed {
				d.remove(instance, &changes)
			}
		}
	}
	return changes
}

// recalledRunners holds the known state of runners that a new leader has listed but not heard from
// yet.
type recalledRunners map[string]Runner

// lookUpRecalled returns the known state of the recalled runners. It must run before any update is
// applied, since runners may have swapped addresses.
func (d *Directory) lookUpRecalled(runners []Runner) recalledRunners {
	var found recalledRunners
	for i := range runners {
		if !runners[i].Recalled {
			continue
		}
		if known := d.runners[runners[i].Instance]; known != nil {
			if found == nil {
				found = make(recalledRunners)
			}
			found[known.Instance] = known.Runner
		}
	}
	return found
}

// fillIn adds the known models, pace and cold state to the update of a recalled runner. A new
// leader does not have these before the runner's first heartbeat, and without them the runner would
// get no requests until then. If they are out of date, the runner rejects the request itself.
func (r recalledRunners) fillIn(update Runner) Runner {
	known, isKnown := r[update.Instance]
	if !isKnown {
		return update
	}
	update.Cold = update.Cold || known.Cold
	if len(update.Models) == 0 {
		update.Models = known.Models
	}
	if update.Pace == (pace.Runner{}) {
		update.Pace, update.Slow = known.Pace, known.Slow
	}
	return update
}

// markUnconfirmed handles the runners that a full view does not list: a complete view removes them,
// an incomplete one marks them unconfirmed.
func (d *Directory) markUnconfirmed(view *View, changes *Changes) {
	listed := make(map[string]struct{}, len(view.Runners))
	for i := range view.Runners {
		listed[view.Runners[i].Instance] = struct{}{}
	}
	for instance, known := range d.runners {
		_, isListed := listed[instance]
		switch {
		case isListed:
		case view.Complete:
			d.remove(instance, changes)
		case !known.Unconfirmed:
			known.Unconfirmed = true
			d.unconfirmed++
		}
	}
}

// applyRunner applies the update of one runner. It removes another runner at the same address and
// another incarnation of the same runner.
func (d *Directory) applyRunner(update Runner, changes *Changes) {
	if other := d.addresses[update.Address]; other != "" && other != update.Instance {
		d.remove(other, changes)
	}
	if former := d.incarnations[IDOf(update.Instance)]; former != "" && former != update.Instance {
		d.remove(former, changes)
	}
	known := d.runners[update.Instance]
	runner := d.names.internRunner(update)
	if known == nil {
		d.add(runner)
		changes.Changed = append(changes.Changed, runner.Instance)
		return
	}
	if known.Unconfirmed {
		d.unconfirmed--
		known.Unconfirmed = false
	}
	if known.Equal(runner) {
		return
	}
	d.removeFromIndex(known)
	known.Runner = runner
	d.addToIndex(known)
	changes.Changed = append(changes.Changed, runner.Instance)
}

func (d *Directory) add(runner Runner) {
	added := &entry{Runner: runner}
	d.runners[runner.Instance] = added
	d.addToIndex(added)
}

func (d *Directory) remove(instance string, changes *Changes) {
	known := d.runners[instance]
	if known == nil {
		return
	}
	if known.Unconfirmed {
		d.unconfirmed--
	}
	d.removeFromIndex(known)
	delete(d.runners, instance)
	changes.Removed = append(changes.Removed, instance)
}

// addToIndex adds the runner to the lookup maps.
func (d *Directory) addToIndex(known *entry) {
	if known.Address != "" {
		d.addresses[known.Address] = known.Instance
	}
	d.incarnations[IDOf(known.Instance)] = known.Instance
	service := ModelKey{Service: known.Service}
	known.position = len(d.holders[service])
	d.holders[service] = append(d.holders[service], known)
	for i := range known.Models {
		key := ModelKey{known.Service, known.Models[i].Name}
		d.holders[key] = append(d.holders[key], known)
	}
}

// removeFromIndex removes the runner from the lookup maps.
func (d *Directory) removeFromIndex(known *entry) {
	if d.addresses[known.Address] == known.Instance {
		delete(d.addresses, known.Address)
	}
	delete(d.incarnations, IDOf(known.Instance))
	service := ModelKey{Service: known.Service}
	runners := d.holders[service]
	last := runners[len(runners)-1]
	runners[known.position] = last
	last.position = known.position
	d.setHolders(service, runners[:len(runners)-1])
	for i := range known.Models {
		key := ModelKey{known.Service, known.Models[i].Name}
		d.setHolders(key, slices.DeleteFunc(d.holders[key], func(other *entry) bool { return other == known }))
	}
}

func (d *Directory) setHolders(key ModelKey, holders []*entry) {
	if len(holders) == 0 {
		delete(d.holders, key)
		return
	}
	d.holders[key] = holders
}

// IsComplete reports whether every live runner was listed when the last view was made. It is false before the first view, and while
// a new leader may not have heard from all runners.
func (d *Directory) IsComplete() bool { return d.isComplete }

// Len returns the number of runners.
func (d *Directory) Len() int { return len(d.runners) }

// Runner returns the entry of an instance, or nil if it is not listed. The caller must not modify
// it.
func (d *Directory) Runner(instance string) *Runner {
	if known := d.runners[instance]; known != nil {
		return &known.Runner
	}
	return nil
}

// InstanceAt returns the instance that is listed at the address, or "".
func (d *Directory) InstanceAt(address string) string { return d.addresses[address] }

// IsTaken reports whether a runner is listed at the address.
func (d *Directory) IsTaken(address string) bool { return d.InstanceAt(address) != "" }

// Each calls visit for each runner that holds the model, or each runner of the service if key has
// no model, until visit returns false. visit must not modify the runner.
func (d *Directory) Each(key ModelKey, visit func(*Runner) bool) {
	for _, known := range d.holders[key] {
		if !visit(&known.Runner) {
			return
		}
	}
}

// Instances returns all instances in unspecified order.
func (d *Directory) Instances() []string {
	listed := make([]string, 0, len(d.runners))
	for instance := range d.runners {
		listed = append(listed, instance)
	}
	return listed
}

// Update calls change with a copy of the runner and stores the result, or removes the runner if
// change returns false. The result holds until the next view that lists the runner.
func (d *Directory) Update(instance string, change func(*Runner) bool) {
	known := d.runners[instance]
	if known == nil {
		return
	}
	changed := known.Runner
	if !change(&changed) {
		d.remove(instance, &Changes{})
		return
	}
	d.removeFromIndex(known)
	known.Runner = changed
	d.addToIndex(known)
}

// interner shares the strings that many runners have in common: names of services, zones, models
// and adapters.
type interner map[string]string

func (w interner) intern(text string) string {
	if known, isKnown := w[text]; isKnown {
		return known
	}
	w[text] = text
	return text
}

// internRunner returns the runner with interned strings.
func (w interner) internRunner(runner Runner) Runner {
	runner.Service = w.intern(runner.Service)
	runner.Zone = w.intern(runner.Zone)
	for i := range runner.Models {
		model := &runner.Models[i]
		model.Name = w.intern(model.Name)
		for j, adapter := range model.Adapters {
			model.Adapters[j] = w.intern(adapter)
		}
	}
	return runner
}
