package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/quota"
)

// ownRow fills in the row about this instance.
func (i *Instance) ownRow(row *peerv1.FleetRow) {
	now := time.Now()
	row.CallersAddress = i.settings.Listen.Callers
	row.Ready, row.Leaving = i.gateway.Ready(), i.gateway.Draining()
	v := i.catalog.Current()
	row.PublishedChange, row.TargetsChange, row.StoreAnswers = v.PublishedChange, v.TargetsChange, i.catalog.StoreAnswers()
	for team, use := range i.quota.LocalUsage(now) {
		row.Teams = append(row.Teams, &peerv1.TeamUse{Team: team, Spent: use.Spent, Demand: float32(use.Demand)})
	}
	row.Targets, row.Parts = i.tracker.TargetUses(), i.tracker.CachedParts(now)
	if v.Config != nil {
		for service := range v.Config.Services {
			if p := i.tracker.PoolUse(v, service, now); p != nil {
				row.Pools = append(row.Pools, p)
			}
		}
	}
}

// reports passes what the rows of other instances say to those who decide by it.
func (i *Instance) reports(ctx context.Context) error {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		members := i.roster.Members()
		near := map[string]*peerv1.FleetRow{}
		peers := make([]quota.Peer, 0, len(members))
		for _, m := range members {
			id := m.Row.GetInstance()
			if m.Reachable && m.Region() == i.settings.Region {
				near[id.GetPeerAddress()] = m.Row
			}
			use := make(map[string]quota.Usage, len(m.Row.GetTeams()))
			for _, t := range m.Row.GetTeams() {
				use[t.GetTeam()] = quota.Usage{Spent: t.GetSpent(), Demand: float64(t.GetDemand())}
			}
			peers = append(peers, quota.Peer{Address: id.GetPeerAddress(), Domain: id.GetDomain(), Incarnation: id.GetIncarnation(), Reachable: m.Reachable && !m.Late, LastSeen: m.LastSeen, Usage: use})
		}
		i.tracker.SetPeerHeartbeats(near, time.Now())
		i.tracker.Prune(i.catalog.Current().Targets)
		i.budget.SetInstances(max(len(members)+1, 3*len(i.settings.RegionByDomain)))
		i.quota.Observe(peers, time.Now())
	}
}

// storeReaders is the number of instances of a failure domain that read the
// store; the others take the catalog from them. With two, one may be lost, cut
// off or stopped without a gap.
const storeReaders = 2

// snapshots implements catalog.Peers.
type snapshots struct {
	self    *peerv1.Identity
	roster  *heartbeat.Manager
	clients *peerapi.Clients
}

// EnoughReaders implements catalog.Peers. The first names read the store, so that all
// instances agree without a message.
func (s snapshots) EnoughReaders() bool {
	n := 0
	for _, m := range s.roster.Members() {
		id := m.Row.GetInstance()
		if m.Reachable && !m.Late && m.Row.GetReady() && m.Row.GetStoreAnswers() && id.GetDomain() == s.self.GetDomain() && id.GetInstance() < s.self.GetInstance() {
			n++
		}
	}
	return n >= storeReaders
}

// AnnounceChange implements catalog.Peers. Only those who read the store announce; the
// others have it from them.
func (s snapshots) AnnounceChange() {
	if !s.EnoughReaders() {
		s.roster.Announce()
	}
}

// FetchSnapshot implements catalog.Peers. It asks an instance of the own failure
// domain if one has news. Others are only asked while the store is silent here.
func (s snapshots) FetchSnapshot(ctx context.Context, have catalog.ChangeRevisions) ([]byte, error) {
	covered := s.EnoughReaders()
	var near, far []string
	for _, m := range s.roster.Members() {
		if !m.Reachable || m.Row.GetPublishedChange() <= have.Published && m.Row.GetTargetsChange() <= have.Targets {
			continue
		}
		if id := m.Row.GetInstance(); id.GetDomain() == s.self.GetDomain() {
			near = append(near, id.GetPeerAddress())
		} else if !covered {
			far = append(far, id.GetPeerAddress())
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil, nil
	}
	res, err := s.clients.Client(near[rand.IntN(len(near))]).FetchEdition(ctx, connect.NewRequest(&peerv1.FetchEditionRequest{}))
	if err != nil {
		return nil, err
	}
	return res.Msg.GetText(), nil
}
