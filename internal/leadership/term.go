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
	// LeaseDuration of a term.
	LeaseDuration = 2 * time.Second
	// RenewInterval is the interval at which a grantor renews its term.
	RenewInterval = 500 * time.Millisecond
)

// ErrInvalidRequest marks a vote request that cannot be judged.
var ErrInvalidRequest = errors.New("invalid vote request")

// Shard names one part of a region's teams and targets.
type Shard struct {
	Region string
	Index  uint32
}

// ShardFromProto converts a message field; nil is the zero shard.
func ShardFromProto(id *peerv1.ShardID) Shard {
	return Shard{Region: id.GetRegion(), Index: id.GetShard()}
}

// ID converts s to a message field.
func (s Shard) ID() *peerv1.ShardID {
	return &peerv1.ShardID{Region: s.Region, Shard: s.Index}
}

// ShardFor returns the shard of a team or target in the region.
func ShardFor(region *config.Region, name string) Shard {
	s := Shard{Region: region.Name}
	if region.Shards > 1 {
		s.Index = uint32(xxhash.Sum64String(name) % uint64(region.Shards))
	}
	return s
}

// Process names one run of an instance.
type Process struct {
	Instance    string
	Incarnation uint64
}

// ProcessFromProto converts a message field.
func ProcessFromProto(id *peerv1.Identity) Process {
	return Process{Instance: id.GetInstance(), Incarnation: id.GetIncarnation()}
}

// Lease is a confirmed term of a grantor.
type Lease struct {
	Shard  Shard
	Ballot uint64
	// Since is the candidate's reading when the term was confirmed.
	Since clock.Reading
	// Until is the candidate's upper reading at which the term ends.
	Until time.Duration
}

// VoterSet are the voters whose majority makes a grantor.
type VoterSet struct {
	Current, Previous []string
}

// VoterSetOf returns the published seats of the region.
func VoterSetOf(r *config.Region) VoterSet {
	return VoterSet{Current: r.Voters, Previous: r.PreviousVoters}
}

// All returns each seat address once.
func (s VoterSet) All() []string {
	seen := make(map[string]bool, len(s.Current)+len(s.Previous))
	var all []string
	for _, list := range [][]string{s.Current, s.Previous} {
		for _, a := range list {
			if !seen[a] {
				seen[a] = true
				all = append(all, a)
			}
		}
	}
	return all
}

// HasMajority reports whether granted covers a majority of the current seats and,
// while seats are being changed, also of the previous ones.
func (s VoterSet) HasMajority(granted map[string]bool) bool {
	return majority(s.Current, granted) && (len(s.Previous) == 0 || majority(s.Previous, granted))
}

func majority(seats []string, granted map[string]bool) bool {
	distinct := make(map[string]bool, len(seats))
	votes := 0
	for _, a := range seats {
		if distinct[a] {
			continue
		}
		distinct[a] = true
		if granted[a] {
			votes++
		}
	}
	return votes > len(distinct)/2
}
