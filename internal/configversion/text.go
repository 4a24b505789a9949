package configversion

import (
	"bytes"
	"crypto/sha256"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// historyTexts are kept besides the text in force, to answer peers with
	// the changed sections only. At 2,200 edits a day they cover about two
	// minutes; a peer that is further behind gets the whole text.
	historyTexts = 3
	// maxOffers bounds the peers remembered as sources of a newer text.
	maxOffers = 4
	// probeDigest is the part of a digest sent in probes, in bytes.
	probeDigest = 8
)

// Text is a published text with its revision.
type Text struct {
	Revision int64
	Digest   [sha256.Size]byte
	Body     []byte
}

// NewText computes the digest of a body.
func NewText(revision int64, body []byte) Text {
	return Text{revision, sha256.Sum256(body), body}
}

// Verdict is what became of a text that was offered.
type Verdict int

// Verdicts.
const (
	Taken    Verdict = iota + 1
	Same             // already in force
	Older            // a higher revision is in force
	Conflict         // in force with another digest
	Rejected         // has faults
)

// Keeper holds the text in force of one value and decides which texts replace
// it. It does no I/O. It is not safe for concurrent use.
type Keeper struct {
	current  Text
	history  []past // most recent first
	rejected Text   // highest revision that had faults, without its body
	offers   []offer
	conflict int64 // revision of the last reported conflict
}

type offer struct {
	address  string
	revision int64
	failures int
}

// past is a text that was in force, with its difference from the present one
// once a peer has asked for it. Computing it takes about 25 ms for a table of
// 0.6 MB.
type past struct {
	Text
	computed bool
	changes  []*peerv1.SectionChange // nil: send the whole text
}

// Current returns the text in force; Revision 0 if there is none.
func (k *Keeper) Current() Text { return k.current }

// After returns the revision beyond which a text is of interest. A rejected
// text is not asked for again.
func (k *Keeper) After() int64 { return max(k.current.Revision, k.rejected.Revision) }

// Check returns what becomes of t before its faults are known; Taken means
// that it replaces the text in force if it has none.
func (k *Keeper) Check(t Text) Verdict {
	switch {
	case t.Revision < k.current.Revision || t.Revision <= 0:
		return Older
	case t.Revision > k.current.Revision:
		return Taken
	case t.Digest == k.current.Digest:
		return Same
	}
	return Conflict
}

// Put takes a text that Check approved and that has no faults.
func (k *Keeper) Put(t Text) {
	if k.current.Revision > 0 {
		k.history = append([]past{{Text: k.current}}, k.history...)
		k.history = k.history[:min(len(k.history), historyTexts)]
	}
	for i := range k.history {
		k.history[i].computed, k.history[i].changes = false, nil
	}
	k.current = t
	k.forget(t.Revision)
}

// Reject notes that a text has faults.
func (k *Keeper) Reject(t Text) {
	if t.Revision >= k.rejected.Revision {
		k.rejected = Text{Revision: t.Revision, Digest: t.Digest}
	}
	k.forget(t.Revision)
}

// forget drops the offers up to a revision.
func (k *Keeper) forget(revision int64) {
	kept := k.offers[:0]
	for _, o := range k.offers {
		if o.revision > revision {
			kept = append(kept, o)
		}
	}
	k.offers = kept
}

// ID returns the ID for probes; nil without a text.
func (k *Keeper) ID() *peerv1.EditionID {
	if k.current.Revision == 0 {
		return nil
	}
	return &peerv1.EditionID{Revision: k.current.Revision, Digest: bytes.Clone(k.current.Digest[:probeDigest])}
}

// Relation of an offered ID to what is in force.
type Relation int

// Relations.
const (
	Unknown   Relation = iota
	Newer              // should be fetched
	Equal              // confirms the text in force
	Behind             // the peer should fetch
	Different          // same revision, other digest; reported once a revision
)

// Offer notes that the peer at address has the text id.
func (k *Keeper) Offer(address string, id *peerv1.EditionID) Relation {
	switch {
	case id.GetRevision() <= 0 || len(id.Digest) < probeDigest:
		return Unknown
	case id.Revision < k.current.Revision:
		return Behind
	case id.Revision == k.current.Revision:
		if bytes.Equal(id.Digest[:probeDigest], k.current.Digest[:probeDigest]) {
			return Equal
		}
		if k.conflict == id.Revision {
			return Unknown
		}
		k.conflict = id.Revision
		return Different
	case id.Revision == k.rejected.Revision && bytes.Equal(id.Digest[:probeDigest], k.rejected.Digest[:probeDigest]):
		return Unknown
	}
	for i := range k.offers {
		if k.offers[i].address == address {
			k.offers[i].revision = id.Revision
			return Newer
		}
	}
	if len(k.offers) == maxOffers {
		k.offers = k.offers[1:]
	}
	k.offers = append(k.offers, offer{address: address, revision: id.Revision})
	return Newer
}

// Source returns the peer to fetch from and the number of fetches from it that
// failed; ok is false if no peer is known to have a newer text.
func (k *Keeper) Source() (address string, failures int, ok bool) {
	best := -1
	for i, o := range k.offers {
		if best < 0 || o.failures < k.offers[best].failures ||
			o.failures == k.offers[best].failures && o.revision > k.offers[best].revision {
			best = i
		}
	}
	if best < 0 {
		return "", 0, false
	}
	return k.offers[best].address, k.offers[best].failures, true
}

// maxFetchFailures is how often a peer is asked in vain before its offer is
// dropped; the next probe brings it back.
const maxFetchFailures = 4

// FetchFailed notes that the peer did not deliver.
func (k *Keeper) FetchFailed(address string) {
	for i := range k.offers {
		if k.offers[i].address != address {
			continue
		}
		k.offers[i].failures++
		if k.offers[i].failures == maxFetchFailures {
			k.offers = append(k.offers[:i], k.offers[i+1:]...)
		}
		return
	}
}

// Serve answers a peer that has the text have: with the changed sections if
// that text is remembered and they are smaller, else with the whole text, or
// with the ID alone if the peer is up to date.
func (k *Keeper) Serve(name string, have *peerv1.EditionID) *peerv1.FetchEditionResponse {
	res := &peerv1.FetchEditionResponse{}
	if k.current.Revision == 0 {
		return res
	}
	// The answer is sent after the lock of the caller is released.
	res.Edition = &peerv1.EditionID{Revision: k.current.Revision, Digest: bytes.Clone(k.current.Digest[:])}
	if have.GetRevision() >= k.current.Revision {
		return res
	}
	for i := range k.history {
		old := &k.history[i]
		if name == confservice.TableName && old.Revision == have.GetRevision() && bytes.Equal(old.Digest[:], have.Digest) {
			if res.Changes = k.changesSince(old); res.Changes != nil {
				res.Delta = true
				return res
			}
		}
	}
	res.Text = k.current.Body
	return res
}

// changesSince returns the changed sections; nil if the whole text is better.
func (k *Keeper) changesSince(old *past) []*peerv1.SectionChange {
	if old.computed {
		return old.changes
	}
	old.computed = true
	changes, ok := config.Delta(old.Body, k.current.Body)
	size := 0
	for _, c := range changes {
		size += len(c.Name) + len(c.Body)
	}
	if !ok || size > len(k.current.Body)/2 {
		return nil
	}
	for _, c := range changes {
		old.changes = append(old.changes, &peerv1.SectionChange{Name: c.Name, Body: c.Body, Position: uint32(c.Position)})
	}
	return old.changes
}

// Fetched returns the text that an answer stands for. ok is false if the
// answer has no newer text or its digest does not match; whole tells that
// asking for the whole text may help.
func (k *Keeper) Fetched(base Text, res *peerv1.FetchEditionResponse) (t Text, ok, whole bool) {
	id := res.GetEdition()
	if id.GetRevision() <= k.current.Revision || len(id.Digest) != sha256.Size {
		return Text{}, false, false
	}
	body := res.Text
	if res.Delta {
		changes := make([]config.SectionChange, 0, len(res.Changes))
		for _, c := range res.Changes {
			changes = append(changes, config.SectionChange{Name: c.Name, Body: c.Body, Position: int(c.Position)})
		}
		body = config.Apply(base.Body, changes)
	}
	t = NewText(id.Revision, body)
	if !bytes.Equal(t.Digest[:], id.Digest) {
		return Text{}, false, res.Delta
	}
	return t, true, false
}
