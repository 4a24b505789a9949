package standin

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CharsPerToken is the length of a token in characters, as defined in section 11
// of docs/design.md.
const CharsPerToken = 4

// BlockChars is the size of a prefix cache block in characters.
const BlockChars = 256

// KeyMarker is contained in every caller key of tests and demos. A target that
// finds it in a request has received a caller key.
const KeyMarker = "whk-"

// CountTokens returns the number of tokens of a text, rounded up.
func CountTokens(text string) int { return (len(text) + CharsPerToken - 1) / CharsPerToken }

// GenerateTokens returns the output tokens for a prompt. It is a pure function,
// so that a checker can compute the expected response and an engine can resume a
// stream that another engine started. The length of the output is between half
// of maxTokens and maxTokens.
func GenerateTokens(prompt string, maxTokens int) []string {
	if maxTokens < 1 {
		maxTokens = 1
	}
	seed := strconv.FormatUint(xxhash.Sum64String(prompt), 16)
	half := uint64(maxTokens / 2)
	n := maxTokens - int(xxhash.Sum64String(seed)%(half+1))
	out := make([]string, n)
	for i := range out {
		h := xxhash.Sum64String(seed + "/" + strconv.Itoa(i))
		out[i] = hex.EncodeToString([]byte{byte(h), byte(h >> 8)})[:CharsPerToken-1] + " "
	}
	return out
}

// PrefixHashes returns a hash for each prefix of the prompt that consists of
// whole blocks, shortest prefix first.
func PrefixHashes(prompt string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for len(prompt) >= BlockChars {
		_, _ = d.WriteString(prompt[:BlockChars])
		out = append(out, d.Sum64())
		prompt = prompt[BlockChars:]
	}
	return out
}

// Tag identifies a request in the records of the targets. It is the last
// "#ID/TEAM#" in a prompt or booking; a stock item carries it in its name.
type Tag struct{ ID, Team string }

// String returns the tag as it appears in a prompt or booking.
func (t Tag) String() string { return "#" + t.ID + "/" + t.Team + "#" }

// Item returns the tag as the name of a stock item. The name is part of a URL
// path, so it has no '#' or '/'.
func (t Tag) Item() string { return t.ID + "." + t.Team }

// TagFromItem parses a name returned by Tag.Item.
func TagFromItem(item string) Tag {
	id, team, _ := strings.Cut(item, ".")
	return Tag{ID: id, Team: team}
}

// FindTag returns the last tag in text.
func FindTag(text string) (Tag, bool) {
	end := strings.LastIndexByte(text, '#')
	if end <= 0 {
		return Tag{}, false
	}
	start := strings.LastIndexByte(text[:end], '#')
	if start < 0 {
		return Tag{}, false
	}
	id, team, ok := strings.Cut(text[start+1:end], "/")
	return Tag{ID: id, Team: team}, ok
}
