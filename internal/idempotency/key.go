package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Lengths of a key and its parts, in bytes.
const (
	maxKeyLen      = 256
	incarnationLen = 16
	minRandomLen   = 8
	maxRandomLen   = 64
)

// Key is a parsed idempotency key:
// <instance>.<incarnation, 16 hex digits>.<issue time, Unix ms>.<random>.
type Key struct {
	Instance    string
	Incarnation uint64
	Issued      time.Time
	Random      string
}

// Prefix returns the part of a key that precedes ".<issue time>.<random>". A
// caller appends the rest to make a key.
func Prefix(instance string, incarnation uint64) string {
	return fmt.Sprintf("%s.%016x", instance, incarnation)
}

// String returns the canonical text of k, the only one that Parse accepts.
func (k Key) String() string {
	return fmt.Sprintf("%s.%d.%s", Prefix(k.Instance, k.Incarnation), k.Issued.UnixMilli(), k.Random)
}

// Parse parses a key. The instance name may contain dots, so the other parts
// are taken from the right. Errors have code BadIdempotencyKey, not run.
func Parse(text string) (Key, error) {
	bad := result.New(result.BadIdempotencyKey, result.NotRun,
		"the idempotency key does not have the form <instance>.<incarnation>.<issue time>.<random>")
	if len(text) > maxKeyLen {
		return Key{}, bad
	}
	parts := strings.Split(text, ".")
	n := len(parts)
	if n < 4 {
		return Key{}, bad
	}
	k := Key{Instance: strings.Join(parts[:n-3], "."), Random: parts[n-1]}
	inc, err := strconv.ParseUint(parts[n-3], 16, 64)
	if err != nil || len(parts[n-3]) != incarnationLen {
		return Key{}, bad
	}
	ms, err := strconv.ParseInt(parts[n-2], 10, 64)
	if err != nil || ms < 0 || len(k.Random) < minRandomLen || len(k.Random) > maxRandomLen || !isToken(k.Random) || !isInstanceName(k.Instance) {
		return Key{}, bad
	}
	k.Incarnation, k.Issued = inc, time.UnixMilli(ms)
	// Only the canonical form is accepted: uppercase hex digits or leading
	// zeros would make another text for the same key.
	if k.String() != text {
		return Key{}, bad
	}
	return k, nil
}

func isInstanceName(s string) bool {
	for _, part := range strings.Split(s, ".") {
		if part == "" || !isToken(part) {
			return false
		}
	}
	return true
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return s != ""
}
