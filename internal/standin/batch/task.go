package batch

// task is the state of a job in the engine.
type task struct {
	job Job
	// need is the number of prompt tokens to compute, slow the work for each of
	// them, and remaining the work that is left. slow also multiplies the steps
	// for each output token.
	need      float64
	remaining float64
	slow      float64
	fails     bool
	// startStep and finishStep are counts of decode steps; index is the index in
	// the heap, negative before the first token.
	startStep  float64
	finishStep float64
	index      int
	// cancelled marks a job that was cancelled while it waited.
	cancelled bool
}

// computed returns the number of prompt tokens computed so far.
func (t *task) computed() float64 {
	if t.slow == 0 {
		return 0
	}
	return t.need - t.remaining/t.slow
}

// taskHeap is a heap.Interface that orders tasks by finishStep.
type taskHeap []*task

func (h taskHeap) Len() int { return len(h) }

func (h taskHeap) Less(i, j int) bool { return h[i].finishStep < h[j].finishStep }

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
