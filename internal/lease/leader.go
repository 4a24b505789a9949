package lease

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// leaderMissingDelay is how long no leader must have responded before it is
// logged. An election after the loss of a leader takes up to one and a half
// times the duration of a leadership lease.
const leaderMissingDelay = 5 * time.Second

var errNoVoters = errors.New("region has no voters")

// renewAtLeader sends the renewal to the shard's leader, following one hint.
func (m *Manager) renewAtLeader(ctx context.Context, cfg *config.Config, shard leadership.Shard, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	address, err := m.leaderAddress(cfg, shard)
	if err != nil {
		return nil, err
	}
	for range 2 {
		resp, err := m.send(ctx, address, req)
		if err != nil {
			m.forgetLeaderAddress(shard)
			return nil, err
		}
		if resp.GetGrantor() {
			m.cacheLeaderAddress(shard, address)
			return resp, nil
		}
		m.forgetLeaderAddress(shard)
		hint := resp.GetHint().GetPeerAddress()
		if hint == "" || hint == address {
			return resp, nil
		}
		address = hint
	}
	return &peerv1.RenewResponse{}, nil
}

func (m *Manager) send(ctx context.Context, address string, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	if address == m.c.Self.GetPeerAddress() {
		return m.HandleRenew(ctx, req)
	}
	return m.c.PeerClient.Renew(ctx, address, req)
}

// leaderAddress returns the probable address of the shard's leader: the one
// that last responded as leader, else the one that this instance's voter names,
// else one of the voters in turn.
func (m *Manager) leaderAddress(cfg *config.Config, shard leadership.Shard) (string, error) {
	hint := m.c.Leadership.LeaderHint(m.c.Clock.Now(), shard).GetPeerAddress()
	m.addresses.Lock()
	defer m.addresses.Unlock()
	if a := m.addresses.leader[shard]; a != "" {
		return a, nil
	}
	if hint != "" {
		return hint, nil
	}
	region := cfg.Regions[shard.Region]
	if region == nil || len(region.Voters) == 0 {
		return "", errors.Wrap(errNoVoters, shard.Region)
	}
	voters := leadership.VoterSetOf(region).All()
	m.addresses.nextVoter[shard]++
	return voters[m.addresses.nextVoter[shard]%len(voters)], nil
}

func (m *Manager) cacheLeaderAddress(shard leadership.Shard, address string) {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	m.addresses.leader[shard] = address
}

func (m *Manager) forgetLeaderAddress(shard leadership.Shard) {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	delete(m.addresses.leader, shard)
}

// recordLeaderState logs when the shard's leader has been missing for long and
// when it is back.
func (m *Manager) recordLeaderState(shard leadership.Shard, found bool) {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	now := m.c.Clock.Now().Lower
	since, missing := m.addresses.missingSince[shard]
	fields := []zap.Field{zap.String("region", shard.Region), zap.Uint32("shard", shard.Index), zap.Duration("for", now-since)}
	switch {
	case found && missing:
		if since < 0 {
			m.c.Log.Emit(event.LeaderFound, fields[:2]...)
		}
		delete(m.addresses.missingSince, shard)
	case !found && !missing:
		m.addresses.missingSince[shard] = now
	case !found && since >= 0 && now-since >= leaderMissingDelay:
		m.c.Log.Emit(event.LeaderMissing, fields...)
		m.addresses.missingSince[shard] = -1
	}
}

// recordUnconfirmedSlots records in the log and the audit trail that slots of
// an expired holder wait to be confirmed free.
func (m *Manager) recordUnconfirmedSlots(cfg *config.Config, lease leadership.Lease, e UnconfirmedSlots) {
	m.c.Log.Emit(event.SlotsUnconfirmed, zap.String("target", e.Target), zap.String("holder", e.Holder.Instance), zap.Int("slots", e.Slots))
	if m.c.AuditTrail == nil {
		return
	}
	m.c.AuditTrail.Add(audit.Change{
		At: time.Now(), Kind: audit.SlotsReclaimed, Subject: fmt.Sprintf("%s/%d", lease.Shard.Region, lease.Shard.Index),
		Target: e.Target, Old: e.Holder.Instance, New: fmt.Sprint(e.Slots),
		Reason: "the holder is silent; the slots wait for a load report or the end of the longest run", Revision: cfg.Revision,
	})
}
