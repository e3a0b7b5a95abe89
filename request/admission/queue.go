package admission

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Defaults of Options.
const (
	DefaultLimit       = 256
	DefaultCallerLimit = 64
	DefaultGuardAfter  = 16
)

// fairnessSlack is how many weighted turns a caller may be ahead of its share
// and still compete by deadline.
const fairnessSlack = 2.0

// PreferenceLimit is how often an item is passed over for a preferred one, and
// preferenceWidth how many items are looked at.
const (
	PreferenceLimit = 8
	preferenceWidth = 16
)

// Options are the settings of a Queue; zero values mean the defaults.
type Options struct {
	// Limit bounds the requests in the queue.
	Limit int
	// CallerLimit bounds the requests of one caller in the queue.
	CallerLimit int
	// GuardAfter is how many turns a waiting class is passed over before it gets one.
	GuardAfter int
	// Weight gives a caller's share; nil means that all callers weigh 1. Values
	// below 1 count as 1.
	Weight func(caller string) int
}

// Item is a request as the queue sees it.
type Item struct {
	ID         structs.RequestID
	Caller     string
	Priority   structs.Priority
	QueuedAt   time.Time
	DeadlineAt time.Time
}

// Verdict is the queue's answer to Push.
type Verdict uint8

// The verdicts.
const (
	// Queued: the item waits.
	Queued Verdict = iota
	// QueuedDisplacing: the item waits, and the returned batch item was shed for it.
	QueuedDisplacing
	// FullQueue: the item was not queued since the queue is full.
	FullQueue
	// FullCaller: the item was not queued since its caller has too many waiting.
	FullCaller
	// Duplicate: an item with this ID waits already.
	Duplicate
)

// Queue is the bounded queue of one row.
type Queue struct {
	options Options
	classes [structs.PriorityCount]class
	nodes   map[structs.RequestID]*node
	callers map[string]int
	free    *node
}

// node is a queued item with its places in the orders of its class.
type node struct {
	Item
	sequence uint64
	position int
	flow     *flow
	// passed counts how often another item was preferred while it was this one's turn.
	passed int
	// newer and older link the class by arrival.
	newer, older *node
}

// NewQueue makes an empty queue.
func NewQueue(options Options) *Queue {
	if options.Limit <= 0 {
		options.Limit = DefaultLimit
	}
	if options.CallerLimit <= 0 {
		options.CallerLimit = DefaultCallerLimit
	}
	if options.GuardAfter <= 0 {
		options.GuardAfter = DefaultGuardAfter
	}
	queue := &Queue{options: options}
	queue.nodes = make(map[structs.RequestID]*node)
	queue.callers = make(map[string]int)
	for index := range queue.classes {
		queue.classes[index] = newClass()
	}
	return queue
}

// Push adds an item. With QueuedDisplacing the returned item has left the queue
// and must be refused.
func (q *Queue) Push(item Item) (Item, Verdict) {
	if _, exists := q.nodes[item.ID]; exists {
		return Item{}, Duplicate
	}
	if q.callers[item.Caller] >= q.options.CallerLimit {
		return Item{}, FullCaller
	}
	item.Priority = clampPriority(item.Priority)
	if len(q.nodes) < q.options.Limit {
		q.insert(item)
		return Item{}, Queued
	}
	victim := q.classes[structs.PriorityBatch].newest
	if item.Priority != structs.PriorityLive || victim == nil {
		return Item{}, FullQueue
	}
	shed := victim.Item
	q.remove(victim)
	q.insert(item)
	return shed, QueuedDisplacing
}

// Peek returns the item whose turn it is; Pop removes this very item when
// nothing changes in between.
func (q *Queue) Peek() (Item, bool) {
	index, ok := q.turn()
	if !ok {
		return Item{}, false
	}
	return q.classes[index].next().Item, true
}

// Pop removes the item whose turn it is and counts the turn.
func (q *Queue) Pop() (Item, bool) {
	index, ok := q.turn()
	if !ok {
		return Item{}, false
	}
	return q.take(index, q.classes[index].next()), true
}

// PopPreferred removes, of the next few items of the class whose turn it is, the
// one with the highest score, and counts the turn for its caller. The item whose
// turn it is goes if none has a higher score, or if it was passed over
// PreferenceLimit times. Only callers that are due take part.
func (q *Queue) PopPreferred(score func(Item) int) (Item, bool) {
	index, ok := q.turn()
	if !ok {
		return Item{}, false
	}
	head := q.classes[index].next()
	chosen := head
	if head.passed < PreferenceLimit {
		chosen = q.classes[index].preferred(head, score)
	}
	if chosen != head {
		head.passed++
	}
	return q.take(index, chosen), true
}

// take removes an item of the class and counts the turn for its caller.
func (q *Queue) take(index int, chosen *node) Item {
	q.countTurn(index)
	item := chosen.Item
	q.classes[index].charge(chosen.flow)
	q.remove(chosen)
	return item
}

// Remove takes the item out without a turn; it reports whether it was there.
func (q *Queue) Remove(id structs.RequestID) bool {
	found, ok := q.nodes[id]
	if ok {
		q.remove(found)
	}
	return ok
}

// Len counts the items.
func (q *Queue) Len() int { return len(q.nodes) }

// countFrom counts the items of the class and of those above it.
func (q *Queue) countFrom(class int) int {
	count := 0
	for index := class; index < structs.PriorityCount; index++ {
		count += q.classes[index].length
	}
	return count
}

// AheadOf counts the items that probably go before a new item of the caller: all
// of higher priority, the caller's own of its priority, and of each other caller
// of that priority as many as its share of turns meanwhile.
func (q *Queue) AheadOf(priority structs.Priority, caller string) int {
	priority = clampPriority(priority)
	return q.countFrom(int(priority)+1) + q.classes[priority].aheadOf(caller, q.weight(caller))
}

// EachAhead calls visit for every item as Each does, with the number of items
// that probably go before it. Items of the class for which visit returns false do
// not count for those after them.
func (q *Queue) EachAhead(visit func(item Item, ahead int) (stays bool)) {
	higher := 0
	for index := structs.PriorityCount - 1; index >= 0; index-- {
		higher += q.classes[index].eachAhead(higher, visit)
	}
}

// Newest returns the item of the class that was queued last; ok is false for an
// empty class.
func (q *Queue) Newest(priority structs.Priority) (newest Item, ok bool) {
	last := q.classes[clampPriority(priority)].newest
	if last == nil {
		return Item{}, false
	}
	return last.Item, true
}

// Highest returns the highest priority waiting; ok is false for an empty queue.
func (q *Queue) Highest() (highest structs.Priority, ok bool) {
	for index := structs.PriorityCount - 1; index >= 0; index-- {
		if q.classes[index].length > 0 {
			return structs.Priority(index), true
		}
	}
	return 0, false
}

// Each calls visit for every item, the highest class first and the oldest of a
// class first, until visit returns false. The queue must not change meanwhile.
func (q *Queue) Each(visit func(Item) bool) {
	for index := structs.PriorityCount - 1; index >= 0; index-- {
		for current := q.classes[index].oldest; current != nil; current = current.newer {
			if !visit(current.Item) {
				return
			}
		}
	}
}

// turn chooses the class to serve: the lowest one that was passed over too
// often, else the highest that waits.
func (q *Queue) turn() (int, bool) {
	highest := -1
	for index := range q.classes {
		if q.classes[index].length == 0 {
			continue
		}
		if q.classes[index].passed >= q.options.GuardAfter {
			return index, true
		}
		highest = index
	}
	return highest, highest >= 0
}

// countTurn notes which classes the turn of the served one passes over.
func (q *Queue) countTurn(served int) {
	for index := range q.classes {
		if index == served || q.classes[index].length == 0 {
			q.classes[index].passed = 0
			continue
		}
		if index < served {
			q.classes[index].passed++
		}
	}
}

func (q *Queue) insert(item Item) {
	added := q.free
	if added == nil {
		added = &node{}
	} else {
		q.free = added.newer
		*added = node{}
	}
	added.Item = item
	q.nodes[item.ID] = added
	q.callers[item.Caller]++
	q.classes[item.Priority].insert(added, q.weight(item.Caller))
}

func (q *Queue) remove(leaving *node) {
	delete(q.nodes, leaving.ID)
	q.callers[leaving.Caller]--
	if q.callers[leaving.Caller] == 0 {
		delete(q.callers, leaving.Caller)
	}
	q.classes[leaving.Priority].remove(leaving)
	*leaving = node{newer: q.free}
	q.free = leaving
}

func (q *Queue) weight(caller string) float64 {
	if q.options.Weight == nil {
		return 1
	}
	return float64(max(1, q.options.Weight(caller)))
}

func clampPriority(priority structs.Priority) structs.Priority {
	return min(max(priority, structs.PriorityBatch), structs.PriorityLive)
}
