package leadership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// LeaseDuration is the nominal duration of a leadership lease; candidates
	// shorten it and voters lengthen it by the clock error.
	LeaseDuration = 2 * time.Second
	// RenewInterval is the interval at which a leader renews its lease.
	RenewInterval = 500 * time.Millisecond
)

// ErrInvalidRequest marks a vote request without a required field.
var ErrInvalidRequest = errors.New("invalid vote request")

// Shard identifies one partition of a region's teams and targets.
type Shard struct {
	Region string
	Index  uint32
}

// ShardFromProto converts a protobuf shard ID; nil gives the zero Shard.
func ShardFromProto(id *peerv1.ShardID) Shard {
	return Shard{Region: id.GetRegion(), Index: id.GetShard()}
}

// ID converts s to a protobuf shard ID.
func (s Shard) ID() *peerv1.ShardID {
	return &peerv1.ShardID{Region: s.Region, Shard: s.Index}
}

// ShardFor returns the shard of the team or target with the given name in the
// region.
func ShardFor(region *config.Region, name string) Shard {
	s := Shard{Region: region.Name}
	if region.Shards > 1 {
		s.Index = uint32(xxhash.Sum64String(name) % uint64(region.Shards))
	}
	return s
}

// Process identifies one incarnation of an instance.
type Process struct {
	Instance    string
	Incarnation uint64
}

// ProcessFromProto converts a protobuf identity; nil gives the zero Process.
func ProcessFromProto(id *peerv1.Identity) Process {
	return Process{Instance: id.GetInstance(), Incarnation: id.GetIncarnation()}
}

// Lease is a confirmed leadership lease.
type Lease struct {
	Shard  Shard
	Ballot uint64
	// Since is the leader's clock reading when the lease was confirmed.
	Since clock.Reading
	// Until is the leader's upper clock reading at which the lease ends.
	Until time.Duration
}

// VoterSet holds the peer addresses of the voters whose majority elects a
// leader. Previous is set only while the voters are being changed.
type VoterSet struct {
	Current, Previous []string
}

// VoterSetOf returns the published voters of the region.
func VoterSetOf(r *config.Region) VoterSet {
	return VoterSet{Current: r.Voters, Previous: r.PreviousVoters}
}

// All returns each voter address once.
func (s VoterSet) All() []string {
	seen := make(map[string]bool, len(s.Current)+len(s.Previous))
	var all []string
	for _, list := range [][]string{s.Current, s.Previous} {
		for _, voter := range list {
			if !seen[voter] {
				seen[voter] = true
				all = append(all, voter)
			}
		}
	}
	return all
}

// HasMajority reports whether granted covers a majority of the current voters
// and, while voters are being changed, also of the previous ones.
func (s VoterSet) HasMajority(granted map[string]bool) bool {
	return majority(s.Current, granted) && (len(s.Previous) == 0 || majority(s.Previous, granted))
}

func majority(voters []string, granted map[string]bool) bool {
	distinct := make(map[string]bool, len(voters))
	votes := 0
	for _, voter := range voters {
		if distinct[voter] {
			continue
		}
		distinct[voter] = true
		if granted[voter] {
			votes++
		}
	}
	return votes > len(distinct)/2
}
