package configversion

import (
	"bytes"
	"crypto/sha256"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// maxHistory is the number of earlier versions that are kept, to send peers
	// only the changed sections. At 2,200 edits a day they cover about two
	// minutes; a peer that is further behind gets the whole text.
	maxHistory = 3
	// maxOffers bounds the peers remembered as sources of a newer version.
	maxOffers = 4
	// probeDigestBytes is the length of the digest prefix that probes carry.
	probeDigestBytes = 8
)

// Version is one published version of a named value: its revision, its text and
// the SHA-256 digest of the text.
type Version struct {
	Revision int64
	Digest   [sha256.Size]byte
	Body     []byte
}

// NewVersion returns a Version with the digest of body.
func NewVersion(revision int64, body []byte) Version {
	return Version{revision, sha256.Sum256(body), body}
}

// Verdict is the outcome of an offered version.
type Verdict int

// Outcomes of an offered version.
const (
	Accepted Verdict = iota + 1
	Same             // already current
	Older            // a higher revision is current
	Conflict         // same revision as the current version, other digest
	Rejected         // invalid
)

// VersionState holds the current version of one named value and decides which
// versions replace it. It does no I/O and is not safe for concurrent use.
type VersionState struct {
	current  Version
	history  []previousVersion // most recent first
	rejected Version           // invalid version with the highest revision, without its body
	offers   []offer
	conflict int64 // revision of the last reported conflict
}

type offer struct {
	address  string
	revision int64
	failures int
}

// previousVersion is a version that was current earlier, with its difference from
// the current one once a peer has asked for it. Computing the difference takes
// about 25 ms for a configuration of 0.6 MB.
type previousVersion struct {
	Version
	diffed  bool
	changes []*peerv1.SectionChange // nil if the whole text is to be sent
}

// Current returns the current version; Revision is 0 if there is none.
func (s *VersionState) Current() Version { return s.current }

// HighestRevision returns the highest revision accepted or rejected so far. Only
// higher revisions are requested from the service, so that a rejected version is
// not requested again.
func (s *VersionState) HighestRevision() int64 { return max(s.current.Revision, s.rejected.Revision) }

// Check returns the outcome of v before it is parsed; Accepted means that v
// replaces the current version if it is valid.
func (s *VersionState) Check(v Version) Verdict {
	switch {
	case v.Revision < s.current.Revision || v.Revision <= 0:
		return Older
	case v.Revision > s.current.Revision:
		return Accepted
	case v.Digest == s.current.Digest:
		return Same
	}
	return Conflict
}

// Accept makes v, which Check accepted and which is valid, the current version.
func (s *VersionState) Accept(v Version) {
	if s.current.Revision > 0 {
		s.history = append([]previousVersion{{Version: s.current}}, s.history...)
		s.history = s.history[:min(len(s.history), maxHistory)]
	}
	for i := range s.history {
		s.history[i].diffed, s.history[i].changes = false, nil
	}
	s.current = v
	s.dropOffers(v.Revision)
}

// Reject records that v is invalid.
func (s *VersionState) Reject(v Version) {
	if v.Revision >= s.rejected.Revision {
		s.rejected = Version{Revision: v.Revision, Digest: v.Digest}
	}
	s.dropOffers(v.Revision)
}

// dropOffers removes the offers up to and including a revision.
func (s *VersionState) dropOffers(revision int64) {
	kept := s.offers[:0]
	for _, o := range s.offers {
		if o.revision > revision {
			kept = append(kept, o)
		}
	}
	s.offers = kept
}

// ProbeID returns the ID of the current version that probes carry; nil without a
// version.
func (s *VersionState) ProbeID() *peerv1.EditionID {
	if s.current.Revision == 0 {
		return nil
	}
	return &peerv1.EditionID{Revision: s.current.Revision, Digest: bytes.Clone(s.current.Digest[:probeDigestBytes])}
}

// Relation tells how an offered ID relates to the current version.
type Relation int

// Relations of an offered ID to the current version.
const (
	Ignored     Relation = iota // invalid, rejected earlier, or a conflict reported already
	Newer                       // to be fetched
	Equal                       // confirms the current version
	PeerBehind                  // the peer has an older version and should fetch
	Conflicting                 // same revision, other digest; returned once per revision
)

// RecordOffer records that the peer at address has the version id and returns how
// id relates to the current version.
func (s *VersionState) RecordOffer(address string, id *peerv1.EditionID) Relation {
	switch {
	case id.GetRevision() <= 0 || len(id.Digest) < probeDigestBytes:
		return Ignored
	case id.Revision < s.current.Revision:
		return PeerBehind
	case id.Revision == s.current.Revision:
		if bytes.Equal(id.Digest[:probeDigestBytes], s.current.Digest[:probeDigestBytes]) {
			return Equal
		}
		if s.conflict == id.Revision {
			return Ignored
		}
		s.conflict = id.Revision
		return Conflicting
	case id.Revision == s.rejected.Revision && bytes.Equal(id.Digest[:probeDigestBytes], s.rejected.Digest[:probeDigestBytes]):
		return Ignored
	}
	for i := range s.offers {
		if s.offers[i].address == address {
			s.offers[i].revision = id.Revision
			return Newer
		}
	}
	if len(s.offers) == maxOffers {
		s.offers = s.offers[1:]
	}
	s.offers = append(s.offers, offer{address: address, revision: id.Revision})
	return Newer
}

// FetchSource returns the address of the peer to fetch from and the number of
// failed fetches from it; ok is false if no peer is known to have a newer version.
func (s *VersionState) FetchSource() (address string, failures int, ok bool) {
	best := -1
	for i, o := range s.offers {
		if best < 0 || o.failures < s.offers[best].failures ||
			o.failures == s.offers[best].failures && o.revision > s.offers[best].revision {
			best = i
		}
	}
	if best < 0 {
		return "", 0, false
	}
	return s.offers[best].address, s.offers[best].failures, true
}

// maxFetchFailures is the number of failed fetches after which the offer of a peer
// is removed; the next probe of the peer renews it.
const maxFetchFailures = 4

// RecordFetchFailure records that the peer at address did not deliver what it
// offered.
func (s *VersionState) RecordFetchFailure(address string) {
	for i := range s.offers {
		if s.offers[i].address != address {
			continue
		}
		s.offers[i].failures++
		if s.offers[i].failures == maxFetchFailures {
			s.offers = append(s.offers[:i], s.offers[i+1:]...)
		}
		return
	}
}

// BuildResponse returns the response to a peer that has the version have: the
// changed sections if that version is in the history and they are smaller, else
// the whole text, or the ID alone if the peer is up to date.
func (s *VersionState) BuildResponse(name string, have *peerv1.EditionID) *peerv1.FetchEditionResponse {
	res := &peerv1.FetchEditionResponse{}
	if s.current.Revision == 0 {
		return res
	}
	// The response is sent after the caller has released its lock.
	res.Edition = &peerv1.EditionID{Revision: s.current.Revision, Digest: bytes.Clone(s.current.Digest[:])}
	if have.GetRevision() >= s.current.Revision {
		return res
	}
	for i := range s.history {
		old := &s.history[i]
		if name == confservice.ConfigName && old.Revision == have.GetRevision() && bytes.Equal(old.Digest[:], have.Digest) {
			if res.Changes = s.sectionChanges(old); res.Changes != nil {
				res.Delta = true
				return res
			}
		}
	}
	res.Text = s.current.Body
	return res
}

// sectionChanges returns the sections changed since old; nil if sending the whole
// text is better.
func (s *VersionState) sectionChanges(old *previousVersion) []*peerv1.SectionChange {
	if old.diffed {
		return old.changes
	}
	old.diffed = true
	changes, ok := config.Delta(old.Body, s.current.Body)
	size := 0
	for _, c := range changes {
		size += len(c.Name) + len(c.Body)
	}
	if !ok || size > len(s.current.Body)/2 {
		return nil
	}
	for _, c := range changes {
		old.changes = append(old.changes, &peerv1.SectionChange{Name: c.Name, Body: c.Body, Position: uint32(c.Position)})
	}
	return old.changes
}

// DecodeResponse returns the version that a response to a request with the version
// base carries. ok is false if the response has no newer version or its text does
// not match the digest; retryWhole tells that requesting the whole text may help.
func (s *VersionState) DecodeResponse(base Version, res *peerv1.FetchEditionResponse) (v Version, ok, retryWhole bool) {
	id := res.GetEdition()
	if id.GetRevision() <= s.current.Revision || len(id.Digest) != sha256.Size {
		return Version{}, false, false
	}
	body := res.Text
	if res.Delta {
		changes := make([]config.SectionChange, 0, len(res.Changes))
		for _, c := range res.Changes {
			changes = append(changes, config.SectionChange{Name: c.Name, Body: c.Body, Position: int(c.Position)})
		}
		body = config.ApplyDelta(base.Body, changes)
	}
	v = NewVersion(id.Revision, body)
	if !bytes.Equal(v.Digest[:], id.Digest) {
		return Version{}, false, res.Delta
	}
	return v, true, false
}
