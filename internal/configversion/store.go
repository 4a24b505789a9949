package configversion

import (
	"sync"
	"sync/atomic"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
)

// ValueStore holds an immutable value that is replaced as a whole.
type ValueStore[T any] struct {
	current atomic.Pointer[T]
	mu      struct {
		sync.Mutex
		subscribers []func(old, new *T)
	}
}

// ConfigStore holds the current configuration.
type ConfigStore = ValueStore[config.Config]

// InstanceListStore holds the current instance list.
type InstanceListStore = ValueStore[confservice.InstanceList]

// Current returns the current value; nil if there is none yet.
func (s *ValueStore[T]) Current() *T { return s.current.Load() }

// Subscribe registers a function that is called after each change, in the order
// of the changes and without other locks held. It must not block and must not
// call Subscribe.
func (s *ValueStore[T]) Subscribe(f func(old, new *T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.subscribers = append(s.mu.subscribers, f)
}

// publish replaces the value and calls the subscribers.
func (s *ValueStore[T]) publish(v *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Swap(v)
	for _, f := range s.mu.subscribers {
		f(old, v)
	}
}
