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
	// maxClockSkew is the allowed difference between the clocks of callers and
	// of the instance.
	maxClockSkew = time.Minute

	defaultMaxRecords       = 65536
	defaultMaxResponseBytes = 64 << 10
	defaultMaxTotalBytes    = 32 << 20
	// A team may use a quarter of the records, so that one team's bookings do
	// not exclude all others.
	teamRecordsDivisor = 4
)

// Config configures a Store. Zero limits take the defaults.
type Config struct {
	Instance    string
	Incarnation uint64
	Clock       clock.Clock
	// Start is the wall-clock time at which the store is created. Later times
	// are Start plus elapsed time: if the wall clock stepped back, keys whose
	// records are already removed would be accepted again.
	Start time.Time

	MaxRecords       int
	MaxResponseBytes int64
	MaxTotalBytes    int64
}

// Digest identifies the content of a request.
type Digest [32]byte

// Response is the stored response of a finished request.
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
	id       recordID
	digest   Digest
	state    state
	response *Response
	expires  time.Time
	element  *list.Element // in the list of stored responses
}

// Store holds the records of one incarnation.
type Store struct {
	cfg          Config
	startReading time.Duration
	mu           struct {
		sync.Mutex
		records   map[recordID]*record
		byTeam    map[string]int
		responses *list.List // of *record, oldest first
		bytes     int64
		lastSweep time.Time
	}
}

// New returns an empty Store.
func New(cfg Config) *Store {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultMaxResponseBytes
	}
	if cfg.MaxTotalBytes == 0 {
		cfg.MaxTotalBytes = defaultMaxTotalBytes
	}
	s := &Store{cfg: cfg, startReading: cfg.Clock.Now().Lower}
	s.mu.records = map[recordID]*record{}
	s.mu.byTeam = map[string]int{}
	s.mu.responses = list.New()
	return s
}

// Owns reports whether k names the instance and incarnation of this store, so
// that only this store may decide about k.
func (s *Store) Owns(k Key) bool {
	return k.Instance == s.cfg.Instance && k.Incarnation == s.cfg.Incarnation
}

// MaxResponseBytes returns the size of the largest response that is stored, in
// bytes.
func (s *Store) MaxResponseBytes() int64 { return s.cfg.MaxResponseBytes }

func (s *Store) now() time.Time {
	return s.cfg.Start.Add(s.cfg.Clock.Now().Lower - s.startReading)
}

// Claim is the exclusive right to run the request of a record.
type Claim struct {
	s *Store
	r *record
}

// Begin creates the record of a request before it is dispatched. It returns
// either a claim, which Finish, MarkUnknown or Release must end, or the response
// of the earlier run, or an error: IdempotencyKeyInUse while the request runs or
// if the content differs, OutcomeUnknown if it may have run, BadIdempotencyKey for
// a key from the future, MemoryLimitReached if there is no room for another record.
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
	// A key from the future could still be accepted after its record is gone.
	if k.Issued.Sub(now) > maxClockSkew {
		return nil, nil, result.New(result.BadIdempotencyKey, result.NotRun, "the issue time of the idempotency key is in the future")
	}
	s.sweep(now)
	id := recordID{team, k.String()}
	if r := s.mu.records[id]; r != nil {
		return nil, r.response, r.resendError(d)
	}
	if len(s.mu.records) >= s.cfg.MaxRecords || s.mu.byTeam[team] >= max(1, s.cfg.MaxRecords/teamRecordsDivisor) {
		return nil, nil, result.New(result.MemoryLimitReached, result.NotRun, "too many idempotency keys are in use")
	}
	r := &record{id: id, digest: d, expires: k.Issued.Add(Retention + maxClockSkew)}
	if earliest := now.Add(Retention); r.expires.Before(earliest) {
		r.expires = earliest
	}
	s.mu.records[id] = r
	s.mu.byTeam[team]++
	return &Claim{s, r}, nil, nil
}

func (r *record) resendError(d Digest) error {
	switch {
	case r.digest != d:
		return result.New(result.IdempotencyKeyInUse, result.NotRun, "the idempotency key belongs to another request")
	case r.state == running:
		return result.New(result.IdempotencyKeyInUse, result.MayHaveRun, "the request with this idempotency key is still running")
	case r.state == unknown || r.response == nil:
		return result.New(result.OutcomeUnknown, result.MayHaveRun, "the request with this idempotency key may have run")
	}
	return nil
}

// Finish marks the request as finished and stores its response. A nil response
// or one larger than MaxResponseBytes is not stored; a resend then gets
// OutcomeUnknown. If all stored responses exceed MaxTotalBytes, the oldest are
// dropped.
func (c *Claim) Finish(resp *Response) {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	c.r.state = finished
	c.r.expires = latest(c.r.expires, s.now().Add(Retention))
	if resp == nil || resp.size() > s.cfg.MaxResponseBytes {
		return
	}
	c.r.response = resp
	c.r.element = s.mu.responses.PushBack(c.r)
	s.mu.bytes += resp.size()
	for s.mu.bytes > s.cfg.MaxTotalBytes {
		s.dropResponse(s.mu.responses.Front().Value.(*record))
	}
}

// MarkUnknown records that the request may have run and has no response. It has
// no effect after Finish or Release.
func (c *Claim) MarkUnknown() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.r.state == running {
		c.r.state = unknown
	}
}

// Release removes the record because the request has certainly not run; it may
// be sent again.
func (c *Claim) Release() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.remove(c.r)
}

// Size returns the number of records and the size of the stored responses in
// bytes.
func (s *Store) Size() (records int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.mu.records), s.mu.bytes
}

// sweep removes expired records, at most once a second of the store's clock
// because it visits all of them. A running request keeps its record.
func (s *Store) sweep(now time.Time) {
	if now.Sub(s.mu.lastSweep) < time.Second {
		return
	}
	s.mu.lastSweep = now
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
	s.dropResponse(r)
	delete(s.mu.records, r.id)
	if s.mu.byTeam[r.id.team]--; s.mu.byTeam[r.id.team] == 0 {
		delete(s.mu.byTeam, r.id.team)
	}
}

func (s *Store) dropResponse(r *record) {
	if r.element == nil {
		return
	}
	s.mu.responses.Remove(r.element)
	s.mu.bytes -= r.response.size()
	r.element, r.response = nil, nil
}

func (r *Response) size() int64 {
	n := len(r.Body)
	for name, values := range r.Header {
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
