package lease

import (
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

func reading(d time.Duration) clock.Reading { return clock.Reading{Lower: d, Upper: d} }

// fixture is a ledger and holders of one region that call each other directly.
type fixture struct {
	t       *testing.T
	now     time.Duration
	cfg     *config.Config
	ledger  *Ledger
	holders []*Holder
}

var shardA = leadership.Shard{Region: "a"}

func newFixture(t *testing.T, holders int) *fixture {
	b := &fixture{t: t, now: time.Minute, cfg: simConfig(1, 3, 1, 1000, 1000, 4)}
	for i := range holders {
		b.holders = append(b.holders, NewHolder(&peerv1.Identity{Instance: voterAddress("a", i), Incarnation: 1, Region: "a"}))
	}
	b.elect(10)
	return b
}

func (b *fixture) elect(ballot uint64) { b.ledger = NewLedger(reading(b.now), shardA, ballot) }

func (b *fixture) build(i int) *peerv1.RenewRequest {
	return b.holders[i].BuildRenewal(reading(b.now), b.cfg, shardA)
}

// handle processes a request and fails the test if an invariant is violated.
func (b *fixture) handle(req *peerv1.RenewRequest) *peerv1.RenewResponse {
	b.t.Helper()
	resp, err := b.ledger.Renew(reading(b.now), b.cfg, req)
	if err == nil {
		err = b.ledger.verify()
	}
	if err != nil {
		b.t.Fatal(err)
	}
	return resp
}

func (b *fixture) apply(i int, resp *peerv1.RenewResponse) {
	b.t.Helper()
	if err := b.holders[i].ApplyResponse(reading(b.now), shardA, resp); err != nil {
		b.t.Fatal(err)
	}
}

func (b *fixture) renew(holders ...int) {
	b.t.Helper()
	for _, i := range holders {
		b.apply(i, b.handle(b.build(i)))
	}
}

func (b *fixture) balance(i int) float64 { return b.holders[i].Balance(reading(b.now), "t0") }

func (b *fixture) want(i int, n float64) { b.holders[i].WantTokens(reading(b.now), "t0", n) }

func (b *fixture) wantSlots(i, n int) { b.holders[i].WantSlots(reading(b.now), "a-e0", n) }

func (b *fixture) take(i int) Slot {
	b.t.Helper()
	s, ok := b.holders[i].TryTake(reading(b.now), "a-e0")
	if !ok {
		b.t.Fatal("no idle slot")
	}
	return s
}

// afterStartup lets the startup period of the leadership lease pass and records
// that the targets are idle.
func (b *fixture) afterStartup() *fixture {
	b.now += 3 * time.Second
	for _, name := range []string{"a-e0", "a-e1"} {
		b.ledger.RecordLoad(reading(b.now), b.cfg, name, Load{SampledAt: b.now})
	}
	return b
}

// Guards against more than half of the burst outstanding under one leader, or
// more than the burst under two successive ones.
func TestOutstandingLeasesAreHalfOfTheBurst(t *testing.T) {
	b := newFixture(t, 2).afterStartup()
	b.want(0, 5000)
	b.want(1, 5000)
	b.renew(0, 1)
	if sum := b.balance(0) + b.balance(1); sum != 500 {
		t.Fatalf("%g of a burst of 1000 outstanding, want 500", sum)
	}
	b.elect(11)
	b.now += 1900 * time.Millisecond
	b.renew(0, 1)
	if sum := b.balance(0) + b.balance(1); sum > 1000 {
		t.Fatalf("two successive leaders have %g of 1000 outstanding", sum)
	}
	if c := b.ledger.buckets["t0"]; c.level+c.outstanding > 500 {
		t.Fatalf("the new leader has %g while its predecessor may have 500", c.level+c.outstanding)
	}
}

// Guards against lost or duplicated messages that cost or create tokens: a
// response that does not arrive, a request or a response that arrives twice,
// and a request that arrives late.
func TestLostAndDuplicatedMessages(t *testing.T) {
	b := newFixture(t, 1).afterStartup()
	b.want(0, 100)
	b.renew(0)
	req := b.build(0)
	_ = b.handle(req) // the response is lost
	b.holders[0].TryDebit(reading(b.now), "t0", 60)
	b.want(0, 200)
	req = b.build(0)
	resp := b.handle(req)
	if again := b.handle(req); again != resp {
		t.Fatal("a duplicate request was processed again")
	}
	b.apply(0, resp)
	b.apply(0, resp)
	c := b.ledger.buckets["t0"]
	if got := b.balance(0); got != c.outstanding || c.level+c.outstanding != 940 {
		t.Fatalf("holder has %g, ledger %g outstanding and level %g after 60 of 1000 were spent", got, c.outstanding, c.level)
	}
	stale := b.build(0)
	b.renew(0)
	if r := b.handle(stale); len(r.Teams)+len(r.Targets) > 0 {
		t.Fatalf("an older request was granted %v", r)
	}
}

// Guards against a refund that raises the bucket above what it would hold had
// the tokens never been debited. That happens if the bucket was full in
// between, because its refill was cut off at the burst.
func TestRefundIsLimitedByHeadroom(t *testing.T) {
	b := newFixture(t, 1).afterStartup()
	b.want(0, 400)
	b.renew(0)
	a, _ := b.holders[0].TryDebit(reading(b.now), "t0", 400)
	b.want(0, 0)
	b.renew(0)
	b.now += 100 * time.Millisecond // refills 99
	b.holders[0].Refund(a, 400)
	b.renew(0)
	if c := b.ledger.buckets["t0"]; c.level+c.outstanding > 1000 {
		t.Fatalf("bucket holds %g", c.level+c.outstanding)
	}
	late := newFixture(t, 1).afterStartup()
	late.want(0, 400)
	late.renew(0)
	a, _ = late.holders[0].TryDebit(reading(late.now), "t0", 400)
	late.want(0, 0)
	late.renew(0)
	for range 10 { // the bucket fills up, and is drained afterwards
		late.now += 100 * time.Millisecond
		late.renew(0)
	}
	late.want(0, 300)
	late.renew(0)
	if _, ok := late.holders[0].TryDebit(reading(late.now), "t0", 300); !ok {
		t.Fatal("refused 300 of a full bucket")
	}
	late.want(0, 0)
	late.renew(0)
	before := late.ledger.buckets["t0"].level + late.ledger.buckets["t0"].outstanding
	late.holders[0].Refund(a, 400)
	late.renew(0)
	if after := late.ledger.buckets["t0"].level + late.ledger.buckets["t0"].outstanding; after > before+tolerance {
		t.Fatalf("a refund from before the bucket was full raised it from %g to %g", before, after)
	}
}

// Guards against reported balances or slots that the leader never granted. They
// are an assertion failure, and everything the holder has is revoked.
func TestInvalidReportsAreRevoked(t *testing.T) {
	b := newFixture(t, 1).afterStartup()
	b.want(0, 100)
	b.wantSlots(0, 1)
	b.renew(0)
	for _, forge := range []func(*peerv1.RenewRequest){
		func(r *peerv1.RenewRequest) { r.Teams = []*peerv1.TeamReport{{Team: "t0", Balance: 1e6}} },
		func(r *peerv1.RenewRequest) { r.Targets = []*peerv1.TargetReport{{Target: "a-e0", Busy: 5}} },
	} {
		req := b.build(0)
		forge(req)
		resp, err := b.ledger.Renew(reading(b.now), b.cfg, req)
		if !errors.HasAssertionFailure(err) || !resp.GetReset_() || len(resp.Teams)+len(resp.Targets) > 0 {
			t.Fatalf("response %v, error %v", resp, err)
		}
		b.apply(0, resp)
		if b.balance(0) != 0 {
			t.Fatal("the balance survived the reset")
		}
		b.renew(0)
	}
	bad := b.build(0)
	bad.Teams = []*peerv1.TeamReport{{Team: "t0", Balance: math.NaN()}}
	if _, err := b.ledger.Renew(reading(b.now), b.cfg, bad); !errors.Is(err, ErrInvalidRequest) {
		t.Fatalf("NaN was not rejected as an invalid request: %v", err)
	}
}

// Guards against busy slots that are granted again: the holder's lease ended on
// its own clock while the leader still counted the slots, and the holder's next
// report, without them, declared them free.
func TestBusySlotsOutliveTheHoldersLease(t *testing.T) {
	b := newFixture(t, 2).afterStartup()
	b.wantSlots(0, 4)
	b.renew(0)
	for range 4 {
		b.take(0)
	}
	b.wantSlots(0, 0)
	b.renew(0)
	b.now += 1900 * time.Millisecond
	_ = b.handle(b.build(0)) // the response is lost
	b.now += 200 * time.Millisecond
	b.renew(0)
	b.wantSlots(1, 1)
	b.renew(1)
	if s, ok := b.holders[1].TryTake(reading(b.now), "a-e0"); ok {
		t.Fatalf("a fifth slot was granted on a target with a capacity of 4: %v", s)
	}
}

// Guards against a lowered capacity that never takes effect on a target whose
// slots are always busy, because only idle slots are recalled.
func TestLoweredCapacityRecallsBusySlots(t *testing.T) {
	b := newFixture(t, 1).afterStartup()
	b.wantSlots(0, 4)
	b.renew(0)
	var slots []Slot
	for range 4 {
		slots = append(slots, b.take(0))
	}
	next := *b.cfg
	lowered := *b.cfg.Targets["a-e0"]
	lowered.Capacity = 1
	next.Targets = map[string]*config.Target{"a-e0": &lowered}
	b.cfg = &next
	b.wantSlots(0, 9)
	b.renew(0)
	for _, s := range slots[:3] {
		b.holders[0].Release(reading(b.now), s)
		if _, ok := b.holders[0].TryTake(reading(b.now), "a-e0"); ok {
			t.Fatal("a slot above the lowered capacity was used again")
		}
		b.renew(0)
	}
	if l := b.ledger.slots["a-e0"]; l.held != 1 {
		t.Fatalf("%d slots held of a capacity of 1", l.held)
	}
}

// Guards against a new leader that grants slots which its predecessor's holders
// still use, or loses those that they claim.
func TestNewLeaderTakesOverSlots(t *testing.T) {
	b := newFixture(t, 2).afterStartup()
	b.wantSlots(0, 3)
	b.renew(0)
	held := b.take(0)
	b.wantSlots(0, 2)
	b.elect(11)
	b.wantSlots(1, 4)
	b.renew(0, 1)
	if _, ok := b.holders[1].TryTake(reading(b.now), "a-e0"); ok {
		t.Fatal("a slot was granted before the old ones were accounted for")
	}
	b.renew(0) // claims the slots of the previous leader
	if l := b.ledger.slots["a-e0"]; l.held != 3 || l.unaccounted() != 1 {
		t.Fatalf("%d slots held and %d unaccounted for of 4 after a claim of 3", l.held, l.unaccounted())
	}
	b.holders[0].Release(reading(b.now), held)
	b.wantSlots(0, 3) // keeps all three slots
	b.now += time.Second
	b.ledger.RecordLoad(reading(b.now), b.cfg, "a-e0", Load{SampledAt: b.now})
	b.renew(0, 1)
	if _, ok := b.holders[1].TryTake(reading(b.now), "a-e0"); ok {
		t.Fatal("a load sampled within the old leases freed a slot")
	}
	b.wantSlots(0, 0)
	b.afterStartup()
	b.renew(0, 1)
	if _, ok := b.holders[1].TryTake(reading(b.now), "a-e0"); !ok {
		t.Fatal("the unaccounted slot was not freed by a load report")
	}
}

// Guards against slots of an expired holder on a target without load reports:
// they must neither be lost for good nor be reclaimed before the longest run
// has ended.
func TestExpiredHoldersSlotsReturnAfterMaxRun(t *testing.T) {
	b := newFixture(t, 2).afterStartup()
	b.wantSlots(0, 4)
	b.renew(0)
	b.take(0)
	b.wantSlots(1, 1)
	end := b.now + clock.ForGrantor(Validity) + clock.ForGrantor(simMaxRun) + runMargin
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{{end - time.Millisecond, false}, {end, true}} {
		b.now = c.at
		b.renew(1)
		if _, ok := b.holders[1].TryTake(reading(b.now), "a-e0"); ok != c.want {
			t.Fatalf("at %v: slot %v, want %v", c.at, ok, c.want)
		}
	}
}

// Guards against a request that is sent after its lease has ended: its process
// was suspended between the debit and the check before sending.
func TestProcessSuspendedBetweenDebitAndSend(t *testing.T) {
	b := newFixture(t, 1).afterStartup()
	b.want(0, 100)
	b.wantSlots(0, 1)
	b.renew(0)
	a, ok := b.holders[0].TryDebit(reading(b.now), "t0", 50)
	slot := b.take(0)
	if !ok || !b.holders[0].DebitValid(reading(b.now), a) || !b.holders[0].Usable(reading(b.now), slot) {
		t.Fatal("not usable right after the debit")
	}
	b.now += time.Hour
	if b.holders[0].DebitValid(reading(b.now), a) || b.holders[0].Usable(reading(b.now), slot) {
		t.Fatal("usable after an hour's suspension")
	}
}

// Guards against refusing requests larger than one region's lease, which need
// the balances of several regions.
func TestDebitFromSeveralRegions(t *testing.T) {
	h := NewHolder(&peerv1.Identity{Instance: "x", Region: "a"})
	cfg := simConfig(3, 3, 1, 3000, 3000, 1)
	now := reading(time.Minute)
	h.WantTokens(now, "t0", 1200)
	for _, r := range []string{"a", "b", "c"} {
		s := leadership.Shard{Region: r}
		req := h.BuildRenewal(now, cfg, s)
		if err := h.ApplyResponse(now, s, &peerv1.RenewResponse{
			Grantor: true, Ballot: 1, Sequence: req.Sequence, ValidityMs: 2000,
			Teams: []*peerv1.TeamGrant{{Team: "t0", Granted: 500}},
		}); err != nil {
			t.Fatal(err)
		}
	}
	a, ok := h.TryDebit(now, "t0", 1200)
	if !ok || a.Region != "a" || len(a.OtherRegions) != 2 || a.OtherRegions[0].Tokens+a.OtherRegions[1].Tokens != 700 {
		t.Fatalf("%+v, %v", a, ok)
	}
	h.Refund(a, 600)
	if r := h.BuildRenewal(now, cfg, shardA).Teams[0].Refunds; len(r) != 1 || r[0].Tokens != 250 {
		t.Fatalf("refund of 500/1200 of 600: %v", r)
	}
}

// Guards invariant I7 against a leader whose clock runs 1% fast: the clocks of the
// simulation deviate by half of that, and its other slack hides a refill that is too
// high.
func TestRefillWithFastClock(t *testing.T) {
	const rate, elapsed = 1000.0, 100 * time.Second
	b := newBucket(0, 0, rate, teamBurst)
	b.advance(elapsed+elapsed/100, rate, teamBurst, math.Inf(1))
	if b.level > rate*elapsed.Seconds() {
		t.Errorf("%.0f tokens in %s at %.0f a second", b.level, elapsed, rate)
	}
}
