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

const abstention = 2040 * time.Millisecond

func vote(t *testing.T, v *Voter, now time.Duration, who *peerv1.Identity, ballot uint64) *peerv1.VoteResponse {
	t.Helper()
	resp, err := v.Vote(at(now), &peerv1.VoteRequest{Shard: shard.ID(), Candidate: who, Ballot: ballot})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a voter that forgets a promise by restarting, or promises the
// same term twice, also to a process that replaced another under its name.
func TestVoterPromisesOneTermAtATime(t *testing.T) {
	v := NewVoter(at(0))
	if r := vote(t, v, abstention-1, identity("x", 1), 5); r.Granted || !r.Abstains {
		t.Fatalf("a new voter answered %v within a term", r)
	}
	now := abstention
	if r := vote(t, v, now, identity("x", 1), 5); !r.Granted {
		t.Fatalf("refused: %v", r)
	}
	for _, other := range []*peerv1.Identity{identity("y", 1), identity("x", 2)} {
		if r := vote(t, v, now+abstention-1, other, 9); r.Granted || r.Holder.GetIncarnation() != 1 {
			t.Fatalf("a second promise within the term: %v", r)
		}
	}
	now += abstention
	if r := vote(t, v, now, identity("y", 1), 5); r.Granted {
		t.Fatal("promised a ballot that another process had")
	}
	if r := vote(t, v, now, identity("y", 1), 6); !r.Granted {
		t.Fatal("refused although the promise had run out")
	}
	v.Abstain(at(now))
	if r := vote(t, v, now+1, identity("y", 1), 6); r.Granted || !r.Abstains {
		t.Fatalf("voted just after a pause: %v", r)
	}
}

// Guards against a seat that is lost to the grantor after a failed campaign of
// another instance: it had promised a higher ballot and refused every renewal,
// so that the loss of one further seat ended the term.
func TestVoterGrantsRenewalsBelowAFailedCampaign(t *testing.T) {
	v := NewVoter(at(0))
	now := abstention
	if r := vote(t, v, now, identity("failed", 1), 9); !r.Granted {
		t.Fatalf("refused: %v", r)
	}
	renewal := &peerv1.VoteRequest{Shard: shard.ID(), Candidate: identity("grantor", 1), Ballot: 5, Renews: true}
	if r, _ := v.Vote(at(now+1), renewal); r.GetGranted() {
		t.Fatal("renewed while another promise was alive")
	}
	now += abstention
	if r, _ := v.Vote(at(now), renewal); !r.GetGranted() || r.GetBallot() != 5 {
		t.Fatalf("renewal refused: %v", r)
	}
	now += abstention
	if r := vote(t, v, now, identity("next", 1), 9); r.Granted {
		t.Fatal("a campaign did not have to rise above the highest ballot")
	}
	if r := vote(t, v, now, identity("next", 1), 10); !r.Granted {
		t.Fatalf("refused: %v", r)
	}
}

// Guards against a request without the fields that a promise is keyed by.
func TestVoterRefusesIncompleteRequests(t *testing.T) {
	v := NewVoter(at(0))
	if _, err := v.Vote(at(time.Minute), &peerv1.VoteRequest{Candidate: identity("x", 1), Ballot: 1}); !errors.Is(err, ErrInvalidRequest) {
		t.Fatalf("no shard: %v", err)
	}
}

// Guards against a grantor that has a majority of the new seats only while the
// seats are being changed, or counts a seat twice.
func TestMajorityOfBothSeatLists(t *testing.T) {
	granted := map[string]bool{"d": true, "e": true, "c": true}
	s := VoterSet{Current: []string{"c", "d", "e"}, Previous: []string{"a", "b", "c"}}
	if s.HasMajority(granted) {
		t.Error("one of three previous seats sufficed")
	}
	granted["a"] = true
	if !s.HasMajority(granted) {
		t.Error("majorities of both lists did not suffice")
	}
	if (VoterSet{Current: []string{"a", "a", "b", "x"}}).HasMajority(map[string]bool{"a": true}) {
		t.Error("a seat that is listed twice counted twice")
	}
}

// Guards against a term that outlives the promises behind it: the end counts
// from before the request, late answers count for nothing, and an expired term
// is not renewed under the same ballot.
func TestTermEndsBeforeItsPromises(t *testing.T) {
	c := NewCandidate(shard, identity("x", 1))
	seats := VoterSet{Current: []string{"1", "2", "3"}}
	win := func(r *Round, now time.Duration) {
		for _, s := range seats.Current[:2] {
			c.HandleResponse(at(now), r.Number, s, &peerv1.VoteResponse{Granted: true, Ballot: r.Request.Ballot})
		}
	}
	r := c.Begin(at(0), 100, 200, seats)
	if r.Request.Ballot != 201 {
		t.Fatalf("ballot %d is not above the fencing number", r.Request.Ballot)
	}
	win(r, 1960*time.Millisecond)
	if c.Active(at(1960 * time.Millisecond)) {
		t.Fatal("answers that came after the term counted")
	}
	r = c.Begin(at(2*time.Second), 100, 200, seats)
	win(r, 2100*time.Millisecond)
	if _, ok := c.Lease(at(2100 * time.Millisecond)); ok {
		t.Fatal("grantor after one round: its voters may have promised before the predecessor's term ended")
	}
	win(c.Begin(at(2100*time.Millisecond), 0, 0, seats), 2200*time.Millisecond)
	term, ok := c.Lease(at(2200 * time.Millisecond))
	if !ok || term.Until != 2100*time.Millisecond+1960*time.Millisecond {
		t.Fatalf("term %v, %v", term, ok)
	}
	late := c.Begin(at(4*time.Second), 0, 0, seats)
	win(late, 4100*time.Millisecond)
	if c.Active(at(4100 * time.Millisecond)) {
		t.Fatal("renewed after the term had run out")
	}
	if r := c.Begin(at(4200*time.Millisecond), 0, 0, seats); r.Request.Ballot <= late.Request.Ballot {
		t.Fatalf("ballot %d does not rise above %d", r.Request.Ballot, late.Request.Ballot)
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
