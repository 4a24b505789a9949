package standin

import (
	"container/heap"
	"sync"
)

type waiter struct {
	priority int
	seq      int
	ready    chan struct{}
}

type waiters []*waiter

func (q waiters) Len() int { return len(q) }
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q waiters) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waiters) Push(x any)   { *q = append(*q, x.(*waiter)) }
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}

// prioritySlots lets at most n requests run; others wait, higher priority first.
type prioritySlots struct {
	mu struct {
		sync.Mutex
		running, seq int
		queue        waiters
	}
	n int
}

func newPrioritySlots(n int) *prioritySlots { return &prioritySlots{n: n} }

// take waits for a slot; it returns false if done is closed first.
func (s *prioritySlots) take(done <-chan struct{}, priority int) bool {
	s.mu.Lock()
	if s.mu.running < s.n {
		s.mu.running++
		s.mu.Unlock()
		return true
	}
	s.mu.seq++
	w := &waiter{priority: priority, seq: s.mu.seq, ready: make(chan struct{})}
	heap.Push(&s.mu.queue, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-done:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.mu.queue {
		if x == w {
			heap.Remove(&s.mu.queue, i)
			return false
		}
	}
	s.next() // the slot was given at the same moment
	return false
}

func (s *prioritySlots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next()
}

// next passes a slot on. The lock is held.
func (s *prioritySlots) next() {
	if len(s.mu.queue) == 0 {
		s.mu.running--
		return
	}
	close(heap.Pop(&s.mu.queue).(*waiter).ready)
}

func (s *prioritySlots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.running, len(s.mu.queue)
}
