package catalog

import (
	"context"
	"fmt"
	"testing"
)

// hopState is a state of the model: an entry instance (0), a receiver of forwarded
// requests in another region (1) and an instance that both may take snapshots from (2).
type hopState struct {
	instances modelState
	// decided is the highest version by which a request was decided that entered at
	// instance 0 in its lifetime. Responses of the receiver count once the entry has
	// fetched its state.
	decided int64
	// hop is the request on its way to the receiver.
	hop struct {
		sent            bool
		change, version int64
	}
	// response is the change by which the receiver has decided, on its way to the entry
	// with the response; version is that of the decision. 0 for none.
	response struct{ change, version int64 }
}

// hopModel computes the steps of single instances with the code of the Manager, each
// once.
type hopModel struct {
	t     *testing.T
	steps map[string]modelState
	// ensured holds the results of EnsurePublished, by the key of the step.
	ensured map[string]bool
}

// step returns s with instance i changed by f. key identifies f and what it reads.
func (hm *hopModel) step(s modelState, i int, key string, f func(m *Manager)) modelState {
	key = fmt.Sprint(key, " ", i, s[i])
	out, ok := hm.steps[key]
	if !ok {
		m := s.manager(i)
		f(m)
		out = modelState{}.withManager(i, m)
		hm.steps[key] = out
	}
	s[i] = out[i]
	return s
}

func (hm *hopModel) read(s modelState, i int, revision int64) modelState {
	return hm.step(s, i, fmt.Sprint("read", revision), func(m *Manager) { m.applyPublished(modelPublished(revision), revision, revision) })
}

func (hm *hopModel) snapshot(s modelState, i, j int) modelState {
	return hm.step(s, i, fmt.Sprint("snapshot", s[j]), func(m *Manager) {
		if text, err := s.manager(j).MarshalSnapshot(); err == nil {
			m.applySnapshot(text, "peer")
		}
	})
}

// ensure makes instance i fetch the change from instance j, which may fail.
func (hm *hopModel) ensure(s modelState, i, j int, change int64, reachable bool) (modelState, bool) {
	key := fmt.Sprint("ensure", s[j], change, reachable)
	result := fmt.Sprint(key, " ", i, s[i])
	next := hm.step(s, i, key, func(m *Manager) {
		hm.ensured[result] = m.EnsurePublished(hm.t.Context(), change, func(context.Context) ([]byte, string, error) {
			if !reachable {
				return nil, "", errDown
			}
			text, err := s.manager(j).MarshalSnapshot()
			return text, "peer", err
		})
	})
	return next, hm.ensured[result]
}

// TestForwardedRequestIsNeverDecidedByOlderVersion explores all states that the
// instances reach by responses of the store in any order (outdated ones included),
// snapshots and fetches in any order, which may fail, forwarded requests that are on
// their way meanwhile, and restarts. A forwarded request is never decided by an older
// version than that by which its sender decided, and in one lifetime an entry never
// decides by an older version than an earlier request of it, after it has fetched the
// state by which the receiver decided.
func TestForwardedRequestIsNeverDecidedByOlderVersion(t *testing.T) {
	hm := &hopModel{t: t, steps: map[string]modelState{}, ensured: map[string]bool{}}
	seen := map[hopState]bool{{}: true}
	queue := []hopState{{}}
	edges, hops, refused := 0, 0, 0
	visit := func(s hopState) {
		edges++
		if !seen[s] {
			seen[s] = true
			queue = append(queue, s)
		}
	}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for i := range s.instances {
			for revision := range modelVersions {
				next := s
				next.instances = hm.read(s.instances, i, revision)
				visit(next)
			}
			for j := range s.instances {
				if i != j {
					next := s
					next.instances = hm.snapshot(s.instances, i, j)
					visit(next)
				}
			}
			restarted := s
			restarted.instances[i].version, restarted.instances[i].revision, restarted.instances[i].change = 0, 0, 0
			if i == 0 { // its requests are lost
				restarted.decided, restarted.hop, restarted.response = 0, hopState{}.hop, hopState{}.response
			}
			visit(restarted)
		}
		entry, receiver := s.instances[0], s.instances[1]
		if entry.version > 0 {
			if entry.version < s.decided {
				t.Fatalf("the entry decides by version %d after a response of version %d: %+v", entry.version, s.decided, s)
			}
			local := s
			local.decided = entry.version
			visit(local)
			if !s.hop.sent {
				sent := s
				sent.hop.sent, sent.hop.change, sent.hop.version = true, entry.change, entry.version
				visit(sent)
			}
		}
		if s.hop.sent && s.response.change == 0 {
			for _, reachable := range []bool{true, false} {
				next := s
				next.hop = hopState{}.hop
				var ok bool
				if next.instances, ok = hm.ensure(s.instances, 1, 0, s.hop.change, reachable); !ok {
					refused++
					visit(next) // refused as not run
					continue
				}
				hops++
				receiver = next.instances[1]
				if receiver.version < s.hop.version {
					t.Fatalf("a request that was forwarded by version %d is decided by version %d: %+v", s.hop.version, receiver.version, s)
				}
				next.response.change, next.response.version = receiver.change, receiver.version
				visit(next)
			}
		}
		if s.response.change > 0 {
			next := s
			next.response = hopState{}.response
			// The receiver may have restarted since; then the fetch has no effect, and the
			// entry learns of the change from others.
			var ok bool
			if next.instances, ok = hm.ensure(s.instances, 0, 1, s.response.change, true); ok {
				next.decided = max(s.decided, s.response.version)
			}
			visit(next)
		}
	}
	t.Logf("%d states, %d steps, %d forwarded requests decided, %d refused", len(seen), edges, hops, refused)
	if len(seen) < 1000 || hops == 0 || refused == 0 {
		t.Errorf("only %d states, %d decided, %d refused", len(seen), hops, refused)
	}
}
