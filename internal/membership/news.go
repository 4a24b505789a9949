package membership

import (
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/strictini"
)

// newsQueue holds the names of members whose entries are still to be sent,
// with the number of times that each was sent.
type newsQueue struct{ items []newsItem }

type newsItem struct {
	name string
	sent int
	// urgent changes go before others: those of members that should no longer
	// be used must not wait behind the many that join after a start.
	urgent bool
}

// add puts a change first.
func (q *newsQueue) add(name string, urgent bool) {
	q.drop(name)
	q.items = append([]newsItem{{name: name, urgent: urgent}}, q.items...)
}

func (q *newsQueue) drop(name string) {
	q.items = slices.DeleteFunc(q.items, func(i newsItem) bool { return i.name == name })
}

// News returns the changes for a message to the member named to: the
// instance's own entry, a doubt about the receiver itself, which it must hear
// of to refute it, and then the changes sent least often so far.
func (c *Core) News(to string) []*peerv1.MemberNews {
	c.messages++
	own := newsOf(&c.self)
	if c.messages%fullSelfEvery != 1 {
		own.Member = &peerv1.Identity{Instance: c.self.Name, Incarnation: c.self.Incarnation}
		own.CallersAddress = ""
	}
	out := []*peerv1.MemberNews{own}
	size := proto.Size(own)
	if e := c.members[to]; e != nil && e.State != Alive {
		n := newsOf(&e.Member)
		out, size = append(out, n), size+proto.Size(n)
	}
	slices.SortStableFunc(c.news.items, func(a, b newsItem) int {
		switch {
		case a.urgent == b.urgent:
			return a.sent - b.sent
		case a.urgent:
			return -1
		}
		return 1
	})
	limit := retransmitExtra + bits.Len(uint(len(c.members)+1))
	for i := range c.news.items {
		item := &c.news.items[i]
		n := c.newsFor(item.name)
		if n == nil {
			item.sent = limit
			continue
		}
		if len(out) == maxNews || size+proto.Size(n) > maxNewsBytes {
			break
		}
		item.sent++
		if item.name == to {
			continue // included above or known to the receiver
		}
		out, size = append(out, n), size+proto.Size(n)
	}
	c.news.items = slices.DeleteFunc(c.news.items, func(i newsItem) bool { return i.sent >= limit })
	return out
}

func (c *Core) newsFor(name string) *peerv1.MemberNews {
	if name == c.self.Name {
		return newsOf(&c.self)
	}
	if e := c.members[name]; e != nil {
		return newsOf(&e.Member)
	}
	return nil
}

func newsOf(m *Member) *peerv1.MemberNews {
	return &peerv1.MemberNews{
		Member:         m.Identity(),
		State:          uint32(m.State),
		Generation:     m.Generation,
		Load:           m.Load,
		CallersAddress: m.CallersAddress,
	}
}

// mergeOne applies one change. Higher generations win, and within one
// generation higher states. Two processes under one name and generation are
// ordered by incarnation until one of them raises its generation.
func (c *Core) mergeOne(from *peerv1.Identity, n *peerv1.MemberNews, now time.Duration) {
	id := n.GetMember()
	if id == nil || n.State < uint32(Alive) || n.State > uint32(Leaving) || n.Generation > maxGeneration {
		return
	}
	if id.Instance == c.self.Name {
		c.refute(n)
		return
	}
	own := from != nil && id.Instance == from.Instance && id.Incarnation == from.Incarnation
	if own {
		id = from
	}
	if !strictini.ValidName(id.Instance) || !strictini.ValidAddress(id.PeerAddress) ||
		n.CallersAddress != "" && !strictini.ValidAddress(n.CallersAddress) ||
		!strictini.ValidName(id.Region) || !strictini.ValidName(id.Domain) {
		return
	}
	e := c.members[id.Instance]
	if e == nil {
		if State(n.State) != Alive && State(n.State) != Suspected {
			return // no need to learn of a member that is gone already
		}
		if e = c.insert(Member{Name: id.Instance, PeerAddress: id.PeerAddress, State: Alive}); e == nil {
			return
		}
	} else if !supersedes(e, id, n) {
		if own && e.Incarnation == id.Incarnation {
			e.Load = n.Load
		}
		return
	}
	if own && e.State == Dead {
		c.rejoin = true // a partition has healed: look for others at once
	}
	if e.Incarnation != id.Incarnation && e.State == State(n.State) {
		c.changed = append(c.changed, Transition{Member: e.view(), Old: e.State})
	}
	e.Incarnation, e.Generation, e.Load = id.Incarnation, n.Generation, n.Load
	e.PeerAddress, e.Region, e.Domain = id.PeerAddress, id.Region, id.Domain
	if n.CallersAddress != "" {
		e.CallersAddress = n.CallersAddress
	}
	c.set(e, State(n.State), now)
	for i := range c.changed {
		if c.changed[i].Member.Name == e.Name && !c.changed[i].Gone {
			c.changed[i].Member = e.view()
		}
	}
}

// supersedes reports whether a change is newer than the entry.
func supersedes(e *entry, id *peerv1.Identity, n *peerv1.MemberNews) bool {
	switch {
	case e.Incarnation == 0 && id.Incarnation != 0: // known from the list only
		return true
	case n.Generation != e.Generation:
		return n.Generation > e.Generation
	case id.Incarnation != e.Incarnation:
		return id.Incarnation > e.Incarnation
	}
	return State(n.State) > e.State
}

// refute raises the own generation if others believe something else about
// this instance.
func (c *Core) refute(n *peerv1.MemberNews) {
	other := n.Member.Incarnation != c.self.Incarnation
	if n.Generation < c.self.Generation || n.Generation == c.self.Generation && !other && State(n.State) <= c.self.State {
		return
	}
	c.self.Generation = max(c.self.Generation, n.Generation) + 1
	c.news.add(c.self.Name, true)
}
