package admission

// class holds the items of one priority, scheduled by weighted fair queueing. Each caller
// with waiting items is a flow, whose start tag advances by 1/weight with each turn.
// Flows whose start tag is within fairnessSlack of the virtual time of the class are
// eligible and ordered by earliest deadline; the others wait in order of their start
// tags.
type class struct {
	length int
	// passedOver counts the turns of higher classes since the last turn of this one.
	passedOver int
	// sequence is the sequence number of the newest item.
	sequence uint64
	// totalWeight is the sum of the weights of the flows.
	virtualTime float64
	totalWeight float64
	flows       map[string]*flow
	// eligible is ordered by deadline, ineligible by start tag.
	eligible       heap[flow]
	ineligible     heap[flow]
	newest, oldest *node
	// freeFlows lists flows for reuse.
	freeFlows *flow
}

// flow holds the items of one caller in a class, by earliest deadline.
type flow struct {
	caller   string
	weight   float64
	startTag float64
	eligible bool
	position int
	// visited counts the items visited by eachAhead.
	visited  int
	items    heap[node]
	nextFree *flow
}

func newClass() class {
	return class{
		flows:      make(map[string]*flow),
		eligible:   heap[flow]{less: flowByDeadline, position: flowPosition},
		ineligible: heap[flow]{less: flowByStart, position: flowPosition},
	}
}

func flowByDeadline(a, b *flow) bool { return nodeByDeadline(a.items.top(), b.items.top()) }

func flowByStart(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.caller < b.caller
}

func flowPosition(f *flow) *int { return &f.position }

func nodeByDeadline(a, b *node) bool {
	if !a.DeadlineAt.Equal(b.DeadlineAt) {
		return a.DeadlineAt.Before(b.DeadlineAt)
	}
	return a.sequence < b.sequence
}

func nodePosition(n *node) *int { return &n.position }

func (c *class) insert(added *node, weight float64) {
	c.sequence++
	added.sequence = c.sequence
	c.linkNewest(added)
	c.length++
	current, exists := c.flows[added.Caller]
	if !exists {
		current = c.newFlow(added.Caller, weight)
	}
	added.flow = current
	current.items.push(added)
	if exists {
		c.fixFlow(current)
		return
	}
	c.addFlow(current)
}

// newFlow adds a flow at the virtual time of the class, so that absent callers accumulate
// no credit. A caller without items is forgotten, which forgives it at most fairnessSlack
// turns plus one.
func (c *class) newFlow(caller string, weight float64) *flow {
	created := c.freeFlows
	if created == nil {
		created = &flow{items: heap[node]{less: nodeByDeadline, position: nodePosition}}
	} else {
		c.freeFlows = created.nextFree
		created.nextFree = nil
	}
	created.caller = caller
	created.weight = weight
	created.startTag = c.virtualTime
	c.flows[caller] = created
	c.totalWeight += weight
	return created
}

func (c *class) remove(leaving *node) {
	c.unlink(leaving)
	c.length--
	current := leaving.flow
	if len(current.items.items) > 1 {
		current.items.remove(leaving.position)
		c.fixFlow(current)
		return
	}
	c.removeFlow(current)
	current.items.remove(leaving.position)
	delete(c.flows, current.caller)
	c.totalWeight -= current.weight
	current.nextFree = c.freeFlows
	c.freeFlows = current
}

// aheadOf estimates the number of items served before a new item of the caller.
func (c *class) aheadOf(caller string, weight float64) int {
	own := 0
	if waiting := c.flows[caller]; waiting != nil {
		own = len(waiting.items.items)
	}
	return c.aheadAt(caller, weight, own)
}

// aheadAt estimates the number of items served before an item of the caller that follows
// own items of the same caller. Each other caller contributes its fair share at most.
func (c *class) aheadAt(caller string, weight float64, own int) int {
	turns := float64(own+1)/weight + fairnessSlack
	ahead := own
	for name, other := range c.flows {
		if name != caller {
			ahead += min(len(other.items.items), int(turns*other.weight))
		}
	}
	return ahead
}

// eachAhead visits the items, oldest first, and returns the number that stay.
func (c *class) eachAhead(higher int, visit func(item Item, ahead int) (stays bool)) int {
	stayed := 0
	for _, current := range c.flows {
		current.visited = 0
	}
	for current := c.oldest; current != nil; current = current.newer {
		owner := current.flow
		ahead := min(stayed, c.aheadAt(owner.caller, owner.weight, owner.visited))
		if visit(current.Item, higher+ahead) {
			owner.visited++
			stayed++
		}
	}
	return stayed
}

// next returns the next item of the class, which must not be empty.
func (c *class) next() *node {
	c.promote()
	return c.eligible.top().items.top()
}

// preferred returns the item with the highest score among the first items of the eligible
// callers, or head if none has a higher score.
func (c *class) preferred(head *node, score func(Item) int) *node {
	best, highest := head, score(head.Item)
	due := c.eligible.items
	due = due[:min(len(due), preferenceWindow)]
	each := max(1, preferenceWindow/len(due))
	for _, current := range due {
		items := current.items.items
		for _, candidate := range items[:min(len(items), each)] {
			if value := score(candidate.Item); value > highest {
				best, highest = candidate, value
			}
		}
	}
	return best
}

// charge charges the flow one turn and advances the virtual time.
func (c *class) charge(served *flow) {
	c.removeFlow(served)
	served.startTag += 1 / served.weight
	c.virtualTime += 1 / c.totalWeight
	c.addFlow(served)
}

// promote makes the flows within fairnessSlack eligible. If there are none, the virtual
// time advances to the earliest start tag.
func (c *class) promote() {
	if c.eligible.top() == nil && c.ineligible.top() != nil {
		c.virtualTime = max(c.virtualTime, c.ineligible.top().startTag)
	}
	for first := c.ineligible.top(); first != nil && first.startTag <= c.virtualTime+fairnessSlack; first = c.ineligible.top() {
		c.removeFlow(first)
		c.addFlow(first)
	}
}

func (c *class) addFlow(current *flow) {
	current.eligible = current.startTag <= c.virtualTime+fairnessSlack
	if current.eligible {
		c.eligible.push(current)
		return
	}
	c.ineligible.push(current)
}

func (c *class) removeFlow(current *flow) {
	if current.eligible {
		c.eligible.remove(current.position)
		return
	}
	c.ineligible.remove(current.position)
}

func (c *class) fixFlow(current *flow) {
	if current.eligible {
		c.eligible.fix(current.position)
	}
}

func (c *class) linkNewest(added *node) {
	added.older = c.newest
	if c.newest != nil {
		c.newest.newer = added
	} else {
		c.oldest = added
	}
	c.newest = added
}

func (c *class) unlink(leaving *node) {
	if leaving.newer != nil {
		leaving.newer.older = leaving.older
	} else {
		c.newest = leaving.older
	}
	if leaving.older != nil {
		leaving.older.newer = leaving.newer
	} else {
		c.oldest = leaving.newer
	}
}
