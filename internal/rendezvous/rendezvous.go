// Package rendezvous ranks candidates for a name, so that all instances choose the same
// ones without exchanging messages (highest random weight hashing).
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the rank of a candidate for a name; the highest wins.
func Score(name, candidate string) uint64 { return xxhash.Sum64String(name + "\x00" + candidate) }
