package leadership

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

type phase int

const (
	idle phase = iota
	// campaigning: the first round is in flight.
	campaigning
	// confirming: a majority promised the lease, but it is not confirmed.
	confirming
	// leading: a round that began after the first majority also succeeded.
	leading
)

// Round is one vote request that is sent to all voters.
type Round struct {
	Number  uint64
	Request *peerv1.VoteRequest
	Voters  VoterSet

	sent            clock.Reading
	granted         map[string]bool
	majorityReached bool
}

// Candidate acquires and renews the leadership lease of one shard. It is not
// safe for concurrent use.
//
// A lease needs two rounds. The second begins after the first succeeded, thus
// after the predecessor's lease ended, so the voters that its successor needs
// also promised this lease after that end. With a single round, an early vote
// and a late one would let the token leases of three successive leaders
// overlap, and the halves of the burst that they grant would exceed the whole.
type Candidate struct {
	shard Shard
	self  *peerv1.Identity

	phase       phase
	ballot      uint64
	highestSeen uint64        // highest ballot learned from voters
	until       time.Duration // upper reading at which the lease ends
	since       clock.Reading // when the lease was confirmed
	lastRound   uint64        // number of the last round
	rounds      map[uint64]*Round
}

// NewCandidate returns a Candidate without a lease.
func NewCandidate(shard Shard, self *peerv1.Identity) *Candidate {
	return &Candidate{shard: shard, self: self, rounds: make(map[uint64]*Round)}
}

// Begin starts a round: a campaign, its confirmation, or a renewal. wallMS is
// the wall-clock time in milliseconds and fencingToken the highest fencing
// token published by the shard's targets; both only raise a new ballot.
func (c *Candidate) Begin(now clock.Reading, wallMS, fencingToken uint64, voters VoterSet) *Round {
	c.expire(now)
	if c.phase == idle || c.phase == campaigning {
		c.phase = campaigning
		c.ballot = max(c.highestSeen, c.ballot, wallMS, fencingToken) + 1
		clear(c.rounds)
	}
	for n, r := range c.rounds {
		if now.Upper-r.sent.Upper >= clock.ForHolder(LeaseDuration) {
			delete(c.rounds, n)
		}
	}
	c.lastRound++
	r := &Round{
		Number:  c.lastRound,
		Request: &peerv1.VoteRequest{Shard: c.shard.ID(), Candidate: c.self, Ballot: c.ballot, Renews: c.phase == leading},
		Voters:  voters,
		sent:    now,
		granted: make(map[string]bool),
	}
	c.rounds[r.Number] = r
	return r
}

// HandleResponse processes one voter's response to a round. It returns true
// when the response completed the first round of a campaign; the caller then
// begins the confirmation at once.
func (c *Candidate) HandleResponse(now clock.Reading, round uint64, voter string, resp *peerv1.VoteResponse) bool {
	c.highestSeen = max(c.highestSeen, resp.GetBallot())
	c.expire(now)
	r := c.rounds[round]
	if r == nil || r.majorityReached || !resp.GetGranted() || resp.GetBallot() != c.ballot {
		return false
	}
	r.granted[voter] = true
	if !r.Voters.HasMajority(r.granted) {
		return false
	}
	r.majorityReached = true
	until := r.sent.Upper + clock.ForHolder(LeaseDuration)
	if now.Upper >= until {
		return false
	}
	c.until = max(c.until, until)
	switch c.phase {
	case campaigning:
		c.phase, c.until = confirming, until
		return true
	case confirming:
		c.phase, c.since = leading, now
	}
	return false
}

// expire returns to idle and drops all rounds if the lease has expired, because
// another leader may have been elected since.
func (c *Candidate) expire(now clock.Reading) {
	if (c.phase == confirming || c.phase == leading) && now.Upper >= c.until {
		c.phase, c.until = idle, 0
		clear(c.rounds)
	}
}

// Lease returns the confirmed lease if the candidate is leader at now.
func (c *Candidate) Lease(now clock.Reading) (Lease, bool) {
	if c.phase != leading || now.Upper >= c.until {
		return Lease{}, false
	}
	return Lease{Shard: c.shard, Ballot: c.ballot, Since: c.since, Until: c.until}, true
}

// Active reports whether the candidate has won a lease that is still valid,
// confirmed or not.
func (c *Candidate) Active(now clock.Reading) bool {
	return (c.phase == confirming || c.phase == leading) && now.Upper < c.until
}
