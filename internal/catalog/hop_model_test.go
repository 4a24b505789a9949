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
		sent    bool
		decided Known
	}
	// response is what the receiver has decided by, on its way to the entry with the
	// response; zero for none.
	response Known
}

// known returns what instance i knows of the published state.
func (s *modelState) known(i int) Known {
	return Known{Published: s[i].change, ConfigVersion: s[i].version}
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

func (hm *hopModel) read(s modelState, i, position int) modelState {
	h := modelHistory[position]
	return hm.step(s, i, fmt.Sprint("read", position), func(m *Manager) { m.applyPublished(h.published, h.revision, h.revision) })
}

func (hm *hopModel) snapshot(s modelState, i, j int) modelState {
	return hm.step(s, i, fmt.Sprint("snapshot", s[j]), func(m *Manager) {
		if text, err := s.manager(j).MarshalSnapshot(); err == nil {
			m.applySnapshot(text, "peer")
		}
	})
}

// ensure makes instance i fetch what is needed from instance j, which may fail.
func (hm *hopModel) ensure(s modelState, i, j int, needed Known, reachable bool) (modelState, bool) {
	key := fmt.Sprint("ensure", s[j], needed, reachable)
	result := fmt.Sprint(key, " ", i, s[i])
	next := hm.step(s, i, key, func(m *Manager) {
		hm.ensured[result] = m.EnsurePublished(hm.t.Context(), needed, func(context.Context) ([]byte, string, error) {
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
	for name, positions := range map[string][]int{"one era": {0, 1, 2, 3}, "restored": {0, 2, 4, 6}} {
		t.Run(name, func(t *testing.T) { exploreHops(t, positions) })
	}
}

// exploreHops explores the states of a store that takes the given positions of
// modelHistory.
func exploreHops(t *testing.T, positions []int) {
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
			for _, position := range positions {
				next := s
				next.instances = hm.read(s.instances, i, position)
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
			restarted.instances[i] = modelState{}[i]
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
				sent.hop.sent, sent.hop.decided = true, s.instances.known(0)
				visit(sent)
			}
		}
		if s.hop.sent && s.response == (Known{}) {
			for _, reachable := range []bool{true, false} {
				next := s
				next.hop = hopState{}.hop
				var ok bool
				if next.instances, ok = hm.ensure(s.instances, 1, 0, s.hop.decided, reachable); !ok {
					refused++
					visit(next) // refused as not run
					continue
				}
				hops++
				receiver = next.instances[1]
				if receiver.version < s.hop.decided.ConfigVersion {
					t.Fatalf("a request that was forwarded by version %d is decided by version %d: %+v", s.hop.decided.ConfigVersion, receiver.version, s)
				}
				next.response = next.instances.known(1)
				visit(next)
			}
		}
		if s.response != (Known{}) {
			next := s
			next.response = hopState{}.response
			// The receiver may have restarted since; then the fetch has no effect, and the
			// entry learns of the change from others.
			var ok bool
			if next.instances, ok = hm.ensure(s.instances, 0, 1, s.response, true); ok {
				next.decided = max(s.decided, s.response.ConfigVersion)
			}
			visit(next)
		}
	}
	t.Logf("%d states, %d steps, %d forwarded requests decided, %d refused", len(seen), edges, hops, refused)
	if len(seen) < 1000 || hops == 0 || refused == 0 {
		t.Errorf("only %d states, %d decided, %d refused", len(seen), hops, refused)
	}
}
