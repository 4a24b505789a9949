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
	Changes           struct{ Published, Targets int64 }
	// Eras has the eras of the revisions above. Instances of earlier versions neither
	// send nor read it.
	Eras struct{ Published, PublishedChange, Targets, TargetsChange int64 }
}

func (s *Snapshot) publishedRevision() deployment.Revision {
	return deployment.Revision{Era: s.Eras.Published, Number: s.PublishedRevision}
}

func (s *Snapshot) targetsRevision() deployment.Revision {
	return deployment.Revision{Era: s.Eras.Targets, Number: s.TargetsRevision}
}

func (s *Snapshot) known() Known {
	k := Known{
		Published: deployment.Revision{Era: s.Eras.PublishedChange, Number: s.Changes.Published},
		Targets:   deployment.Revision{Era: s.Eras.TargetsChange, Number: s.Changes.Targets},
	}
	if s.Published.Config != nil {
		k.ConfigVersion = s.Published.Config.Version
	}
	return k
}

// MarshalSnapshot returns the current view as the JSON of a Snapshot, without
// retained targets and evacuations and with the remaining warm-up of each target counted from now.
func (m *Manager) MarshalSnapshot() ([]byte, error) {
	v := m.Current()
	s := Snapshot{Published: v.PublishedState, PublishedRevision: v.PublishedRevision.Number, TargetsRevision: v.TargetsRevision.Number,
		Targets: make(map[string]*deployment.Target, len(v.Targets))}
	// Each instance decides by itself what to retain.
	s.Published.Evacuated = v.listedEvacuations()
	s.Changes.Published, s.Changes.Targets = v.PublishedChange.Number, v.TargetsChange.Number
	s.Eras.Published, s.Eras.PublishedChange = v.PublishedRevision.Era, v.PublishedChange.Era
	s.Eras.Targets, s.Eras.TargetsChange = v.TargetsRevision.Era, v.TargetsChange.Era
	now := m.now()
	for id, e := range v.Targets {
		if e.Retained() {
			continue
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
		v, enoughReaders := m.Current(), m.enoughReaders()
		have := v.Known()
		if !m.stale() && !enoughReaders {
			have.Published, have.Targets = v.PublishedRevision, deployment.Revision{Era: math.MaxInt64}
		}
		snapshot, from, err := m.peers.FetchSnapshot(call, have, enoughReaders)
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
	v, sent := m.Current(), s.known()
	newPublished := s.Published.Config != nil && (v.PublishedChange.Before(sent.Published) || v.configVersion() < sent.ConfigVersion)
	newTargets := v.TargetsChange.Before(sent.Targets)
	if newPublished || newTargets {
		m.log.Emit(event.SnapshotApplied, zap.String("from", from), zap.Int64("published_change", s.Changes.Published), zap.Int64("targets_change", s.Changes.Targets),
			zap.Int64("version", sent.ConfigVersion), zap.Int64("revision", s.TargetsRevision), zap.Int64("era", s.Eras.Targets),
			zap.Int64("had", v.TargetsRevision.Number), zap.Int64("had_era", v.TargetsRevision.Era))
	}
	if newPublished {
		m.applyPublished(s.Published, s.publishedRevision(), sent.Published)
		m.update(func(v *View) { v.PublishedChange = v.PublishedChange.Later(sent.Published) })
	}
	if newTargets {
		// The sender has read the store since this view; if that ends an outage, lapsed
		// targets must be retained.
		m.mu.Lock()
		m.recordSupply(m.now())
		m.mu.Unlock()
		m.applyTargetsReadAt(readAt, s.Targets, s.targetsRevision(), sent.Targets, from)
		m.update(func(v *View) { v.TargetsChange = v.TargetsChange.Later(sent.Targets) })
	}
}
