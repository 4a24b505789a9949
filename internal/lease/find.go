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

// missingAfter is how long no grantor answers before it is logged. An election
// after the loss of a grantor takes up to a term and a half.
const missingAfter = 5 * time.Second

var errNoSeats = errors.New("region has no seats")

// ask sends the renewal to the shard's grantor, following one hint.
func (m *Manager) ask(ctx context.Context, ed *config.Config, shard leadership.Shard, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	address, err := m.address(ed, shard)
	if err != nil {
		return nil, err
	}
	for range 2 {
		resp, err := m.send(ctx, address, req)
		if err != nil {
			m.forgetAddress(shard)
			return nil, err
		}
		if resp.GetGrantor() {
			m.keepAddress(shard, address)
			return resp, nil
		}
		m.forgetAddress(shard)
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

// address returns where the shard's grantor is believed to be: where it last
// answered, as this instance's own voter says, or at one of the seats in turn.
func (m *Manager) address(ed *config.Config, shard leadership.Shard) (string, error) {
	hint := m.c.Leadership.LeaderHint(m.c.Clock.Now(), shard).GetPeerAddress()
	m.addresses.Lock()
	defer m.addresses.Unlock()
	if a := m.addresses.grantor[shard]; a != "" {
		return a, nil
	}
	if hint != "" {
		return hint, nil
	}
	region := ed.Regions[shard.Region]
	if region == nil || len(region.Voters) == 0 {
		return "", errors.Wrap(errNoSeats, shard.Region)
	}
	seats := leadership.VoterSetOf(region).All()
	m.addresses.next[shard]++
	return seats[m.addresses.next[shard]%len(seats)], nil
}

func (m *Manager) keepAddress(shard leadership.Shard, address string) {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	m.addresses.grantor[shard] = address
}

func (m *Manager) forgetAddress(shard leadership.Shard) {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	delete(m.addresses.grantor, shard)
}

// noteGrantor logs when the shard's grantor has been missing for long and when
// it is back.
func (m *Manager) noteGrantor(shard leadership.Shard, found bool) {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	now := m.c.Clock.Now().Lower
	since, missing := m.addresses.missing[shard]
	fields := []zap.Field{zap.String("region", shard.Region), zap.Uint32("shard", shard.Index), zap.Duration("for", now-since)}
	switch {
	case found && missing:
		if since < 0 {
			m.c.Log.Emit(event.GrantorFound, fields[:2]...)
		}
		delete(m.addresses.missing, shard)
	case !found && !missing:
		m.addresses.missing[shard] = now
	case !found && since >= 0 && now-since >= missingAfter:
		m.c.Log.Emit(event.GrantorMissing, fields...)
		m.addresses.missing[shard] = -1
	}
}

// noteReclaim records that slots of a silent holder wait for proof.
func (m *Manager) noteReclaim(ed *config.Config, t leadership.Lease, e UnconfirmedSlots) {
	m.c.Log.Emit(event.SlotsUnproved, zap.String("target", e.Target), zap.String("holder", e.Holder.Instance), zap.Int("slots", e.Slots))
	if m.c.AuditTrail == nil {
		return
	}
	m.c.AuditTrail.Add(audit.Change{
		At: time.Now(), Kind: audit.SlotsReclaimed, Subject: fmt.Sprintf("%s/%d", t.Shard.Region, t.Shard.Index),
		Target: e.Target, Old: e.Holder.Instance, New: fmt.Sprint(e.Slots),
		Reason: "the holder is silent; the slots wait for a load report or the end of the longest run", Revision: ed.Revision,
	})
}
