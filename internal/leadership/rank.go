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
// prefers the members for the shard, or -1 if self is not a member. Differing
// member lists cost time, never safety.
func Rank(shard Shard, self string, members []string) int {
	weight := func(name string) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", shard.Region, shard.Index, name))
	}
	rank, found, own := 0, false, weight(self)
	for _, name := range members {
		w := weight(name)
		switch {
		case name == self:
			found = true
		case w > own || w == own && name < self:
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// record writes the event and the audit entry of a change of term.
func (m *Manager) record(e event.Event, kind audit.Kind, shard Shard, ballot uint64, revision int64, reason string) {
	m.c.Log.Emit(e, zap.String("region", shard.Region), zap.Uint32("shard", shard.Index), zap.Uint64("ballot", ballot))
	if m.c.Trail == nil {
		return
	}
	m.c.Trail.Add(audit.Change{
		At: time.Now(), Kind: kind, Subject: fmt.Sprintf("%s/%d", shard.Region, shard.Index),
		New: strconv.FormatUint(ballot, 10), Reason: reason, Revision: revision,
	})
}
