package configversion

import (
	"sync"
	"sync/atomic"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
)

// Snapshot is an immutable value that is replaced whole.
type Snapshot[T any] struct {
	current atomic.Pointer[T]
	mu      struct {
		sync.Mutex
		subscribers []func(old, new *T)
	}
}

// Store holds the edition in force.
type Store = Snapshot[config.Config]

// ListStore holds the instance list in force.
type ListStore = Snapshot[confservice.InstanceList]

// Current returns the value in force; nil if there is none yet.
func (s *Snapshot[T]) Current() *T { return s.current.Load() }

// Subscribe registers a function that is called after each change, in order,
// without other locks held. It must not block and must not call Subscribe.
func (s *Snapshot[T]) Subscribe(f func(old, new *T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.subscribers = append(s.mu.subscribers, f)
}

// publish replaces the value and tells the subscribers.
func (s *Snapshot[T]) publish(v *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Swap(v)
	for _, f := range s.mu.subscribers {
		f(old, v)
	}
}
