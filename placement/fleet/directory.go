package fleet

import (
	"slices"

	"github.com/lotusferry/lotusferry/placement/pace"
)

// ModelKey names a model of a service. Without a model it names the service itself.
type ModelKey struct{ Service, Model string }

// Directory is what a router knows of the runners. What it does at a change goes with the change and not with
// how many runners there are: at ten thousand runners, a view of three that changed takes it some microseconds.
// Make one with NewDirectory; its methods must not run at the same time.
type Directory struct {
	runners map[string]*entry
	// addresses names the runner at each address, and lives the life of the runner with each ID.
	addresses map[string]string
	lives     map[string]string
	// holders are by model, those of a whole service under no model.
	holders map[ModelKey][]*entry
	// unconfirmed counts the runners that the present leader has not listed yet.
	unconfirmed int
	words       words
}

// entry is a runner in a Directory.
type entry struct {
	Runner
	// position is that among the runners of its service.
	position int
}

// NewDirectory makes a Directory that knows no runner.
func NewDirectory() *Directory {
	return &Directory{
		runners:   make(map[string]*entry),
		addresses: make(map[string]string),
		lives:     make(map[string]string),
		holders:   make(map[ModelKey][]*entry),
		words:     make(words),
	}
}

// Changes are the runners of which something else is known after a view was learned than before.
type Changes struct {
	// Changed are new, or tell something else of themselves, Removed are known no more.
	Changed []string
	Removed []string
}

// Learn adopts a newer view. An incomplete view adds to what is known and takes away only what is certainly
// gone, so that a new leader, which has not heard the heartbeats yet, empties no router's list. Once a view is
// complete, what its leader never listed is gone.
func (d *Directory) Learn(view View) Changes {
	var changes Changes
	if !view.Partial {
		d.unconfirm(&view, &changes)
	}
	for _, ended := range [][]string{view.Removed, view.Gone} {
		for _, instance := range ended {
			d.remove(instance, &changes)
		}
	}
	recalled := d.recalled(view.Runners)
	for i := range view.Runners {
		d.learn(recalled.of(view.Runners[i]), &changes)
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

// recalled are runners that a leader lists which has not heard them yet, as they were known.
type recalled map[string]Runner

// recalled looks up those of the runners that are known. It does so before any of them is adopted, as they may have
// changed places.
func (d *Directory) recalled(runners []Runner) recalled {
	var found recalled
	for i := range runners {
		if !runners[i].Recalled {
			continue
		}
		if known := d.runners[runners[i].Instance]; known != nil {
			if found == nil {
				found = make(recalled)
			}
			found[known.Instance] = known.Runner
		}
	}
	return found
}

// of completes what a leader tells of a runner that it has not heard: it does not know what the runner holds, how
// quick it is, or whether it is cold, and says nothing of that. What the leader before said is most often still
// so: without it requests had no runners until each has sent its next heartbeat, and what is so no more a runner
// itself refuses.
func (r recalled) of(told Runner) Runner {
	known, isKnown := r[told.Instance]
	if !isKnown {
		return told
	}
	told.Cold = told.Cold || known.Cold
	if len(told.Models) == 0 {
		told.Models = known.Models
	}
	if told.Pace == (pace.Runner{}) {
		told.Pace, told.Slow = known.Pace, known.Slow
	}
	return told
}

// unconfirm prepares for a whole view: a complete one takes away what it does not list, another leaves that
// unconfirmed.
func (d *Directory) unconfirm(view *View, changes *Changes) {
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

// learn takes what a view tells of a runner. Another one at its address and another life of it have ended.
func (d *Directory) learn(told Runner, changes *Changes) {
	if other := d.addresses[told.Address]; other != "" && other != told.Instance {
		d.remove(other, changes)
	}
	if former := d.lives[IDOf(told.Instance)]; former != "" && former != told.Instance {
		d.remove(former, changes)
	}
	known := d.runners[told.Instance]
	runner := d.words.share(told)
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
	d.unlist(known)
	known.Runner = runner
	d.list(known)
	changes.Changed = append(changes.Changed, runner.Instance)
}

func (d *Directory) add(runner Runner) {
	added := &entry{Runner: runner}
	d.runners[runner.Instance] = added
	d.list(added)
}

func (d *Directory) remove(instance string, changes *Changes) {
	known := d.runners[instance]
	if known == nil {
		return
	}
	if known.Unconfirmed {
		d.unconfirmed--
	}
	d.unlist(known)
	delete(d.runners, instance)
	changes.Removed = append(changes.Removed, instance)
}

// list puts a runner where it is looked up by.
func (d *Directory) list(known *entry) {
	if known.Address != "" {
		d.addresses[known.Address] = known.Instance
	}
	d.lives[IDOf(known.Instance)] = known.Instance
	service := ModelKey{Service: known.Service}
	known.position = len(d.holders[service])
	d.holders[service] = append(d.holders[service], known)
	for i := range known.Models {
		key := ModelKey{known.Service, known.Models[i].Name}
		d.holders[key] = append(d.holders[key], known)
	}
}

// unlist is the reverse of list.
func (d *Directory) unlist(known *entry) {
	if d.addresses[known.Address] == known.Instance {
		delete(d.addresses, known.Address)
	}
	delete(d.lives, IDOf(known.Instance))
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

// Len counts the runners.
func (d *Directory) Len() int { return len(d.runners) }

// Runner returns what is known of a runner; nil for one that is not listed. It must not be changed.
func (d *Directory) Runner(instance string) *Runner {
	if known := d.runners[instance]; known != nil {
		return &known.Runner
	}
	return nil
}

// IsTaken reports whether a runner is listed at the address.
func (d *Directory) IsTaken(address string) bool { return d.addresses[address] != "" }

// Each calls visit for the runners that hold a model, or those of a service, until it returns false. They must
// not be changed.
func (d *Directory) Each(key ModelKey, visit func(*Runner) bool) {
	for _, known := range d.holders[key] {
		if !visit(&known.Runner) {
			return
		}
	}
}

// Instances lists all runners, in no order.
func (d *Directory) Instances() []string {
	listed := make([]string, 0, len(d.runners))
	for instance := range d.runners {
		listed = append(listed, instance)
	}
	return listed
}

// Update changes what is known of a runner until the next view that tells of it, by a function that gets a copy
// of it and returns false for a runner to be removed.
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
	d.unlist(known)
	known.Runner = changed
	d.list(known)
}

// words holds one copy of each text that many runners share: names of services, zones, models and adapters.
type words map[string]string

func (w words) of(text string) string {
	if known, isKnown := w[text]; isKnown {
		return known
	}
	w[text] = text
	return text
}

// share is the runner with shared texts.
func (w words) share(runner Runner) Runner {
	runner.Service = w.of(runner.Service)
	runner.Zone = w.of(runner.Zone)
	for i := range runner.Models {
		model := &runner.Models[i]
		model.Name = w.of(model.Name)
		for j, adapter := range model.Adapters {
			model.Adapters[j] = w.of(adapter)
		}
	}
	return runner
}
