package routing

import "github.com/cespare/xxhash/v2"

const (
	// blockBytes and tokenBytes are the block and token sizes of the prefix hashes
	// that engines publish. A character counts as one byte.
	blockBytes  = 256
	tokenBytes  = 4
	blockTokens = blockBytes / tokenBytes
	// maxBlocks bounds the number of hashes per prompt; 1024 blocks are 65,536
	// tokens.
	maxBlocks = 1024
)

// CountTokens returns the number of tokens that a text of n bytes counts as.
func CountTokens(n int) int { return (n + tokenBytes - 1) / tokenBytes }

// PrefixHashes returns the hashes of the full blocks of prompt, shortest prefix
// first: element i is the xxhash64 of the first i+1 blocks.
func PrefixHashes(prompt string) []uint64 {
	n := min(len(prompt)/blockBytes, maxBlocks)
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	d := xxhash.New()
	for i := range out {
		_, _ = d.WriteString(prompt[i*blockBytes : (i+1)*blockBytes]) // never fails
		out[i] = d.Sum64()
	}
	return out
}
