package crash

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxParts is the number of parts of one prompt that are suspects; further ones
// are ignored.
const MaxParts = 64

// Fingerprint is a hash of a request or of a part of a prompt.
type Fingerprint [16]byte

// String returns the first 8 bytes in hexadecimal, the form used in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

// Suspect is a request, or a part of a prompt, that may crash targets.
type Suspect struct {
	Part        bool
	Fingerprint Fingerprint
}

// String returns the kind and the fingerprint.
func (s Suspect) String() string {
	if s.Part {
		return "part " + s.Fingerprint.String()
	}
	return "request " + s.Fingerprint.String()
}

// Suspects returns the suspects of a request, the request itself first. parts are
// what identifies the parts of its prompt, without the last.
func Suspects(request Fingerprint, parts []string) []Suspect {
	out := append(make([]Suspect, 0, 1+min(len(parts), MaxParts)), Suspect{Fingerprint: request})
	for _, p := range parts[:min(len(parts), MaxParts)] {
		d := sha256.Sum256([]byte(p))
		if s := (Suspect{Part: true, Fingerprint: Fingerprint(d[:len(Fingerprint{})])}); !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func compareSuspects(a, b Suspect) int {
	if a.Part != b.Part {
		if b.Part {
			return -1
		}
		return 1
	}
	return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
}

// includes reports whether all holds every element of some.
func includes(all, some []Suspect) bool {
	for _, s := range some {
		if !slices.Contains(all, s) {
			return false
		}
	}
	return true
}

// blockID identifies a block by its suspects.
type blockID uint64

// idOf returns the id of a block; suspects must be sorted.
func idOf(suspects []Suspect) blockID {
	d := xxhash.New()
	for _, s := range suspects {
		kind := byte(0)
		if s.Part {
			kind = 1
		}
		_, _ = d.Write(append(s.Fingerprint[:], kind))
	}
	return blockID(d.Sum64())
}

// recentTimes holds the last times of at least the capacity most recently set
// suspects, and of at most twice as many.
type recentTimes struct {
	capacity   int
	newer, old map[Suspect]time.Duration
}

func newRecentTimes(capacity int) *recentTimes {
	return &recentTimes{capacity: capacity, newer: map[Suspect]time.Duration{}}
}

func (r *recentTimes) get(s Suspect) (at time.Duration, ok bool) {
	if at, ok = r.newer[s]; !ok {
		at, ok = r.old[s]
	}
	return at, ok
}

// set records a time unless a later one is known.
func (r *recentTimes) set(s Suspect, at time.Duration) {
	if known, ok := r.get(s); ok {
		at = max(at, known)
	}
	if _, ok := r.newer[s]; !ok && len(r.newer) >= r.capacity {
		r.old, r.newer = r.newer, map[Suspect]time.Duration{}
	}
	r.newer[s] = at
}
