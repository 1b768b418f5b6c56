package batch

// task is a job inside the engine.
type task struct {
	job Job
	// need is the number of prompt tokens to compute, left the work that is
	// still to do on them, slow the factor between the two.
	need  float64
	left  float64
	slow  float64
	fails bool
	// began and finish are counts of decode steps; index is the place in the
	// heap, below zero before the first token.
	began  float64
	finish float64
	index  int
	// gone marks a job that was cancelled while it waited.
	gone bool
}

// computed returns the prompt tokens computed so far.
func (t *task) computed() float64 {
	if t.slow == 0 {
		return 0
	}
	return t.need - t.left/t.slow
}

// taskHeap orders tasks by the step that ends them; it is a heap.Interface.
type taskHeap []*task

func (h taskHeap) Len() int { return len(h) }

func (h taskHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }

func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *taskHeap) Push(x any) {
	t := x.(*task)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *taskHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
