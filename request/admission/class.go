package admission

// class holds the items of one priority. Callers with waiting items are flows;
// a flow's start is its virtual time: the turns it had, divided by its weight.
// Flows whose start is within fairnessSlack of the class's virtual time are
// eligible and ordered by earliest deadline; the others wait in order of start.
type class struct {
	length int
	// passed counts the turns of higher classes while this one waited for its own.
	passed int
	// sequence is that of the newest item.
	sequence uint64
	// virtual is the virtual time, and weights the sum of the flows' weights.
	virtual float64
	weights float64
	flows   map[string]*flow
	// eligible flows are ordered by deadline, those ahead of their share by start.
	eligible       heap[flow]
	ahead          heap[flow]
	newest, oldest *node
	// free lists flows to use again.
	free *flow
}

// flow is one caller's items of one class, by earliest deadline.
type flow struct {
	caller   string
	weight   float64
	start    float64
	eligible bool
	position int
	// visited counts the items that eachAhead has passed.
	visited  int
	items    heap[node]
	nextFree *flow
}

func newClass() class {
	return class{
		flows:    make(map[string]*flow),
		eligible: heap[flow]{less: flowByDeadline, position: flowPosition},
		ahead:    heap[flow]{less: flowByStart, position: flowPosition},
	}
}

func flowByDeadline(a, b *flow) bool { return nodeByDeadline(a.items.top(), b.items.top()) }

func flowByStart(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
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
		c.reorder(current)
		return
	}
	c.place(current)
}

// newFlow starts a flow at the class's virtual time, so that a caller saves up
// nothing while it is away. A caller that left no item behind is not remembered:
// that forgives it fairnessSlack turns and one at most.
func (c *class) newFlow(caller string, weight float64) *flow {
	created := c.free
	if created == nil {
		created = &flow{items: heap[node]{less: nodeByDeadline, position: nodePosition}}
	} else {
		c.free = created.nextFree
		created.nextFree = nil
	}
	created.caller = caller
	created.weight = weight
	created.start = c.virtual
	c.flows[caller] = created
	c.weights += weight
	return created
}

func (c *class) remove(leaving *node) {
	c.unlink(leaving)
	c.length--
	current := leaving.flow
	if len(current.items.items) > 1 {
		current.items.remove(leaving.position)
		c.reorder(current)
		return
	}
	c.displace(current)
	current.items.remove(leaving.position)
	delete(c.flows, current.caller)
	c.weights -= current.weight
	current.nextFree = c.free
	c.free = current
}

// aheadOf counts the items that probably go before a new item of the caller.
func (c *class) aheadOf(caller string, weight float64) int {
	own := 0
	if waiting := c.flows[caller]; waiting != nil {
		own = len(waiting.items.items)
	}
	return c.aheadAt(caller, weight, own)
}

// aheadAt counts the items that probably go before the caller's item that has so
// many of its own before it: of each other caller as many as fit its share.
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

// eachAhead visits the items, the oldest first; it returns how many stay.
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

// next returns the item whose turn it is in this class, which must not be empty.
func (c *class) next() *node {
	c.promote()
	return c.eligible.top().items.top()
}

// preferred returns the item with the highest score among the first ones of the
// callers that are due; head if none is better.
func (c *class) preferred(head *node, score func(Item) int) *node {
	best, highest := head, score(head.Item)
	due := c.eligible.items
	due = due[:min(len(due), preferenceWidth)]
	each := max(1, preferenceWidth/len(due))
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

// charge counts a turn for the flow and moves the virtual time on.
func (c *class) charge(served *flow) {
	c.displace(served)
	served.start += 1 / served.weight
	c.virtual += 1 / c.weights
	c.place(served)
}

// promote makes flows eligible that are within the slack; if none is, the
// virtual time jumps to the earliest start.
func (c *class) promote() {
	if c.eligible.top() == nil && c.ahead.top() != nil {
		c.virtual = max(c.virtual, c.ahead.top().start)
	}
	for first := c.ahead.top(); first != nil && first.start <= c.virtual+fairnessSlack; first = c.ahead.top() {
		c.displace(first)
		c.place(first)
	}
}

func (c *class) place(current *flow) {
	current.eligible = current.start <= c.virtual+fairnessSlack
	if current.eligible {
		c.eligible.push(current)
		return
	}
	c.ahead.push(current)
}

func (c *class) displace(current *flow) {
	if current.eligible {
		c.eligible.remove(current.position)
		return
	}
	c.ahead.remove(current.position)
}

func (c *class) reorder(current *flow) {
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
