package admission

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Defaults of Options.
const (
	DefaultLimit         = 256
	DefaultCallerLimit   = 64
	DefaultMaxPassedOver = 16
)

// fairnessSlack is how many weighted turns a caller may be ahead of its share and still
// compete by deadline.
const fairnessSlack = 2.0

// PreferenceLimit is how often an item may be passed over for a preferred one, and
// preferenceWindow the number of items considered.
const (
	PreferenceLimit  = 8
	preferenceWindow = 16
)

// Options are the settings of a Queue; zero values mean the defaults.
type Options struct {
	// Limit limits the requests in the queue.
	Limit int
	// CallerLimit limits the requests of one caller in the queue.
	CallerLimit int
	// MaxPassedOver is how many times a waiting class is passed over before it gets a turn.
	MaxPassedOver int
	// Weight returns the weight of a caller; nil means that all callers have weight 1.
	// Values below 1 count as 1.
	Weight func(caller string) int
}

// Item is a queued request.
type Item struct {
	ID         structs.RequestID
	Caller     string
	Priority   structs.Priority
	QueuedAt   time.Time
	DeadlineAt time.Time
}

// Verdict is the result of Push.
type Verdict uint8

// The verdicts.
const (
	// Queued: the item was queued.
	Queued Verdict = iota
	// QueuedDisplacing: the item was queued and displaced the returned batch item.
	QueuedDisplacing
	// FullQueue: the item was rejected because the queue is full.
	FullQueue
	// FullCaller: the item was rejected because its caller has too many waiting items.
	FullCaller
	// Duplicate: an item with this ID is already queued.
	Duplicate
)

// Queue is the bounded queue of one row.
type Queue struct {
	options   Options
	classes   [structs.PriorityCount]class
	nodes     map[structs.RequestID]*node
	callers   map[string]int
	freeNodes *node
}

// node is a queued item with its positions in its class.
type node struct {
	Item
	sequence uint64
	position int
	flow     *flow
	// passedOver counts how often another item was preferred when this one was next.
	passedOver int
	// newer and older link the items of the class by arrival.
	newer, older *node
}

// NewQueue returns an empty queue.
func NewQueue(options Options) *Queue {
	if options.Limit <= 0 {
		options.Limit = DefaultLimit
	}
	if options.CallerLimit <= 0 {
		options.CallerLimit = DefaultCallerLimit
	}
	if options.MaxPassedOver <= 0 {
		options.MaxPassedOver = DefaultMaxPassedOver
	}
	queue := &Queue{options: options}
	queue.nodes = make(map[structs.RequestID]*node)
	queue.callers = make(map[string]int)
	for index := range queue.classes {
		queue.classes[index] = newClass()
	}
	return queue
}

// Push adds an item. With QueuedDisplacing, the returned item was removed from the queue
// and must be rejected.
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

// Peek returns the next item; Pop removes the same item if the queue does not change in
// between.
func (q *Queue) Peek() (Item, bool) {
	index, ok := q.nextClass()
	if !ok {
		return Item{}, false
	}
	return q.classes[index].next().Item, true
}

// Pop removes the next item and charges the turn to its caller.
func (q *Queue) Pop() (Item, bool) {
	index, ok := q.nextClass()
	if !ok {
		return Item{}, false
	}
	return q.take(index, q.classes[index].next()), true
}

// PopPreferred removes the item with the highest score among the next few items of the
// class to serve, and charges the turn to its caller. It removes the next item if no
// other has a higher score, or if it was passed over PreferenceLimit times. Only eligible
// callers are considered.
func (q *Queue) PopPreferred(score func(Item) int) (Item, bool) {
	index, ok := q.nextClass()
	if !ok {
		return Item{}, false
	}
	head := q.classes[index].next()
	chosen := head
	if head.passedOver < PreferenceLimit {
		chosen = q.classes[index].preferred(head, score)
	}
	if chosen != head {
		head.passedOver++
	}
	return q.take(index, chosen), true
}

// take removes an item of the class and charges the turn to its caller.
func (q *Queue) take(index int, chosen *node) Item {
	q.recordTurn(index)
	item := chosen.Item
	q.classes[index].charge(chosen.flow)
	q.remove(chosen)
	return item
}

// Remove removes the item without a turn; it reports whether it was queued.
func (q *Queue) Remove(id structs.RequestID) bool {
	found, ok := q.nodes[id]
	if ok {
		q.remove(found)
	}
	return ok
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.nodes) }

// countFrom returns the number of items of the class and the classes above it.
func (q *Queue) countFrom(class int) int {
	count := 0
	for index := class; index < structs.PriorityCount; index++ {
		count += q.classes[index].length
	}
	return count
}

// AheadOf estimates the number of items served before a new item of the caller: all of
// higher priority, the caller's own of its priority, and the fair share of each other
// caller of that priority.
func (q *Queue) AheadOf(priority structs.Priority, caller string) int {
	priority = clampPriority(priority)
	return q.countFrom(int(priority)+1) + q.classes[priority].aheadOf(caller, q.weight(caller))
}

// EachAhead calls visit for every item in the order of Each, with the estimated number of
// items served before it. Items for which visit returns false are not counted for later
// items of the class.
func (q *Queue) EachAhead(visit func(item Item, ahead int) (stays bool)) {
	higher := 0
	for index := structs.PriorityCount - 1; index >= 0; index-- {
		higher += q.classes[index].eachAhead(higher, visit)
	}
}

// Newest returns the item of the class that was queued last; ok is false for an empty
// class.
func (q *Queue) Newest(priority structs.Priority) (newest Item, ok bool) {
	last := q.classes[clampPriority(priority)].newest
	if last == nil {
		return Item{}, false
	}
	return last.Item, true
}

// Highest returns the highest priority of the waiting items; ok is false for an empty
// queue.
func (q *Queue) Highest() (highest structs.Priority, ok bool) {
	for index := structs.PriorityCount - 1; index >= 0; index-- {
		if q.classes[index].length > 0 {
			return structs.Priority(index), true
		}
	}
	return 0, false
}

// Each calls visit for every item, highest class first and oldest first within a class,
// until visit returns false. visit must not change the queue.
func (q *Queue) Each(visit func(Item) bool) {
	for index := structs.PriorityCount - 1; index >= 0; index-- {
		for current := q.classes[index].oldest; current != nil; current = current.newer {
			if !visit(current.Item) {
				return
			}
		}
	}
}

// nextClass returns the class to serve: the lowest one that reached MaxPassedOver, otherwise
// the highest that is not empty.
func (q *Queue) nextClass() (int, bool) {
	highest := -1
	for index := range q.classes {
		if q.classes[index].length == 0 {
			continue
		}
		if q.classes[index].passedOver >= q.options.MaxPassedOver {
			return index, true
		}
		highest = index
	}
	return highest, highest >= 0
}

// recordTurn updates how often the classes below the served one were passed over.
func (q *Queue) recordTurn(served int) {
	for index := range q.classes {
		if index == served || q.classes[index].length == 0 {
			q.classes[index].passedOver = 0
			continue
		}
		if index < served {
			q.classes[index].passedOver++
		}
	}
}

func (q *Queue) insert(item Item) {
	added := q.freeNodes
	if added == nil {
		added = &node{}
	} else {
		q.freeNodes = added.newer
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
	*leaving = node{newer: q.freeNodes}
	q.freeNodes = leaving
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
