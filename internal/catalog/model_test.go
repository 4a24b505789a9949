package catalog

import (
	"fmt"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// modelState is the state of three instances: the configuration version, the revision
// up to which it is current, the revision of its last change, and whether an evacuation
// is retained.
type modelState [3]struct {
	version          int64
	revision, change deployment.Revision
	retained         bool
}

// modelVersions are the configuration versions by store revision. Revision 2 is an
// evacuation, which leaves the version unchanged.
var modelVersions = map[int64]int64{1: 3, 2: 3, 3: 8, 4: 20}

// modelPublished returns the published state in the store at a revision.
func modelPublished(revision int64) deployment.PublishedState {
	if revision == 2 {
		return published(modelVersions[revision], "a")
	}
	return published(modelVersions[revision])
}

// modelHistory are the revisions of the store of the model in their order. It comes
// back from a copy of its first revision; then version 20 is written again, at the
// revision that was the evacuation's, and version 30.
var modelHistory = []struct {
	revision  deployment.Revision
	published deployment.PublishedState
}{
	{deployment.Revision{Era: 1, Number: 1}, published(3)},
	{deployment.Revision{Era: 1, Number: 2}, published(3, "a")},
	{deployment.Revision{Era: 1, Number: 3}, published(8)},
	{deployment.Revision{Era: 1, Number: 4}, published(20)},
	{deployment.Revision{Era: 2, Number: 1}, published(3)},
	{deployment.Revision{Era: 2, Number: 2}, published(20)},
	{deployment.Revision{Era: 2, Number: 3}, published(30)},
}

// manager returns a Manager in the state of instance i.
func (s *modelState) manager(i int) *Manager {
	m, c := newManager()
	m.log = event.Nop()
	for _, h := range modelHistory {
		if x := s[i]; h.revision == x.revision {
			v := *m.Current()
			v.PublishedState, v.PublishedRevision, v.PublishedChange = published(x.version), x.revision, x.change
			v.setEvacuated(h.published.Evacuated, false, c.read())
			if x.retained {
				v.Evacuated["a"] = true
				v.EvacuationRetained["a"] = c.read().Add(rewritePeriod)
			}
			m.view.Store(&v)
		}
	}
	return m
}

// withManager returns s with the state of instance i taken from m.
func (s modelState) withManager(i int, m *Manager) modelState {
	v := m.Current()
	s[i].version, s[i].revision, s[i].change, s[i].retained = v.configVersion(), v.PublishedRevision, v.PublishedChange, len(v.EvacuationRetained) > 0
	return s
}

// TestVersionNeverDecreasesInAnyOrder explores all states that three instances
// can reach by responses of the store in any order (including outdated ones, and those
// of a copy from which it came back), snapshots of each other in any order, and restarts. Only a restart may decrease
// a version, and in every state a response with the newest revision must lead to
// the newest version.
func TestVersionNeverDecreasesInAnyOrder(t *testing.T) {
	seen := map[modelState]bool{{}: true}
	queue := []modelState{{}}
	steps := 0
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		visit := func(i int, step string, next modelState) {
			steps++
			if next[i].version < s[i].version || next[i].revision.Before(s[i].revision) {
				t.Fatalf("instance %d went back to an older state after %s: %v, then %v", i, step, s, next)
			}
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
		for i := range s {
			for _, h := range modelHistory {
				m := s.manager(i)
				m.applyPublished(h.published, h.revision, h.revision)
				next := s.withManager(i, m)
				visit(i, fmt.Sprint("a response of revision ", h.revision), next)
				if newest := modelHistory[len(modelHistory)-1]; h.revision == newest.revision && next[i].version != newest.published.Config.Version {
					t.Fatalf("instance %d did not apply the newest version: %v", i, next)
				}
			}
			for j := range s {
				if snapshot, err := s.manager(j).MarshalSnapshot(); i != j && err == nil {
					m := s.manager(i)
					m.applySnapshot(snapshot, "peer")
					visit(i, fmt.Sprint("a snapshot of instance ", j), s.withManager(i, m))
				}
			}
			restarted := s
			restarted[i] = modelState{}[i]
			if !seen[restarted] {
				seen[restarted] = true
				queue = append(queue, restarted)
			}
		}
	}
	t.Logf("%d states, %d steps", len(seen), steps)
	if len(seen) < 100 {
		t.Errorf("only %d states were explored, want at least 100", len(seen))
	}
}
