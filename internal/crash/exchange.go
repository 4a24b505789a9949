package crash

import (
	"bytes"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// Bounds of one message to a peer.
const (
	maxNewsSuspects = 512
	// maxNextSuspects is for messages that are sent all the time.
	maxNextSuspects = 64
	maxNewsSound    = 512
)

// outbox holds what this instance has not yet told the others.
type outbox struct {
	attempts map[*crash][]attempt
	blocks   []*block
}

func (o *outbox) addCrash(c *crash, a attempt) {
	if o.attempts == nil {
		o.attempts = map[*crash][]attempt{}
	}
	o.attempts[c] = append(o.attempts[c], a)
}

// Outgoing returns what this instance has lost and decided since the last call, at
// most one message, or nil if that is nothing.
func (t *Tracker) Outgoing() *peerv1.CrashNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := &peerv1.CrashNews{}
	size := 0
	for c, attempts := range t.mu.outbox.attempts {
		if size > maxNewsSuspects {
			break
		}
		report := t.report(c, attempts)
		news.Crashes = append(news.Crashes, report)
		size += suspectCount(report)
		delete(t.mu.outbox.attempts, c)
	}
	for _, b := range t.mu.outbox.blocks {
		news.Blocks = append(news.Blocks, t.blockMessage(b))
		if !b.inForce(t.now()) {
			news.Sound = t.appendSoundOf(news.Sound, b.suspects)
		}
	}
	t.mu.outbox.blocks = nil
	if len(news.Crashes)+len(news.Blocks) == 0 {
		return nil
	}
	return news
}

// HasOutgoing reports whether Outgoing would return a message.
func (t *Tracker) HasOutgoing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.mu.outbox.attempts)+len(t.mu.outbox.blocks) > 0
}

// Next returns news for a peer; successive calls cycle through all crashes.
func (t *Tracker) Next() *peerv1.CrashNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	t.decide()
	t.mu.outbox = outbox{} // covered by what follows
	news := &peerv1.CrashNews{Blocks: t.blockMessages(), Sound: t.soundInRevoked()}
	size := 0
	for n := len(t.mu.crashes); n > 0; n-- {
		if t.mu.nextReport >= len(t.mu.crashes) {
			t.mu.nextReport = 0
		}
		c := t.mu.crashes[t.mu.nextReport]
		if size > 0 && size+len(c.suspects) > maxNextSuspects {
			break
		}
		t.mu.nextReport++
		report := t.report(c, c.attempts)
		size += suspectCount(report)
		news.Crashes = append(news.Crashes, report)
		news.Sound = t.appendSound(news.Sound, report)
	}
	return news
}

// ReportsFor returns the crashes that name a suspect, because only the others in
// them tell whether it is the cause.
func (t *Tracker) ReportsFor(s Suspect) *peerv1.CrashNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	t.decide()
	news := &peerv1.CrashNews{Blocks: t.blockMessages()}
	size := 0
	for _, c := range t.mu.crashes {
		if c.suspects[s] && size+len(c.suspects) <= maxNewsSuspects {
			report := t.report(c, c.attempts)
			size += suspectCount(report)
			news.Crashes = append(news.Crashes, report)
		}
	}
	return news
}

// BlockNews returns all blocks that this instance knows, also revoked ones.
func (t *Tracker) BlockNews() *peerv1.CrashNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireBlocks()
	return &peerv1.CrashNews{Blocks: t.blockMessages(), Sound: t.soundInRevoked()}
}

// soundInRevoked returns the acquitted suspects in revoked blocks, so that the
// crashes which led to the blocks do not lead to them again elsewhere.
func (t *Tracker) soundInRevoked() (out []*peerv1.SoundSuspect) {
	for _, b := range t.mu.blocks {
		if !b.inForce(t.now()) {
			out = t.appendSoundOf(out, b.suspects)
		}
	}
	return out
}

// appendSoundOf adds those of the suspects that were acquitted here.
func (t *Tracker) appendSoundOf(out []*peerv1.SoundSuspect, suspects []Suspect) []*peerv1.SoundSuspect {
	for _, s := range suspects {
		if at, ok := t.mu.sound.get(s); ok && len(out) < maxNewsSound {
			out = append(out, &peerv1.SoundSuspect{Fingerprint: bytes.Clone(s.Fingerprint[:]), Part: s.Part, AgeMs: ageMs(t.now(), at)})
		}
	}
	return out
}

// Merge adds the news of a peer and returns what this instance knows about the
// crashes and suspects in them: its own attempts at the lost targets, and when a
// suspect was acquitted here. Whatever is known already changes nothing, so news
// that come back to their sender are harmless.
func (t *Tracker) Merge(news *peerv1.CrashNews) (reply *peerv1.CrashNews) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	reply = &peerv1.CrashNews{}
	size := 0
	for _, report := range news.GetCrashes() {
		if size += suspectCount(report); size > 2*maxNewsSuspects || report.GetTarget() == "" {
			break
		}
		t.mergeCrash(report, now, reply)
	}
	for _, b := range news.GetBlocks()[:min(len(news.GetBlocks()), maxBlocks)] {
		t.mergeBlock(b, now)
	}
	for _, s := range news.GetSound()[:min(len(news.GetSound()), maxNewsSound)] {
		if f, ok := parseFingerprint(s.GetFingerprint()); ok {
			t.acquit(Suspect{Part: s.GetPart(), Fingerprint: f}, now-milliseconds(s.GetAgeMs()))
		}
	}
	return reply
}

func (t *Tracker) mergeCrash(report *peerv1.Crash, now time.Duration, reply *peerv1.CrashNews) {
	at := now - milliseconds(report.GetAgeMs())
	if now-at > crashTTL {
		return
	}
	target := report.GetTarget()
	var c *crash
	for _, m := range report.GetAttempts() {
		a, ok := parseAttempt(m, now)
		if !ok {
			continue
		}
		if c = t.crashOf(target, report.GetPool(), a.started, at); t.add(c, a) {
			t.mu.undecided = true
		}
	}
	if c == nil {
		return
	}
	for _, own := range t.mu.running[target] {
		if own.started <= c.at+restartMargin {
			t.addOwn(c, own)
		}
	}
	if c.own > 0 {
		reply.Crashes = append(reply.Crashes, t.report(c, c.attempts[:c.own]))
	}
	reply.Sound = t.appendSound(reply.Sound, report)
}

// report returns the report of a crash with some of its attempts, without what was
// acquitted since.
func (t *Tracker) report(c *crash, attempts []attempt) *peerv1.Crash {
	now := t.now()
	out := &peerv1.Crash{Target: c.target, Pool: c.pool, AgeMs: ageMs(now, c.at)}
	for _, a := range attempts {
		m := &peerv1.CrashAttempt{Id: a.id, AgeMs: ageMs(now, a.started)}
		for _, s := range a.suspects {
			switch {
			case !c.suspects[s]:
			case s.Part:
				m.Parts = append(m.Parts, bytes.Clone(s.Fingerprint[:]))
			default:
				m.Request = bytes.Clone(s.Fingerprint[:])
			}
		}
		out.Attempts = append(out.Attempts, m)
	}
	return out
}

// appendSound adds the suspects of a report that were acquitted here.
func (t *Tracker) appendSound(out []*peerv1.SoundSuspect, report *peerv1.Crash) []*peerv1.SoundSuspect {
	for _, m := range report.GetAttempts() {
		if a, ok := parseAttempt(m, t.now()); ok {
			out = t.appendSoundOf(out, a.suspects)
		}
	}
	return out
}

func (t *Tracker) blockMessages() []*peerv1.CrashBlock {
	out := make([]*peerv1.CrashBlock, 0, len(t.mu.blocks))
	for _, b := range t.mu.blocks {
		out = append(out, t.blockMessage(b))
	}
	return out
}

func (t *Tracker) blockMessage(b *block) *peerv1.CrashBlock {
	out := &peerv1.CrashBlock{Version: b.version, RemainingMs: ageMs(b.expires, t.now()), Crashes: uint32(b.crashes)}
	for _, s := range b.suspects {
		if s.Part {
			out.Parts = append(out.Parts, bytes.Clone(s.Fingerprint[:]))
		} else {
			out.Request = bytes.Clone(s.Fingerprint[:])
		}
	}
	return out
}

// mergeBlock takes a block of a peer if it is newer than the one known here. A
// block ends when the first instance that knows it lets it end.
func (t *Tracker) mergeBlock(m *peerv1.CrashBlock, now time.Duration) {
	suspects, ok := parseBlockSuspects(m)
	remaining := min(milliseconds(m.GetRemainingMs()), blockTTL)
	if !ok || remaining < minRemaining || m.GetVersion() == 0 {
		return
	}
	b := &block{id: idOf(suspects), suspects: suspects, version: m.GetVersion(), expires: now + remaining, crashes: int(m.GetCrashes())}
	known := t.mu.blocks[b.id]
	if known != nil && known.version == b.version {
		known.expires = min(known.expires, b.expires)
	}
	if known != nil && known.version >= b.version {
		return
	}
	t.put(b, false)
	for _, s := range suspects {
		if at, ok := t.mu.sound.get(s); ok {
			t.shrink(b, s, at)
		}
	}
}

func parseBlockSuspects(m *peerv1.CrashBlock) ([]Suspect, bool) {
	var out []Suspect
	if len(m.GetParts()) > MaxParts || len(m.GetParts()) == 0 && len(m.GetRequest()) == 0 {
		return nil, false
	}
	for _, b := range m.GetParts() {
		f, ok := parseFingerprint(b)
		if !ok {
			return nil, false
		}
		out = append(out, Suspect{Part: true, Fingerprint: f})
	}
	if len(m.GetRequest()) > 0 {
		f, ok := parseFingerprint(m.GetRequest())
		if !ok {
			return nil, false
		}
		out = append(out, Suspect{Fingerprint: f})
	}
	sortSuspects(out)
	return slices.Compact(out), true
}

// parseAttempt decodes an attempt of a peer; its request may be acquitted.
func parseAttempt(m *peerv1.CrashAttempt, now time.Duration) (attempt, bool) {
	a := attempt{id: m.GetId(), started: now - milliseconds(m.GetAgeMs())}
	if f, ok := parseFingerprint(m.GetRequest()); ok {
		a.suspects = append(a.suspects, Suspect{Fingerprint: f})
	}
	for _, b := range m.GetParts()[:min(len(m.GetParts()), MaxParts)] {
		if f, ok := parseFingerprint(b); ok {
			a.suspects = append(a.suspects, Suspect{Part: true, Fingerprint: f})
		}
	}
	return a, len(a.suspects) > 0
}

func parseFingerprint(b []byte) (Fingerprint, bool) {
	if len(b) != len(Fingerprint{}) {
		return Fingerprint{}, false
	}
	return Fingerprint(b), true
}

func suspectCount(report *peerv1.Crash) int {
	n := 0
	for _, a := range report.GetAttempts() {
		n += 1 + len(a.GetParts())
	}
	return n
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// ageMs returns the time from at to now in milliseconds, 0 if at is later.
func ageMs(now, at time.Duration) uint32 { return uint32(max(now-at, 0).Milliseconds()) }
