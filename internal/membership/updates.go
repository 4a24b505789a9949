package membership

import (
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/strictini"
)

// updateQueue holds the names of members whose entries are still to be sent,
// with the number of times that each was sent.
type updateQueue struct{ items []queuedUpdate }

type queuedUpdate struct {
	name string
	sent int
	// urgent updates go before others: those about members that are no longer to
	// be used must not wait behind the many about new members after a start.
	urgent bool
}

// add puts an update at the head of the queue and resets its count.
func (q *updateQueue) add(name string, urgent bool) {
	q.drop(name)
	q.items = append([]queuedUpdate{{name: name, urgent: urgent}}, q.items...)
}

func (q *updateQueue) drop(name string) {
	q.items = slices.DeleteFunc(q.items, func(i queuedUpdate) bool { return i.name == name })
}

// NextUpdates returns the updates for a message to the member named to: the
// instance's own entry, the receiver's entry if it is not alive, because the
// receiver has to know of a suspicion to refute it, and then the queued updates,
// urgent ones first and those sent least often before others.
func (d *Detector) NextUpdates(to string) []*peerv1.MemberNews {
	d.messages++
	selfUpdate := newUpdate(&d.self)
	if d.messages%fullSelfEvery != 1 {
		selfUpdate.Member = &peerv1.Identity{Instance: d.self.Name, Incarnation: d.self.Incarnation}
		selfUpdate.CallersAddress = ""
	}
	out := []*peerv1.MemberNews{selfUpdate}
	size := proto.Size(selfUpdate)
	if e := d.members[to]; e != nil && e.State != Alive {
		u := newUpdate(&e.Member)
		out, size = append(out, u), size+proto.Size(u)
	}
	slices.SortStableFunc(d.updates.items, func(a, b queuedUpdate) int {
		switch {
		case a.urgent == b.urgent:
			return a.sent - b.sent
		case a.urgent:
			return -1
		}
		return 1
	})
	limit := retransmitExtra + bits.Len(uint(len(d.members)+1))
	for i := range d.updates.items {
		item := &d.updates.items[i]
		u := d.updateFor(item.name)
		if u == nil {
			item.sent = limit
			continue
		}
		if len(out) == maxUpdates || size+proto.Size(u) > maxUpdateBytes {
			break
		}
		item.sent++
		if item.name == to {
			continue // included above, or the receiver knows it itself
		}
		out, size = append(out, u), size+proto.Size(u)
	}
	d.updates.items = slices.DeleteFunc(d.updates.items, func(i queuedUpdate) bool { return i.sent >= limit })
	return out
}

// updateFor returns an update with the member's entry; nil if the member is not
// known.
func (d *Detector) updateFor(name string) *peerv1.MemberNews {
	if name == d.self.Name {
		return newUpdate(&d.self)
	}
	if e := d.members[name]; e != nil {
		return newUpdate(&e.Member)
	}
	return nil
}

func newUpdate(m *Member) *peerv1.MemberNews {
	return &peerv1.MemberNews{
		Member:         m.Identity(),
		State:          uint32(m.State),
		Generation:     m.Generation,
		Load:           m.Load,
		CallersAddress: m.CallersAddress,
	}
}

// mergeUpdate applies one update. Higher generations win, and within one
// generation higher states. Two processes of one name and generation are ordered
// by incarnation until one of them raises its generation.
func (d *Detector) mergeUpdate(from *peerv1.Identity, u *peerv1.MemberNews, now time.Duration) {
	id := u.GetMember()
	if id == nil || u.State < uint32(Alive) || u.State > uint32(Leaving) || u.Generation > maxGeneration {
		return
	}
	if id.Instance == d.self.Name {
		d.refute(u)
		return
	}
	fromSubject := from != nil && id.Instance == from.Instance && id.Incarnation == from.Incarnation
	if fromSubject {
		id = from
	}
	if !strictini.ValidName(id.Instance) || !strictini.ValidAddress(id.PeerAddress) ||
		u.CallersAddress != "" && !strictini.ValidAddress(u.CallersAddress) ||
		!strictini.ValidName(id.Region) || !strictini.ValidName(id.Domain) {
		return
	}
	e := d.members[id.Instance]
	if e == nil {
		if State(u.State) != Alive && State(u.State) != Suspected {
			return // the unknown member is already dead or leaving
		}
		if e = d.insert(Member{Name: id.Instance, PeerAddress: id.PeerAddress, State: Alive}); e == nil {
			return
		}
	} else if !supersedes(e, id, u) {
		if fromSubject && e.Incarnation == id.Incarnation {
			e.Load = u.Load
		}
		return
	}
	if fromSubject && e.State == Dead {
		d.probeDeadNow = true // a partition may have healed: probe another dead member at once
	}
	if e.Incarnation != id.Incarnation && e.State == State(u.State) {
		d.changes = append(d.changes, Transition{Member: e.effective(), Old: e.State})
	}
	e.Incarnation, e.Generation, e.Load = id.Incarnation, u.Generation, u.Load
	e.PeerAddress, e.Region, e.Domain = id.PeerAddress, id.Region, id.Domain
	if u.CallersAddress != "" {
		e.CallersAddress = u.CallersAddress
	}
	d.setState(e, State(u.State), now)
	for i := range d.changes {
		if d.changes[i].Member.Name == e.Name && !d.changes[i].Removed {
			d.changes[i].Member = e.effective()
		}
	}
}

// supersedes reports whether an update is newer than the entry.
func supersedes(e *entry, id *peerv1.Identity, u *peerv1.MemberNews) bool {
	switch {
	case e.Incarnation == 0 && id.Incarnation != 0: // known from the instance list only
		return true
	case u.Generation != e.Generation:
		return u.Generation > e.Generation
	case id.Incarnation != e.Incarnation:
		return id.Incarnation > e.Incarnation
	}
	return State(u.State) > e.State
}

// refute raises the generation of this instance and announces it if an update
// about this instance contradicts its own entry and is not outdated.
func (d *Detector) refute(u *peerv1.MemberNews) {
	otherProcess := u.Member.Incarnation != d.self.Incarnation
	if u.Generation < d.self.Generation || u.Generation == d.self.Generation && !otherProcess && State(u.State) <= d.self.State {
		return
	}
	d.self.Generation = max(d.self.Generation, u.Generation) + 1
	d.updates.add(d.self.Name, true)
}
