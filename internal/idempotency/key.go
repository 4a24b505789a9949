package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Bounds of the parts of a key, in bytes.
const (
	maxKey         = 256
	incarnationLen = 16
	minRandom      = 8
	maxRandom      = 64
)

// Key is a parsed idempotency key:
// <instance>.<incarnation, 16 hex digits>.<issue time, Unix ms>.<random>.
type Key struct {
	Instance    string
	Incarnation uint64
	Issued      time.Time
	Random      string
}

// Prefix returns what a caller puts in front of ".<issue time>.<random>".
func Prefix(instance string, incarnation uint64) string {
	return fmt.Sprintf("%s.%016x", instance, incarnation)
}

// String returns the only text that Parse accepts for k.
func (k Key) String() string {
	return fmt.Sprintf("%s.%d.%s", Prefix(k.Instance, k.Incarnation), k.Issued.UnixMilli(), k.Random)
}

// Parse reads a key. The instance name may contain dots, so the other parts
// are taken from the right. Errors have code BadIdempotencyKey, not run.
func Parse(text string) (Key, error) {
	bad := result.New(result.BadIdempotencyKey, result.NotRun,
		"the idempotency key does not have the form <instance>.<incarnation>.<issue time>.<random>")
	if len(text) > maxKey {
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
	if err != nil || ms < 0 || len(k.Random) < minRandom || len(k.Random) > maxRandom || !token(k.Random) || !nameLike(k.Instance) {
		return Key{}, bad
	}
	k.Incarnation, k.Issued = inc, time.UnixMilli(ms)
	// Other spellings (capital hex digits, leading zeros) would be other keys
	// for the same name; only one spelling is accepted.
	if k.String() != text {
		return Key{}, bad
	}
	return k, nil
}

func nameLike(s string) bool {
	for _, part := range strings.Split(s, ".") {
		if part == "" || !token(part) {
			return false
		}
	}
	return true
}

func token(s string) bool {
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return s != ""
}
