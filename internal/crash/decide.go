package crash

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRequestCrashes and minPartCrashes are the least crashes after which a
	// request, or a part of prompts, is blocked.
	minRequestCrashes = 2
	minPartCrashes    = 3
	// jointWindow is the time within which several targets may crash for one reason,
	// such as the loss of a failure domain. Their crashes count as one, except for
	// a request that no target has ever answered.
	jointWindow = 100 * time.Millisecond
	// decideWindow is the time after a crash in which its suspects are weighed.
	decideWindow = time.Minute
	// decideInterval is the time between two decisions without new crashes.
	decideInterval = time.Second
	// minAnswered is the least number of other attempts that were answered since
	// the first crash before a part is blocked: without them the crashes may have a
	// cause outside the prompts.
	minAnswered = 3
	// newFalseBlock and knownFalseBlock bound the probability that a suspect is lost
	// in as many crashes as it takes to block it if it is lost only as often as
	// others. The latter is for suspects that a target has ever answered.
	newFalseBlock   = 1e-4
	knownFalseBlock = 1e-8
	// outcomeWindow is the time before the first crash from which outcomes count, too.
	outcomeWindow = 30 * time.Second
	// maxOutcomes is the number of attempts whose outcomes are remembered.
	maxOutcomes = 1024
)

// outcome is how an attempt ended, or that it got so far that the parts of its
// prompt are acquitted.
type outcome struct {
	at   time.Duration
	pool string
	lost *crash // nil if the attempt was answered
	// suspects are those of an attempt that was lost.
	suspects []Suspect
}

// outcomes is a ring of the last maxOutcomes outcomes.
type outcomes struct {
	ring []outcome
	next int
}

func (o *outcomes) add(x outcome) {
	if len(o.ring) < maxOutcomes {
		o.ring = append(o.ring, x)
		return
	}
	o.ring[o.next] = x
	o.next = (o.next + 1) % maxOutcomes
}

// tally counts attempts by how they ended.
type tally struct{ lost, answered int }

func (y *tally) add(lost bool) {
	if lost {
		y.lost++
	} else {
		y.answered++
	}
}

// count counts the other attempts since the given time, and those since
// outcomeWindow before it, without losses in crashes that are explained. For a part
// these are the attempts without it; for a request, which has few attempts, those in
// crashes that do not name it.
func (o *outcomes) count(pool string, s Suspect, since time.Duration, explained func(*crash) bool) (recent, all tally) {
	for _, x := range o.ring {
		if x.pool != pool || x.at <= since-outcomeWindow {
			continue
		}
		if x.lost != nil {
			other := s.Part && !slices.Contains(x.suspects, s) || !s.Part && !x.lost.suspects[s]
			if !other || explained(x.lost) {
				continue
			}
		}
		all.add(x.lost != nil)
		if x.at > since {
			recent.add(x.lost != nil)
		}
	}
	return recent, all
}

// crashesNeeded returns the number of crashes since the given time after which s is
// blocked.
func (t *Tracker) crashesNeeded(pool string, s Suspect, since time.Duration) int {
	itself := []Suspect{s}
	// Losses in one crash mostly follow each other.
	var last *crash
	lastExplained := false
	recent, all := t.mu.outcomes.count(pool, s, since, func(c *crash) bool {
		if c != last {
			last, lastExplained = c, t.explained(c, itself, 0)
		}
		return lastExplained
	})
	least := minRequestCrashes
	if s.Part {
		if recent.answered < minAnswered {
			return math.MaxInt
		}
		least = minPartCrashes
	}
	lossRate, falseBlock := 0.0, newFalseBlock
	_, known := t.mu.sound.get(s)
	if known {
		falseBlock = knownFalseBlock
	}
	if s.Part || known {
		lossRate = max(float64(recent.lost+1)/float64(recent.lost+recent.answered+2), float64(all.lost)/float64(max(all.lost+all.answered, 1)))
	} else if recent.lost > 0 {
		lossRate = float64(recent.lost) / float64(recent.lost+recent.answered)
	}
	switch lossRate {
	case 0:
		return least
	case 1:
		return math.MaxInt
	}
	return max(least, int(math.Ceil(math.Log(falseBlock)/math.Log(lossRate))))
}

// Suspected reports whether a part of the prompt was lost in as many crashes as may
// lead to a block, and was not answered since: another attempt of a request that was
// just lost is likely to crash another target.
func (t *Tracker) Suspected(request []Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(request, func(s Suspect) bool { return s.Part && t.mu.named[s] >= minPartCrashes })
}

// cause returns what the crashes that name s have in common, and their number, if
// that is enough to block requests that have all of it; otherwise nil. This instance
// must have lost s itself: it then has asked the others what they acquit.
func (t *Tracker) cause(s Suspect) (common []Suspect, crashes int) {
	if t.mu.named[s] < minRequestCrashes || s.Part && t.mu.named[s] < minPartCrashes {
		return nil, 0
	}
	naming := t.crashesNaming([]Suspect{s})
	if !slices.ContainsFunc(naming, func(c *crash) bool { return c.lostHere(s) }) ||
		t.independent(s, naming) < t.crashesNeeded(naming[len(naming)-1].pool, s, naming[0].at) {
		return nil, 0
	}
	return commonSuspects(naming), len(naming)
}

// independent returns how many of the crashes, which must be sorted by time, count
// for s: those that may have had one reason count once, unless an attempt with s
// began between them.
func (t *Tracker) independent(s Suspect, crashes []*crash) int {
	if _, sound := t.mu.sound.get(s); !s.Part && !sound {
		return len(crashes)
	}
	n, last := 0, time.Duration(0)
	for _, c := range crashes {
		if n == 0 || c.at-last >= jointWindow || c.beganSince(s, last) {
			n, last = n+1, c.at
		}
	}
	return n
}

// crashesNaming returns the crashes that name all suspects, without those that a
// block of others explains, sorted by time.
func (t *Tracker) crashesNaming(suspects []Suspect) []*crash {
	var out []*crash
	for _, c := range t.mu.crashes {
		if c.names(suspects) && !t.explained(c, suspects, 0) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	return out
}

// lostHere reports whether an attempt of this instance with s was lost in the crash.
func (c *crash) lostHere(s Suspect) bool {
	return slices.ContainsFunc(c.attempts[:c.own], func(a attempt) bool { return slices.Contains(a.suspects, s) })
}

// beganSince reports whether an attempt with s began after the given time.
func (c *crash) beganSince(s Suspect, since time.Duration) bool {
	return slices.ContainsFunc(c.attempts, func(a attempt) bool { return a.started > since && slices.Contains(a.suspects, s) })
}

func (c *crash) names(suspects []Suspect) bool {
	for _, s := range suspects {
		if !c.suspects[s] {
			return false
		}
	}
	return true
}

// explained reports whether a block in force that rests on more than the given
// number of crashes, and has none of the suspects, explains the crash.
func (t *Tracker) explained(c *crash, suspects []Suspect, crashes int) bool {
	explains := func(b *block) bool {
		return b.crashes > crashes && c.names(b.suspects) && !b.hasAny(suspects) && b.inForce(t.now())
	}
	if len(c.suspects) < len(t.mu.byFirst) {
		for s := range c.suspects {
			if slices.ContainsFunc(t.mu.byFirst[s], explains) {
				return true
			}
		}
		return false
	}
	for s, blocks := range t.mu.byFirst {
		if c.suspects[s] && slices.ContainsFunc(blocks, explains) {
			return true
		}
	}
	return false
}

// commonSuspects returns the suspects that all crashes name, sorted.
func commonSuspects(crashes []*crash) []Suspect {
	var out []Suspect
	for s := range crashes[0].suspects {
		inAll := true
		for _, c := range crashes[1:] {
			inAll = inAll && c.suspects[s]
		}
		if inAll {
			out = append(out, s)
		}
	}
	sortSuspects(out)
	return out
}

// Blocked returns the suspects for which a request must not be sent to any target,
// or nil if it may be sent.
func (t *Tracker) Blocked(request []Suspect) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	for _, s := range request {
		for _, b := range t.mu.byFirst[s] {
			if b.inForce(t.now()) && includes(request, b.suspects) && !t.hasRival(b, request) {
				return b.suspects
			}
		}
		if common, _ := t.cause(s); common != nil && includes(request, common) {
			return common
		}
	}
	return nil
}

// hasRival reports whether this instance knows as many crashes as a block rests on
// and they have something else in common that the request does not have: whoever
// issued the block did not know that it was there.
func (t *Tracker) hasRival(b *block, request []Suspect) bool {
	var naming []*crash
	for _, c := range t.mu.crashes {
		if c.names(b.suspects) {
			naming = append(naming, c)
		}
	}
	return len(naming) >= b.crashes && !includes(request, commonSuspects(naming))
}

// Decide issues the blocks that follow from crashes in which this instance lost
// attempts, and revokes blocks whose crashes other blocks explain. It is called
// when other instances had time to name their attempts and to acquit suspects.
func (t *Tracker) Decide() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide()
}

func (t *Tracker) decide() {
	now := t.now()
	if !t.mu.undecided && (len(t.mu.crashes) == 0 || now-t.mu.lastDecision < decideInterval) {
		return
	}
	t.mu.undecided, t.mu.lastDecision = false, now
	weighed := map[Suspect]bool{}
	for _, c := range t.mu.crashes {
		if now-c.at > decideWindow {
			continue
		}
		for _, a := range c.attempts[:c.own] {
			for _, s := range a.suspects {
				if weighed[s] || !c.suspects[s] {
					continue
				}
				weighed[s] = true
				if common, crashes := t.cause(s); common != nil && t.lostTogether(common) {
					t.issue(common, crashes)
				}
			}
		}
	}
	for _, b := range t.mu.blocks {
		if b.own && b.inForce(t.now()) && t.explainedByOthers(b) {
			t.revoke(b)
		}
	}
}

// lostTogether reports whether an attempt that was lost here had all suspects.
func (t *Tracker) lostTogether(suspects []Suspect) bool {
	for _, c := range t.mu.crashes {
		if c.names(suspects) && slices.ContainsFunc(c.attempts[:c.own], func(a attempt) bool { return includes(a.suspects, suspects) }) {
			return true
		}
	}
	return false
}

// explainedByOthers reports whether all crashes that name the suspects of a block
// are explained by blocks that rest on more crashes.
func (t *Tracker) explainedByOthers(b *block) bool {
	named := false
	for _, c := range t.mu.crashes {
		if !c.names(b.suspects) {
			continue
		}
		if named = true; !t.explained(c, b.suspects, b.crashes) {
			return false
		}
	}
	return named
}
