package crash

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
)

const (
	// crashWindow is the time within which losses of attempts that began before a
	// crash belong to it: each instance notices the crash separately.
	crashWindow = 10 * time.Second
	// restartMargin is the least time between a crash and the first attempt on the
	// restarted target.
	restartMargin = 200 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = time.Hour
	// maxCrashes bounds the crashes that are remembered, maxNamed the suspects in
	// all of them, and maxAttempts the attempts in one.
	maxCrashes  = 1024
	maxNamed    = 32 << 10
	maxAttempts = 256
	// RespondingEvents is the number of events of a stream with which a target has
	// written more than the beginning of a response.
	RespondingEvents = 3
	// soundCapacity is the number of acquitted suspects that are remembered.
	soundCapacity = 8 << 10
)

// Config holds the dependencies of a Tracker.
type Config struct {
	Clock clock.Clock
	// OnBlock is called when a block comes into force or is revoked, with the
	// lock of the Tracker held; nil to ignore it.
	OnBlock func(BlockChange)
}

// Tracker records crashes and decides which requests are blocked. Lock order:
// Tracker.mu is a leaf lock.
type Tracker struct {
	cfg Config
	mu  struct {
		sync.Mutex
		running map[string]map[uint64]*Attempt // by target and id
		crashes []*crash                       // oldest first
		named   map[Suspect]int                // number of crashes that name it
		size    int                            // suspects in all crashes
		// sound holds when a suspect was last acquitted.
		sound    *recentTimes
		outcomes outcomes
		blocks   map[blockID]*block
		// byFirst holds the blocks in force by their first suspect.
		byFirst map[Suspect][]*block
		// undecided is set while crashes are known that Decide has not weighed.
		undecided    bool
		lastDecision time.Duration // time of the last call of decide that weighed suspects
		nextReport   int           // index of the first crash of the next batch of Next
		outbox       outbox
	}
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg}
	t.mu.running = map[string]map[uint64]*Attempt{}
	t.mu.named = map[Suspect]int{}
	t.mu.sound = newRecentTimes(soundCapacity)
	t.mu.blocks = map[blockID]*block{}
	t.mu.byFirst = map[Suspect][]*block{}
	return t
}

func (t *Tracker) now() time.Duration { return t.cfg.Clock.Now().Lower }

// Attempt is an attempt of this instance on a target. End must be called when it
// has ended.
type Attempt struct {
	t            *Tracker
	target, pool string
	attempt
	// responding is set once the parts of the prompt are acquitted.
	responding bool
}

// attempt is what instances tell each other about an attempt.
type attempt struct {
	id      uint64
	started time.Duration
	// suspects has the request first.
	suspects []Suspect
}

// crash is the loss of one target.
type crash struct {
	target, pool string
	at           time.Duration
	attempts     []attempt
	// own counts the attempts of this instance, which come first in attempts.
	own int
	// suspects are those of the attempts that are not acquitted.
	suspects map[Suspect]bool
}

// Begin records an attempt on a target. pool names the model or service, whose
// requests are compared with each other. Unless forced, it refuses a target that
// runs a co-suspect from an earlier crash: another crash there would not tell
// which of the two causes it.
func (t *Tracker) Begin(target, pool string, suspects []Suspect, force bool) (*Attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !force && t.runsCoSuspect(target, suspects[0]) {
		return nil, false
	}
	a := &Attempt{t: t, target: target, pool: pool, attempt: attempt{id: rand.Uint64(), started: t.now(), suspects: suspects}}
	if t.mu.running[target] == nil {
		t.mu.running[target] = map[uint64]*Attempt{}
	}
	t.mu.running[target][a.id] = a
	return a, true
}

// End records that the attempt has ended. A loss is reported before or after it.
func (a *Attempt) End() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	delete(a.t.mu.running[a.target], a.id)
	if len(a.t.mu.running[a.target]) == 0 {
		delete(a.t.mu.running, a.target)
	}
}

// Responding records that the target has written more than the beginning of a
// successful response, which acquits the parts of the prompt.
func (a *Attempt) Responding() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.acquitParts()
}

// Completed records a complete successful response, which acquits the request and
// the parts of its prompt.
func (a *Attempt) Completed() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.acquitParts()
	a.t.acquit(a.suspects[0], a.t.now())
}

func (a *Attempt) acquitParts() {
	if a.responding {
		return
	}
	a.responding = true
	now := a.t.now()
	a.t.mu.outcomes.add(outcome{at: now, pool: a.pool})
	for _, s := range a.suspects[1:] {
		a.t.acquit(s, now)
	}
}

// accused returns the attempt with the suspects that are not acquitted by it.
func (a *Attempt) accused() attempt {
	out := a.attempt
	if a.responding {
		out.suspects = out.suspects[:1]
	}
	return out
}

// Suspects returns the suspects of the attempt, the request first.
func (a *Attempt) Suspects() []Suspect { return a.suspects }

// Running returns the number of attempts of this instance that run on the target.
func (t *Tracker) Running(target string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.mu.running[target])
}

// TargetsToAvoid returns the targets on which Begin would refuse the request.
func (t *Tracker) TargetsToAvoid(request Suspect) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for target := range t.mu.running {
		if t.runsCoSuspect(target, request) {
			out = append(out, target)
		}
	}
	return out
}

func (t *Tracker) runsCoSuspect(target string, request Suspect) bool {
	if t.mu.named[request] == 0 {
		return false
	}
	for _, c := range t.mu.crashes {
		if !c.suspects[request] {
			continue
		}
		for _, other := range t.mu.running[target] {
			if s := other.suspects[0]; s != request && c.suspects[s] {
				return true
			}
		}
	}
	return false
}

// RecordLoss records that the target was lost during the attempt, and with it all
// attempts of this instance that run there.
func (t *Tracker) RecordLoss(a *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c := t.crashOf(a.target, a.pool, a.started, now)
	if !a.responding {
		t.mu.outcomes.add(outcome{at: now, pool: a.pool, lost: c, suspects: a.suspects})
	}
	t.addOwn(c, a)
	for _, other := range t.mu.running[a.target] {
		if other.started <= c.at+restartMargin {
			t.addOwn(c, other)
		}
	}
	t.mu.undecided = true
}

// crashOf returns the crash of a target at about the given time that an attempt
// with the given start was lost in, or adds one.
func (t *Tracker) crashOf(target, pool string, started, at time.Duration) *crash {
	t.expire()
	for _, c := range t.mu.crashes {
		if c.target == target && started <= c.at+restartMargin && at-c.at < crashWindow && c.at-at < crashWindow {
			return c
		}
	}
	if len(t.mu.crashes) >= maxCrashes {
		t.dropOldest()
	}
	c := &crash{target: target, pool: pool, at: at, suspects: map[Suspect]bool{}}
	t.mu.crashes = append(t.mu.crashes, c)
	return c
}

func (t *Tracker) expire() {
	if len(t.mu.crashes) == 0 {
		return // spares each request a reading of the clock
	}
	now := t.now()
	for len(t.mu.crashes) > 0 && now-t.mu.crashes[0].at > crashTTL {
		t.dropOldest()
	}
}

func (t *Tracker) dropOldest() {
	c := t.mu.crashes[0]
	t.mu.crashes = slices.Delete(t.mu.crashes, 0, 1)
	delete(t.mu.outbox.attempts, c)
	for s := range c.suspects {
		t.unname(c, s)
	}
}

func (t *Tracker) unname(c *crash, s Suspect) {
	delete(c.suspects, s)
	t.mu.size--
	if t.mu.named[s]--; t.mu.named[s] == 0 {
		delete(t.mu.named, s)
	}
}

// addOwn adds an attempt of this instance to a crash.
func (t *Tracker) addOwn(c *crash, a *Attempt) {
	if accused := a.accused(); t.add(c, accused) {
		last := len(c.attempts) - 1
		c.attempts[c.own], c.attempts[last] = c.attempts[last], c.attempts[c.own]
		c.own++
		t.mu.outbox.addCrash(c, accused)
	}
}

// add adds an attempt to a crash unless it is known.
func (t *Tracker) add(c *crash, a attempt) bool {
	if len(c.attempts) >= maxAttempts || slices.ContainsFunc(c.attempts, func(known attempt) bool { return known.id == a.id }) {
		return false
	}
	c.attempts = append(c.attempts, a)
	for _, s := range a.suspects {
		if at, ok := t.mu.sound.get(s); c.suspects[s] || ok && at >= c.at {
			continue
		}
		c.suspects[s] = true
		t.mu.named[s]++
		t.mu.size++
	}
	for t.mu.size > maxNamed && t.mu.crashes[0] != c {
		t.dropOldest()
	}
	return true
}

// acquit records that a target has answered a suspect.
func (t *Tracker) acquit(s Suspect, at time.Duration) {
	t.mu.sound.set(s, at)
	if t.mu.named[s] > 0 {
		for _, c := range t.mu.crashes {
			if c.suspects[s] && c.at <= at {
				t.unname(c, s)
			}
		}
	}
	t.acquitInBlocks(s, at)
}
