package leadership

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// maxPromises bounds the shards that one voter remembers. A fleet has a few
// regions with a few dozen shards each, and a voter votes in one region.
const maxPromises = 1024

type promise struct {
	candidate *peerv1.Identity
	// ballot is the highest ballot promised; a later campaign must exceed it.
	ballot uint64
	until  time.Duration // lower reading
}

// Voter promises leadership leases. It is not safe for concurrent use.
type Voter struct {
	abstainUntil time.Duration // lower reading
	promises     map[Shard]promise
}

// NewVoter returns a Voter that abstains for a full lease, because it does not
// know the promises of an earlier incarnation.
func NewVoter(now clock.Reading) *Voter {
	v := &Voter{promises: make(map[Shard]promise)}
	v.Abstain(now)
	return v
}

// Abstain makes the voter abstain for a full lease.
func (v *Voter) Abstain(now clock.Reading) {
	v.abstainUntil = now.Lower + clock.ForGrantor(LeaseDuration)
}

// Abstaining reports whether the voter abstains at now, because it started or
// was paused less than a lease ago.
func (v *Voter) Abstaining(now clock.Reading) bool { return now.Lower < v.abstainUntil }

// Vote decides on a candidate's request for a lease. The promise counts from
// now, which the caller must read after the request arrived.
func (v *Voter) Vote(now clock.Reading, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	if req.GetShard().GetRegion() == "" || req.GetCandidate().GetInstance() == "" || req.GetBallot() == 0 {
		return nil, errors.Wrap(ErrInvalidRequest, "shard, candidate and ballot must be set")
	}
	shard := ShardFromProto(req.GetShard())
	p := v.promises[shard]
	promised := now.Lower < p.until
	resp := &peerv1.VoteResponse{Ballot: p.ballot}
	if promised {
		resp.Holder = p.candidate
	}
	sameProcess := ProcessFromProto(p.candidate) == ProcessFromProto(req.GetCandidate())
	switch {
	case v.Abstaining(now):
		resp.Abstains = true
		return resp, nil
	case promised && !sameProcess:
		return resp, nil
	case !req.GetRenews() && (req.GetBallot() < p.ballot || req.GetBallot() == p.ballot && !sameProcess):
		// Only campaigns must exceed the ballots promised before. A renewal
		// with a lower ballot means that the campaign with the higher one
		// failed: its lease would have ended the lease being renewed.
		return resp, nil
	case !v.makeRoom(now, shard):
		return resp, nil
	}
	p = promise{
		candidate: proto.CloneOf(req.GetCandidate()),
		ballot:    max(p.ballot, req.GetBallot()),
		until:     now.Lower + clock.ForGrantor(LeaseDuration),
	}
	v.promises[shard] = p
	resp.Granted, resp.Ballot, resp.Holder = true, req.GetBallot(), p.candidate
	return resp, nil
}

// makeRoom reports whether there is room for a promise about shard. If needed,
// it drops expired promises. The ballots that are lost with them only order
// campaigns; promises do not depend on them.
func (v *Voter) makeRoom(now clock.Reading, shard Shard) bool {
	if _, ok := v.promises[shard]; ok || len(v.promises) < maxPromises {
		return true
	}
	for s, p := range v.promises {
		if now.Lower >= p.until {
			delete(v.promises, s)
		}
	}
	return len(v.promises) < maxPromises
}

// Holder returns the candidate that holds the voter's promise, or nil.
func (v *Voter) Holder(now clock.Reading, shard Shard) *peerv1.Identity {
	if p, ok := v.promises[shard]; ok && now.Lower < p.until {
		return p.candidate
	}
	return nil
}
