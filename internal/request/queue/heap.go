package queue

// heap is a binary heap whose elements know their position, so that any element
// can be moved or removed in O(log n) without an allocation.
type heap[T any] struct {
	xs []T
	// less orders two elements; setPos tells an element its position, -1 after
	// its removal.
	less   func(a, b T) bool
	setPos func(x T, i int)
}

func (h *heap[T]) len() int { return len(h.xs) }

func (h *heap[T]) push(x T) {
	h.xs = append(h.xs, x)
	h.setPos(x, len(h.xs)-1)
	h.up(len(h.xs) - 1)
}

// remove removes the element at position i.
func (h *heap[T]) remove(i int) {
	last := len(h.xs) - 1
	h.setPos(h.xs[i], -1)
	if i != last {
		h.xs[i] = h.xs[last]
		h.setPos(h.xs[i], i)
	}
	var zero T
	h.xs[last] = zero
	h.xs = h.xs[:last]
	if i != last {
		h.fix(i)
	}
}

// fix restores the order after the element at position i has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.xs[i], h.xs[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.xs) {
			break
		}
		if r := child + 1; r < len(h.xs) && h.less(h.xs[r], h.xs[child]) {
			child = r
		}
		if !h.less(h.xs[child], h.xs[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *heap[T]) swap(i, j int) {
	h.xs[i], h.xs[j] = h.xs[j], h.xs[i]
	h.setPos(h.xs[i], i)
	h.setPos(h.xs[j], j)
}
