package idempotency

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Defaults of Config.
const (
	// Retention is how long a key is accepted after its issue time.
	Retention = 10 * time.Minute
	// skew allowed between the clocks of callers and of the instance.
	skew = time.Minute

	defaultRecords     = 65536
	defaultAnswerBytes = 64 << 10
	defaultTotalBytes  = 32 << 20
	// A team may fill a quarter of the records, so that one team's bookings do
	// not exclude all others.
	teamPart = 4
)

// Config of a Store. Zero bounds take the defaults.
type Config struct {
	Instance    string
	Incarnation uint64
	Clock       clock.Clock
	// Start is the wall clock when the store is made. Later times are Start
	// plus elapsed time, because a wall clock that steps back would make keys
	// acceptable again whose records are gone.
	Start time.Time

	MaxRecords       int
	MaxResponseBytes int64
	MaxTotalBytes    int64
}

// Digest identifies the content of a request.
type Digest [32]byte

// Response is a stored answer.
type Response struct {
	Status int
	Header http.Header
	Target string
	Body   []byte
}

type state int

const (
	running state = iota
	finished
	unknown
)

type recordID struct{ team, key string }

type record struct {
	id      recordID
	digest  Digest
	state   state
	answer  *Response
	expires time.Time
	element *list.Element // in the list of stored answers
}

// Store holds the records of one incarnation.
type Store struct {
	cfg   Config
	begun time.Duration
	mu    struct {
		sync.Mutex
		records map[recordID]*record
		byTeam  map[string]int
		answers *list.List // of *record, oldest first
		bytes   int64
		swept   time.Time
	}
}

// New returns an empty Store.
func New(cfg Config) *Store {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = defaultRecords
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultAnswerBytes
	}
	if cfg.MaxTotalBytes == 0 {
		cfg.MaxTotalBytes = defaultTotalBytes
	}
	s := &Store{cfg: cfg, begun: cfg.Clock.Now().Lower}
	s.mu.records = map[recordID]*record{}
	s.mu.byTeam = map[string]int{}
	s.mu.answers = list.New()
	return s
}

// Owns reports whether this incarnation decides about k.
func (s *Store) Owns(k Key) bool {
	return k.Instance == s.cfg.Instance && k.Incarnation == s.cfg.Incarnation
}

// MaxResponseBytes is the largest answer that is stored, in bytes.
func (s *Store) MaxResponseBytes() int64 { return s.cfg.MaxResponseBytes }

func (s *Store) now() time.Time {
	return s.cfg.Start.Add(s.cfg.Clock.Now().Lower - s.begun)
}

// Claim is the right to run the request of a record.
type Claim struct {
	s *Store
	r *record
}

// Begin makes the record of a request before it is dispatched. It returns
// either a claim, which Finish, Unknown or Release must end, or the answer of the earlier run, or an error: KeyInUse while the
// request runs or if the content differs, OutcomeUnknown if it may have run,
// BadIdempotencyKey for a key from the future.
func (s *Store) Begin(team string, k Key, d Digest) (*Claim, *Response, error) {
	if !s.Owns(k) {
		return nil, nil, result.New(result.OutcomeUnknown, result.MayHaveRun, "the instance named in the idempotency key is gone")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(k.Issued) > Retention {
		return nil, nil, result.New(result.OutcomeUnknown, result.MayHaveRun, "the idempotency key is older than %s", Retention)
	}
	// A key from the future would outlive its record.
	if k.Issued.Sub(now) > skew {
		return nil, nil, result.New(result.BadIdempotencyKey, result.NotRun, "the issue time of the idempotency key is in the future")
	}
	s.sweep(now)
	id := recordID{team, k.String()}
	if r := s.mu.records[id]; r != nil {
		return nil, r.answer, r.decide(d)
	}
	if len(s.mu.records) >= s.cfg.MaxRecords || s.mu.byTeam[team] >= max(1, s.cfg.MaxRecords/teamPart) {
		return nil, nil, result.New(result.MemoryBound, result.NotRun, "too many idempotency keys are in use")
	}
	r := &record{id: id, digest: d, expires: k.Issued.Add(Retention + skew)}
	if least := now.Add(Retention); r.expires.Before(least) {
		r.expires = least
	}
	s.mu.records[id] = r
	s.mu.byTeam[team]++
	return &Claim{s, r}, nil, nil
}

func (r *record) decide(d Digest) error {
	switch {
	case r.digest != d:
		return result.New(result.KeyInUse, result.NotRun, "the idempotency key belongs to another request")
	case r.state == running:
		return result.New(result.KeyInUse, result.MayHaveRun, "the request with this idempotency key is still running")
	case r.state == unknown || r.answer == nil:
		return result.New(result.OutcomeUnknown, result.MayHaveRun, "the request with this idempotency key may have run")
	}
	return nil
}

// Finish stores the answer. An answer over the bound is not stored; a resend
// then gets OutcomeUnknown.
func (c *Claim) Finish(a *Response) {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	c.r.state = finished
	c.r.expires = latest(c.r.expires, s.now().Add(Retention))
	if a == nil || a.size() > s.cfg.MaxResponseBytes {
		return
	}
	c.r.answer = a
	c.r.element = s.mu.answers.PushBack(c.r)
	s.mu.bytes += a.size()
	for s.mu.bytes > s.cfg.MaxTotalBytes {
		s.dropAnswer(s.mu.answers.Front().Value.(*record))
	}
}

// MarkUnknown states that the request may have run and has no answer. It changes
// nothing after Finish or Release.
func (c *Claim) MarkUnknown() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.r.state == running {
		c.r.state = unknown
	}
}

// Release states that the request has provably not run; it may be sent again.
func (c *Claim) Release() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.remove(c.r)
}

// Size returns the number of records and the bytes of stored answers.
func (s *Store) Size() (records int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.mu.records), s.mu.bytes
}

// sweep removes expired records, at most once a second of the store's clock
// because it visits all of them. A running request keeps its record.
func (s *Store) sweep(now time.Time) {
	if now.Sub(s.mu.swept) < time.Second {
		return
	}
	s.mu.swept = now
	for _, r := range s.mu.records {
		if r.state != running && now.After(r.expires) {
			s.remove(r)
		}
	}
}

func (s *Store) remove(r *record) {
	if s.mu.records[r.id] != r {
		return
	}
	s.dropAnswer(r)
	delete(s.mu.records, r.id)
	if s.mu.byTeam[r.id.team]--; s.mu.byTeam[r.id.team] == 0 {
		delete(s.mu.byTeam, r.id.team)
	}
}

func (s *Store) dropAnswer(r *record) {
	if r.element == nil {
		return
	}
	s.mu.answers.Remove(r.element)
	s.mu.bytes -= r.answer.size()
	r.element, r.answer = nil, nil
}

func (a *Response) size() int64 {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
