package catalog

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// ensureTimeout bounds the time for which a forwarded request waits for newer
	// state: a connection and a call between two regions, and the transfer of a
	// snapshot.
	ensureTimeout = 500 * time.Millisecond
	// ensurePause is the time after a failed fetch in which requests that need it are
	// refused at once.
	ensurePause = 500 * time.Millisecond
)

// newerState fetches newer published state that a forwarded request needs. Requests
// that need it at the same time share one fetch.
type newerState struct {
	mu sync.Mutex
	// fetch is the one in progress; nil if there is none.
	fetch *fetch
	// failedAt is when the last fetch failed; zero if it succeeded.
	failedAt time.Time
	// changed is closed when the published state changes; nil if nobody waits.
	changed chan struct{}
}

type fetch struct{ done chan struct{} }

// EnsurePublished waits until the published state that another instance knows is known
// here (see HasPublished), and reports whether it is. If it is not yet, it applies the
// snapshot that get fetches from that instance, unless the store is quicker. It waits
// for at most ensureTimeout.
func (m *Manager) EnsurePublished(ctx context.Context, needed Known, get func(context.Context) (snapshot []byte, from string, err error)) bool {
	if m.HasPublished(needed) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, ensureTimeout)
	defer cancel()
	for {
		f, changed, ok := m.startFetch(ctx, needed, get)
		if ok || f == nil {
			return ok
		}
		select {
		case <-f.done:
			// It may have been a fetch for an earlier change; then another one follows.
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// startFetch reports whether the needed published state is known. If not, it returns the fetch in progress, which it begins if there is none, and a channel that
// is closed with the next change. The fetch is nil if the last one failed a short time
// ago.
func (m *Manager) startFetch(ctx context.Context, needed Known, get func(context.Context) ([]byte, string, error)) (_ *fetch, changed <-chan struct{}, current bool) {
	n := &m.newer
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	if m.HasPublished(needed) {
		return nil, nil, true
	}
	if n.fetch == nil {
		if !n.failedAt.IsZero() && m.now().Sub(n.failedAt) < ensurePause {
			return nil, nil, false
		}
		n.fetch = &fetch{done: make(chan struct{})}
		// Other requests need the state too if the caller of this one leaves.
		go m.runFetch(context.WithoutCancel(ctx), n.fetch, get)
	}
	return n.fetch, n.changed, false
}

func (m *Manager) runFetch(ctx context.Context, f *fetch, get func(context.Context) ([]byte, string, error)) {
	ctx, cancel := context.WithTimeout(ctx, ensureTimeout)
	defer cancel()
	begun, before := m.now(), m.Current()
	snapshot, from, err := get(ctx)
	if err == nil {
		m.applySnapshotReadAt(begun, snapshot, from)
	} else {
		m.log.Emit(event.SnapshotFetchFailed, zap.String("from", from), zap.Error(err))
	}
	n := &m.newer
	n.mu.Lock()
	defer n.mu.Unlock()
	after := m.Current()
	if n.failedAt = (time.Time{}); !before.PublishedRevision.Before(after.PublishedRevision) && before.configVersion() >= after.configVersion() {
		n.failedAt = m.now()
	}
	n.fetch = nil
	close(f.done)
}

// notifyPublished wakes the calls of EnsurePublished.
func (m *Manager) notifyPublished() {
	n := &m.newer
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
