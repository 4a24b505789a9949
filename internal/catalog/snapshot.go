package catalog

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// Snapshot is the form in which instances send their catalog to each other. It is
// encoded as JSON under the names of the fields, so they must not be renamed. It
// holds hashes of API keys, never the keys.
type Snapshot struct {
	Published         deployment.PublishedState
	PublishedRevision int64
	Targets           map[string]*deployment.Target
	TargetsRevision   int64
	Changes           ChangeRevisions
}

// MarshalSnapshot returns the current view as the JSON of a Snapshot, without
// retained targets and with the remaining warm-up of each target counted from now.
func (m *Manager) MarshalSnapshot() ([]byte, error) {
	v := m.Current()
	s := Snapshot{Published: v.PublishedState, PublishedRevision: v.PublishedRevision, TargetsRevision: v.TargetsRevision,
		Changes: ChangeRevisions{v.PublishedChange, v.TargetsChange}, Targets: make(map[string]*deployment.Target, len(v.Targets))}
	now := m.now()
	for id, e := range v.Targets {
		if e.Retained() {
			continue // each instance decides by itself what to retain
		}
		t := e.Target
		t.WarmupLeft = max(e.WarmupUntil.Sub(now), 0)
		s.Targets[id] = &t
	}
	return json.Marshal(s)
}

// pollPeers takes newer state from other instances while the store is
// unreachable or enough other instances read it. Otherwise it takes it only if the
// published state changed later than the store has confirmed it here: a call that the
// store does not answer fails after seconds only, and until then this instance would
// decide by an older version than others.
func (m *Manager) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerPollInterval)
		begun := m.now()
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		v := m.Current()
		have := ChangeRevisions{v.PublishedChange, v.TargetsChange}
		if !m.stale() && !m.peers.EnoughReaders() {
			have = ChangeRevisions{v.PublishedRevision, math.MaxInt64}
		}
		snapshot, from, err := m.peers.FetchSnapshot(call, have)
		cancel()
		switch {
		case err != nil: // the next check retries, possibly at another peer
			m.log.Emit(event.SnapshotFetchFailed, zap.String("from", from), zap.Error(err))
		case snapshot != nil:
			m.applySnapshotReadAt(begun, snapshot, from)
		}
	}
}

// applySnapshotReadAt takes those parts of a snapshot that changed later than the
// current view. The fetching began at readAt.
func (m *Manager) applySnapshotReadAt(readAt time.Time, snapshot []byte, from string) {
	var s Snapshot
	if err := json.Unmarshal(snapshot, &s); err != nil {
		m.log.Emit(event.PeerMessageInvalid, zap.String("part", "snapshot"), zap.String("from", from), zap.Error(err))
		return
	}
	v := m.Current()
	newPublished := s.Published.Config != nil && s.Changes.Published > v.PublishedChange
	if newPublished || s.Changes.Targets > v.TargetsChange {
		m.log.Emit(event.SnapshotApplied, zap.String("from", from), zap.Int64("published_change", s.Changes.Published), zap.Int64("targets_change", s.Changes.Targets),
			zap.Int64("revision", s.TargetsRevision), zap.Int64("had", v.TargetsRevision))
	}
	if newPublished {
		m.applyPublished(s.Published, s.PublishedRevision, s.Changes.Published)
		m.update(func(v *View) { v.PublishedChange = max(v.PublishedChange, s.Changes.Published) })
	}
	if s.Changes.Targets > v.TargetsChange {
		// The sender has read the store since this view; if that ends an outage, lapsed
		// targets must be retained.
		m.mu.Lock()
		m.recordSupply(m.now())
		m.mu.Unlock()
		m.applyTargetsReadAt(readAt, s.Targets, s.TargetsRevision, s.Changes.Targets, from)
		m.update(func(v *View) { v.TargetsChange = max(v.TargetsChange, s.Changes.Targets) })
	}
}
