package server

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/directory"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/membership"
)

// dispatchMembers adapts the membership manager to dispatch.Members.
type dispatchMembers struct{ members *membership.Manager }

// InRegion implements dispatch.Members.
func (d dispatchMembers) InRegion(region string) []dispatch.Member {
	self := d.members.Self().Name
	var out []dispatch.Member
	for _, member := range d.members.Live(region) {
		if member.Name != self {
			out = append(out, dispatchMember(member))
		}
	}
	return out
}

// ByName implements dispatch.Members.
func (d dispatchMembers) ByName(name string) (dispatch.Member, bool) {
	member, ok := d.members.ByName(name)
	if !ok || member.State == membership.Dead {
		return dispatch.Member{}, false
	}
	return dispatchMember(member), true
}

func dispatchMember(member membership.Member) dispatch.Member {
	return dispatch.Member{Name: member.Name, Incarnation: member.Incarnation, PeerAddress: member.PeerAddress, Region: member.Region}
}

// instanceDirectory implements entry.Directory.
type instanceDirectory struct {
	members *membership.Manager
	configs *configversion.Manager
}

// InstancesFor implements entry.Directory.
func (d instanceDirectory) InstancesFor(caller, region string) any {
	var instances []directory.Instance
	for _, member := range d.members.Live("") {
		instances = append(instances, directory.Instance{
			Name: member.Name, Incarnation: member.Incarnation, Address: member.CallersAddress, Region: member.Region,
			Suspected: member.State == membership.Suspected, Load: int(member.Load),
		})
	}
	return directory.BuildResponse(instances, directory.Caller{ID: caller, Region: region}, linkDelays(d.configs.Current(), region), time.Now())
}

// linkDelays returns the configured one-way delays from region to the others.
func linkDelays(cfg *config.Config, region string) map[string]time.Duration {
	if cfg == nil {
		return nil
	}
	delays := make(map[string]time.Duration, len(cfg.Links))
	for id, link := range cfg.Links {
		switch region {
		case id.A:
			delays[id.B] = link.Delay
		case id.B:
			delays[id.A] = link.Delay
		}
	}
	return delays
}

// candidateRank returns the position of this instance among the live instances
// of the shard's region in the rendezvous order of candidates, or -1 if it is
// not one of them. An instance that is not a voter may campaign too.
func (srv *Server) candidateRank(shard leadership.Shard) int {
	var names []string
	for _, member := range srv.members.Live(shard.Region) {
		names = append(names, member.Name)
	}
	return leadership.Rank(shard, srv.settings.Instance.Name, names)
}
