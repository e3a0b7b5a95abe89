package admission

// heap is a binary heap of pointers to elements that store their index, so that any
// element can be removed in logarithmic time.
type heap[T any] struct {
	items    []*T
	less     func(a, b *T) bool
	position func(*T) *int
}

func (h *heap[T]) push(item *T) {
	h.items = append(h.items, item)
	last := len(h.items) - 1
	*h.position(item) = last
	h.up(last)
}

// top returns the least element, or nil for an empty heap.
func (h *heap[T]) top() *T {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// remove removes the element at index.
func (h *heap[T]) remove(index int) {
	last := len(h.items) - 1
	*h.position(h.items[index]) = -1
	if index != last {
		h.items[index] = h.items[last]
		*h.position(h.items[index]) = index
	}
	h.items[last] = nil
	h.items = h.items[:last]
	if index != last {
		h.fix(index)
	}
}

// fix restores the heap order after the element at index has changed.
func (h *heap[T]) fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

func (h *heap[T]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.less(h.items[index], h.items[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

func (h *heap[T]) down(index int) bool {
	start := index
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[index]) {
			break
		}
		h.swap(index, child)
		index = child
	}
	return index > start
}

func (h *heap[T]) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	*h.position(h.items[a]) = a
	*h.position(h.items[b]) = b
}
