package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/quota"
)

// profilePeriod is the time in seconds of which one second's heartbeats carry the
// learnt profiles. Only instances that have just started need them.
const profilePeriod = 4

// fillHeartbeat fills in the state of this instance.
func (i *Instance) fillHeartbeat(hb *peerv1.FleetRow) {
	now := time.Now()
	hb.CallersAddress = i.settings.Listen.Callers
	hb.Ready, hb.Leaving = i.gateway.Ready(), i.gateway.Draining()
	view := i.catalog.Current()
	setKnown(hb, view.Known())
	hb.StoreAnswers = i.catalog.StoreAnswers()
	for team, usage := range i.quota.LocalUsage(now) {
		hb.Teams = append(hb.Teams, &peerv1.TeamUse{Team: team, Spent: usage.Spent, Demand: float32(usage.Demand)})
	}
	hb.Targets, hb.Parts = i.tracker.TargetUses(), i.tracker.CachedParts(now)
	hb.Load = i.meter.Load()
	hb.Profiles = i.tracker.SlowTargets()
	if now.Unix()%profilePeriod == 0 {
		hb.Profiles = append(hb.Profiles, i.tracker.Profiles()...)
	}
	hb.CrashBlocks = i.crashes.Digest()
	hb.DomainMembers, hb.HasWarmupShare = i.roster.State()
	if view.Config != nil {
		for service := range view.Config.Services {
			if pool := i.tracker.PoolUse(view, service, now); pool != nil {
				hb.Pools = append(hb.Pools, pool)
			}
		}
	}
}

// setKnown sets what the sender of a heartbeat knows of the store's state.
func setKnown(hb *peerv1.FleetRow, k catalog.Known) {
	hb.PublishedEra, hb.PublishedChange = k.Published.Era, k.Published.Number
	hb.TargetsEra, hb.TargetsChange = k.Targets.Era, k.Targets.Number
	hb.ConfigVersion = k.ConfigVersion
}

// known returns what the sender of a heartbeat knows of the store's state.
func known(hb *peerv1.FleetRow) catalog.Known {
	return catalog.Known{
		Published:     deployment.Revision{Era: hb.GetPublishedEra(), Number: hb.GetPublishedChange()},
		Targets:       deployment.Revision{Era: hb.GetTargetsEra(), Number: hb.GetTargetsChange()},
		ConfigVersion: hb.GetConfigVersion(),
	}
}

// applyHeartbeats passes the heartbeats of other instances to the tracker, the
// retry budget and the quota limiter until ctx is done.
func (i *Instance) applyHeartbeats(ctx context.Context) error {
	tick := time.NewTicker(heartbeatReadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		members := i.heartbeats.Members()
		sameRegion := map[string]*peerv1.FleetRow{}
		peers := make([]quota.Peer, 0, len(members))
		for _, m := range members {
			id := m.Heartbeat.GetInstance()
			if m.Reachable && m.Region() == i.settings.Region {
				sameRegion[id.GetPeerAddress()] = m.Heartbeat
				for _, p := range m.Heartbeat.GetProfiles() {
					i.tracker.MergeProfile(id.GetPeerAddress(), p)
				}
			}
			usage := make(map[string]quota.Usage, len(m.Heartbeat.GetTeams()))
			for _, t := range m.Heartbeat.GetTeams() {
				usage[t.GetTeam()] = quota.Usage{Spent: t.GetSpent(), Demand: float64(t.GetDemand())}
			}
			peers = append(peers, quota.Peer{Address: id.GetPeerAddress(), Domain: id.GetDomain(), Incarnation: id.GetIncarnation(), Reachable: m.Reachable && !m.Late, LastSeen: m.LastSeen, Usage: usage})
		}
		i.roster.Update(members, time.Now())
		i.gateway.SyncBlocks(members, time.Now())
		i.tracker.SetPeerHeartbeats(sameRegion, time.Now())
		i.noteListAge(members)
		i.logPacing()
		i.tracker.Prune(i.catalog.Current().Targets, time.Now())
		i.retryBudget.SetInstances(max(len(members)+1, 3*len(i.settings.RegionByDomain)))
		i.quota.Observe(peers, time.Now())
	}
}

// storeReaders is the number of instances of a failure domain that read the
// store; the others fetch the catalog from them. With two, one may be lost,
// partitioned or stopped without an interruption.
const storeReaders = 2

// catalogPeers implements catalog.Peers.
type catalogPeers struct {
	self       *peerv1.Identity
	heartbeats *heartbeat.Manager
	clients    *peerapi.Clients
	// failedSource is the peer address of the instance that did not deliver the
	// last snapshot; empty if it was delivered.
	failedSource string
}

// EnoughReaders implements catalog.Peers. The instances whose names sort first
// read the store, so that all instances agree on the readers without exchanging
// messages.
func (p *catalogPeers) EnoughReaders(era int64) bool {
	return countReaders(p.heartbeats.Members(), p.self, era) >= storeReaders
}

// countReaders returns how many instances of the failure domain of self read the store
// before self has to, and have read it in the given era or a later one.
func countReaders(members []heartbeat.Member, self *peerv1.Identity, era int64) int {
	n := 0
	for _, m := range members {
		id, k := m.Heartbeat.GetInstance(), known(m.Heartbeat)
		current := k.Published.Later(k.Targets).Era >= era
		if current && storeAnswers(m) && m.Heartbeat.GetReady() && id.GetDomain() == self.GetDomain() && id.GetInstance() < self.GetInstance() {
			n++
		}
	}
	return n
}

// StoreAnswers implements catalog.Peers.
func (p *catalogPeers) StoreAnswers() bool {
	return slices.ContainsFunc(p.heartbeats.Members(), storeAnswers)
}

// storeAnswers reports whether the store answers the instance, as far as its
// heartbeats tell.
func storeAnswers(m heartbeat.Member) bool {
	return m.Reachable && !m.Late && m.Heartbeat.GetStoreAnswers()
}

// AnnounceChange implements catalog.Peers.
func (p *catalogPeers) AnnounceChange() { p.heartbeats.Announce() }

// FetchSnapshot implements catalog.Peers. It must not be called concurrently.
func (p *catalogPeers) FetchSnapshot(ctx context.Context, have catalog.Known, localOnly bool) (snapshot []byte, from string, err error) {
	source := snapshotSource(p.heartbeats.Members(), p.self.GetDomain(), have, localOnly, p.failedSource)
	if source == nil {
		return nil, "", nil
	}
	res, err := p.clients.Client(source.GetPeerAddress()).FetchEdition(ctx, connect.NewRequest(&peerv1.FetchEditionRequest{}))
	if err != nil {
		p.failedSource = source.GetPeerAddress()
		return nil, source.GetInstance(), err
	}
	p.failedSource = ""
	return res.Msg.GetText(), source.GetInstance(), nil
}

// snapshotSource returns a random one of the best sources (see sourceRank) among the
// instances that know anything later than have, or nil if there is none. With
// localOnly, only instances of the local failure domain are considered. failed is the
// address of the instance that did not deliver the last snapshot.
func snapshotSource(members []heartbeat.Member, domain string, have catalog.Known, localOnly bool, failed string) *peerv1.Identity {
	var best []*peerv1.Identity
	bestRank := 0
	for _, m := range members {
		id := m.Heartbeat.GetInstance()
		if !m.Reachable || !known(m.Heartbeat).LaterThan(have) || localOnly && id.GetDomain() != domain {
			continue
		}
		rank := sourceRank(&m, domain, failed)
		if len(best) == 0 || rank < bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, id)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[rand.IntN(len(best))]
}

// sourceRank ranks an instance as a source of snapshots; lower is better. An
// unresponsive instance costs a whole timeout.
func sourceRank(m *heartbeat.Member, domain, failed string) int {
	switch id := m.Heartbeat.GetInstance(); {
	case id.GetPeerAddress() == failed:
		return 3
	case id.GetDomain() != domain:
		return 2
	case m.Late:
		return 1
	}
	return 0
}
