package leadership

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

type phase int

const (
	idle phase = iota
	// campaigning: the first round is on its way.
	campaigning
	// won: a majority promised, but the term is not confirmed.
	won
	// granting: a round that began after the first majority succeeded.
	granting
)

// Round is one request to all seats.
type Round struct {
	Number  uint64
	Request *peerv1.VoteRequest
	Voters  VoterSet

	sent    clock.Reading
	granted map[string]bool
	counted bool
}

// Candidate seeks and keeps the term of one shard. It is not safe for
// concurrent use.
//
// A term needs two rounds. The second begins after the first succeeded, thus
// after the predecessor's term ended, so that the successor's voters promised
// this term later than that end too. With one round, a vote given early and
// another one given late would let the grants of three successive grantors
// overlap, and their halves of the burst add up to more than the whole.
type Candidate struct {
	shard Shard
	self  *peerv1.Identity

	phase  phase
	ballot uint64
	seen   uint64        // highest ballot learned from voters
	until  time.Duration // upper reading
	since  clock.Reading
	last   uint64 // number of the last round
	rounds map[uint64]*Round
}

// NewCandidate returns a Candidate without a term.
func NewCandidate(shard Shard, self *peerv1.Identity) *Candidate {
	return &Candidate{shard: shard, self: self, rounds: make(map[uint64]*Round)}
}

// Begin starts a round: a campaign, its confirmation, or a renewal. wall is
// the wall-clock time in milliseconds and fence the highest fencing number
// published by the shard's targets; both only raise a new ballot.
func (c *Candidate) Begin(now clock.Reading, wall, fence uint64, seats VoterSet) *Round {
	c.expire(now)
	if c.phase == idle || c.phase == campaigning {
		c.phase = campaigning
		c.ballot = max(c.seen, c.ballot, wall, fence) + 1
		clear(c.rounds)
	}
	for n, r := range c.rounds {
		if now.Upper-r.sent.Upper >= clock.ForHolder(LeaseDuration) {
			delete(c.rounds, n)
		}
	}
	c.last++
	r := &Round{
		Number:  c.last,
		Request: &peerv1.VoteRequest{Shard: c.shard.ID(), Candidate: c.self, Ballot: c.ballot, Renews: c.phase == granting},
		Voters:  seats,
		sent:    now,
		granted: make(map[string]bool),
	}
	c.rounds[r.Number] = r
	return r
}

// HandleResponse takes the answer of one seat to a round. It returns true when the
// answer completed the first round of a campaign; the caller then begins the
// confirmation at once.
func (c *Candidate) HandleResponse(now clock.Reading, round uint64, seat string, resp *peerv1.VoteResponse) bool {
	c.seen = max(c.seen, resp.GetBallot())
	c.expire(now)
	r := c.rounds[round]
	if r == nil || r.counted || !resp.GetGranted() || resp.GetBallot() != c.ballot {
		return false
	}
	r.granted[seat] = true
	if !r.Voters.HasMajority(r.granted) {
		return false
	}
	r.counted = true
	until := r.sent.Upper + clock.ForHolder(LeaseDuration)
	if now.Upper >= until {
		return false
	}
	c.until = max(c.until, until)
	switch c.phase {
	case campaigning:
		c.phase, c.until = won, until
		return true
	case won:
		c.phase, c.since = granting, now
	}
	return false
}

// expire gives up everything that depends on a term that ran out. Without a
// valid term another grantor may have been elected meanwhile.
func (c *Candidate) expire(now clock.Reading) {
	if (c.phase == won || c.phase == granting) && now.Upper >= c.until {
		c.phase, c.until = idle, 0
		clear(c.rounds)
	}
}

// Lease returns the term if the candidate is grantor now.
func (c *Candidate) Lease(now clock.Reading) (Lease, bool) {
	if c.phase != granting || now.Upper >= c.until {
		return Lease{}, false
	}
	return Lease{Shard: c.shard, Ballot: c.ballot, Since: c.since, Until: c.until}, true
}

// Active reports whether the candidate has won a term that is still valid.
func (c *Candidate) Active(now clock.Reading) bool {
	return (c.phase == won || c.phase == granting) && now.Upper < c.until
}
