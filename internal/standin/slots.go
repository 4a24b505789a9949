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

// waiterQueue is a heap ordered by descending priority, then by arrival.
type waiterQueue []*waiter

func (q waiterQueue) Len() int { return len(q) }
func (q waiterQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q waiterQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waiterQueue) Push(x any)   { *q = append(*q, x.(*waiter)) }
func (q *waiterQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}

// prioritySlots is a semaphore that admits waiting requests by descending
// priority.
type prioritySlots struct {
	mu struct {
		sync.Mutex
		running, seq int
		queue        waiterQueue
	}
	capacity int
}

func newPrioritySlots(capacity int) *prioritySlots { return &prioritySlots{capacity: capacity} }

// acquire waits for a slot. It returns false if done is closed first.
func (s *prioritySlots) acquire(done <-chan struct{}, priority int) bool {
	s.mu.Lock()
	if s.mu.running < s.capacity {
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
	s.handOver() // the slot was assigned while done was closed
	return false
}

func (s *prioritySlots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver()
}

// handOver gives a released slot to the next waiter, if any. The lock must be
// held.
func (s *prioritySlots) handOver() {
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
