package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/quota"
	"github.com/wigeonhill/wigeonhill/internal/roster"
)

// ownRow fills in the row about this instance.
func (i *Instance) ownRow(row *peerv1.FleetRow) {
	now := time.Now()
	row.CallersAddress = i.settings.Listen.Callers
	row.Ready, row.Leaving = i.gateway.Ready(), i.gateway.Draining()
	row.Revision = i.catalog.Revision()
	for team, use := range i.quota.Own(now) {
		row.Teams = append(row.Teams, &peerv1.TeamUse{Team: team, Spent: use.Spent, Demand: float32(use.Demand)})
	}
	row.Targets = i.tracker.Uses()
	if v := i.catalog.Current(); v.Config != nil {
		for service := range v.Config.Services {
			if p := i.tracker.Pool(v, service, now); p != nil {
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
			use := make(map[string]quota.Use, len(m.Row.GetTeams()))
			for _, t := range m.Row.GetTeams() {
				use[t.GetTeam()] = quota.Use{Spent: t.GetSpent(), Demand: float64(t.GetDemand())}
			}
			peers = append(peers, quota.Peer{Address: id.GetPeerAddress(), Domain: id.GetDomain(), Incarnation: id.GetIncarnation(), Reachable: m.Reachable && !m.Late, Heard: m.Heard, Use: use})
		}
		i.tracker.SetPeers(near)
		i.tracker.Forget(i.catalog.Current().Targets)
		i.budget.SetInstances(max(len(members)+1, 3*len(i.settings.RegionOf)))
		i.quota.Observe(peers, time.Now())
	}
}

// snapshots implements catalog.Peers.
type snapshots struct {
	roster  *roster.Manager
	clients *peerapi.Clients
	region  string
}

// Snapshot asks a reachable instance that has seen a later revision, one of the
// own region if there is one.
func (s snapshots) Snapshot(ctx context.Context, after int64) ([]byte, error) {
	var near, far []string
	for _, m := range s.roster.Members() {
		if !m.Reachable || m.Row.GetRevision() <= after {
			continue
		}
		if a := m.Row.GetInstance().GetPeerAddress(); m.Region() == s.region {
			near = append(near, a)
		} else {
			far = append(far, a)
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
