package leadership

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

func at(d time.Duration) clock.Reading { return clock.Reading{Lower: d, Upper: d} }

func identity(name string, incarnation uint64) *peerv1.Identity {
	return &peerv1.Identity{Instance: name, Incarnation: incarnation, Region: "a"}
}

var shard = Shard{Region: "a"}

const abstainTime = 2040 * time.Millisecond

func vote(t *testing.T, v *Voter, now time.Duration, candidate *peerv1.Identity, ballot uint64) *peerv1.VoteResponse {
	t.Helper()
	resp, err := v.Vote(at(now), &peerv1.VoteRequest{Shard: shard.ID(), Candidate: candidate, Ballot: ballot})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a voter that forgets a promise by restarting, or promises a
// lease to a second candidate while the first promise is valid. The second may
// also be a new incarnation of the first.
func TestVoterPromisesOneLeaseAtATime(t *testing.T) {
	v := NewVoter(at(0))
	if r := vote(t, v, abstainTime-1, identity("x", 1), 5); r.Granted || !r.Abstains {
		t.Fatalf("a new voter did not abstain for a full lease: %v", r)
	}
	now := abstainTime
	if r := vote(t, v, now, identity("x", 1), 5); !r.Granted {
		t.Fatalf("refused: %v", r)
	}
	for _, other := range []*peerv1.Identity{identity("y", 1), identity("x", 2)} {
		if r := vote(t, v, now+abstainTime-1, other, 9); r.Granted || r.Holder.GetIncarnation() != 1 {
			t.Fatalf("a second promise before the first expired: %v", r)
		}
	}
	now += abstainTime
	if r := vote(t, v, now, identity("y", 1), 5); r.Granted {
		t.Fatal("promised a ballot that was promised to another process")
	}
	if r := vote(t, v, now, identity("y", 1), 6); !r.Granted {
		t.Fatal("refused although the promise had expired")
	}
	v.Abstain(at(now))
	if r := vote(t, v, now+1, identity("y", 1), 6); r.Granted || !r.Abstains {
		t.Fatalf("did not abstain after a process pause: %v", r)
	}
}

// Guards against a leader that loses a voter through the failed campaign of
// another instance: the voter had promised a higher ballot and refused every
// renewal, so the loss of one further voter ended the lease.
func TestVoterGrantsRenewalsBelowAFailedCampaign(t *testing.T) {
	v := NewVoter(at(0))
	now := abstainTime
	if r := vote(t, v, now, identity("failed", 1), 9); !r.Granted {
		t.Fatalf("refused: %v", r)
	}
	renewal := &peerv1.VoteRequest{Shard: shard.ID(), Candidate: identity("leader", 1), Ballot: 5, Renews: true}
	if r, _ := v.Vote(at(now+1), renewal); r.GetGranted() {
		t.Fatal("renewed while another promise was valid")
	}
	now += abstainTime
	if r, _ := v.Vote(at(now), renewal); !r.GetGranted() || r.GetBallot() != 5 {
		t.Fatalf("renewal refused: %v", r)
	}
	now += abstainTime
	if r := vote(t, v, now, identity("next", 1), 9); r.Granted {
		t.Fatal("a campaign did not have to exceed the highest ballot")
	}
	if r := vote(t, v, now, identity("next", 1), 10); !r.Granted {
		t.Fatalf("refused: %v", r)
	}
}

// Guards against a promise for a request without a shard, by which promises are
// keyed.
func TestVoterRefusesIncompleteRequests(t *testing.T) {
	v := NewVoter(at(0))
	if _, err := v.Vote(at(time.Minute), &peerv1.VoteRequest{Candidate: identity("x", 1), Ballot: 1}); !errors.Is(err, ErrInvalidRequest) {
		t.Fatalf("no shard: %v", err)
	}
}

// Guards against a leader that has a majority of only the new voters while the
// voters are being changed, or that counts a voter twice.
func TestMajorityOfBothVoterLists(t *testing.T) {
	granted := map[string]bool{"d": true, "e": true, "c": true}
	s := VoterSet{Current: []string{"c", "d", "e"}, Previous: []string{"a", "b", "c"}}
	if s.HasMajority(granted) {
		t.Error("one of three previous voters sufficed")
	}
	granted["a"] = true
	if !s.HasMajority(granted) {
		t.Error("majorities of both lists did not suffice")
	}
	if (VoterSet{Current: []string{"a", "a", "b", "x"}}).HasMajority(map[string]bool{"a": true}) {
		t.Error("a voter that is listed twice counted twice")
	}
}

// Guards against a lease that outlives the promises behind it: its end counts
// from before the request, late responses are ignored, and an expired lease is
// not renewed under the same ballot.
func TestLeaseEndsBeforeItsPromises(t *testing.T) {
	c := NewCandidate(shard, identity("x", 1))
	voters := VoterSet{Current: []string{"1", "2", "3"}}
	grantMajority := func(r *Round, now time.Duration) {
		for _, voter := range voters.Current[:2] {
			c.HandleResponse(at(now), r.Number, voter, &peerv1.VoteResponse{Granted: true, Ballot: r.Request.Ballot})
		}
	}
	r := c.Begin(at(0), 100, 200, voters)
	if r.Request.Ballot != 201 {
		t.Fatalf("ballot %d is not above the fencing token", r.Request.Ballot)
	}
	grantMajority(r, 1960*time.Millisecond)
	if c.Active(at(1960 * time.Millisecond)) {
		t.Fatal("responses that came after the end of the lease counted")
	}
	r = c.Begin(at(2*time.Second), 100, 200, voters)
	grantMajority(r, 2100*time.Millisecond)
	if _, ok := c.Lease(at(2100 * time.Millisecond)); ok {
		t.Fatal("leader after one round: its voters may have promised before the predecessor's lease ended")
	}
	grantMajority(c.Begin(at(2100*time.Millisecond), 0, 0, voters), 2200*time.Millisecond)
	lease, ok := c.Lease(at(2200 * time.Millisecond))
	if !ok || lease.Until != 2100*time.Millisecond+1960*time.Millisecond {
		t.Fatalf("lease %v, %v", lease, ok)
	}
	late := c.Begin(at(4*time.Second), 0, 0, voters)
	grantMajority(late, 4100*time.Millisecond)
	if c.Active(at(4100 * time.Millisecond)) {
		t.Fatal("renewed after the lease had expired")
	}
	if r := c.Begin(at(4200*time.Millisecond), 0, 0, voters); r.Request.Ballot <= late.Request.Ballot {
		t.Fatalf("ballot %d does not exceed %d", r.Request.Ballot, late.Request.Ballot)
	}
}

// Guards against members that disagree on the order although they see the same
// members.
func TestRankIsAPermutation(t *testing.T) {
	members, seen := []string{"x", "y", "z"}, map[int]bool{}
	for _, m := range members {
		seen[Rank(shard, m, members)] = true
	}
	if len(seen) != 3 || seen[-1] || Rank(shard, "w", members) != -1 {
		t.Fatalf("ranks %v", seen)
	}
}
