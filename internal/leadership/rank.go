package leadership

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// Rank returns the position of self in the order in which rendezvous hashing
// prefers the members as leader of the shard, or -1 if self is not a member.
// Different member lists on the instances only delay an election; safety does
// not depend on them.
func Rank(shard Shard, self string, members []string) int {
	weight := func(name string) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", shard.Region, shard.Index, name))
	}
	rank, found, selfWeight := 0, false, weight(self)
	for _, name := range members {
		w := weight(name)
		switch {
		case name == self:
			found = true
		case w > selfWeight || w == selfWeight && name < self:
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// record writes the event and the audit entry of a leadership change.
func (m *Manager) record(e event.Event, kind audit.Kind, shard Shard, ballot uint64, revision int64, reason string) {
	m.cfg.Log.Emit(e, zap.String("region", shard.Region), zap.Uint32("shard", shard.Index), zap.Uint64("ballot", ballot))
	if m.cfg.Trail == nil {
		return
	}
	m.cfg.Trail.Add(audit.Change{
		At: time.Now(), Kind: kind, Subject: fmt.Sprintf("%s/%d", shard.Region, shard.Index),
		New: strconv.FormatUint(ballot, 10), Reason: reason, Revision: revision,
	})
}
