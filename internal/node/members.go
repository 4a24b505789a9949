package node

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/directory"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/membership"
)

// dispatchMembers shows the members to the request path.
type dispatchMembers struct{ m *membership.Manager }

// InRegion implements dispatch.Members.
func (d dispatchMembers) InRegion(region string) []dispatch.Member {
	self := d.m.Self().Name
	var out []dispatch.Member
	for _, one := range d.m.Live(region) {
		if one.Name != self {
			out = append(out, dispatchMember(one))
		}
	}
	return out
}

// ByName implements dispatch.Members.
func (d dispatchMembers) ByName(name string) (dispatch.Member, bool) {
	one, ok := d.m.ByName(name)
	if !ok || one.State == membership.Dead {
		return dispatch.Member{}, false
	}
	return dispatchMember(one), true
}

func dispatchMember(one membership.Member) dispatch.Member {
	return dispatch.Member{Name: one.Name, Incarnation: one.Incarnation, PeerAddress: one.PeerAddress, Region: one.Region}
}

// answers implements entry.Directory.
type answers struct {
	members  *membership.Manager
	editions *configversion.Manager
}

// Answer implements entry.Directory.
func (a answers) Answer(caller, region string) any {
	var instances []directory.Instance
	for _, one := range a.members.Live("") {
		instances = append(instances, directory.Instance{
			Name: one.Name, Incarnation: one.Incarnation, Address: one.CallersAddress, Region: one.Region,
			Suspected: one.State == membership.Suspected, Load: int(one.Load),
		})
	}
	return directory.Order(instances, directory.Caller{ID: caller, Region: region}, delaysFrom(a.editions.Current(), region), time.Now())
}

// delaysFrom returns the published one-way delays to the other regions.
func delaysFrom(e *config.Config, region string) map[string]time.Duration {
	if e == nil {
		return nil
	}
	out := make(map[string]time.Duration, len(e.Links))
	for id, link := range e.Links {
		switch region {
		case id.A:
			out[id.B] = link.Delay
		case id.B:
			out[id.A] = link.Delay
		}
	}
	return out
}

// rank orders the live seats of a region as candidates for a shard. An
// instance without a seat may campaign too, but only after all seats.
func (n *Node) rank(shard leadership.Shard) int {
	var names []string
	for _, one := range n.members.Live(shard.Region) {
		names = append(names, one.Name)
	}
	return leadership.Rank(shard, n.settings.Instance.Name, names)
}
