package standin

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CharsPerToken is the token size of section 11 of docs/design.md.
const CharsPerToken = 4

// BlockChars is the size of a prefix cache block in characters.
const BlockChars = 256

// KeyMarker is part of every caller key of tests and demos. A target that
// finds it in a request has seen a key.
const KeyMarker = "whk-"

// Tokens counts the tokens of a text, rounded up.
func Tokens(text string) int { return (len(text) + CharsPerToken - 1) / CharsPerToken }

// Answer returns the output tokens for a prompt. It is a pure function, so a
// checker can rebuild the full answer and an engine can resume the stream of
// another one. Between half of maxTokens and all of them are used.
func Answer(prompt string, maxTokens int) []string {
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

// PrefixHashes returns the hashes of the full blocks of a prompt, shortest
// prefix first.
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

// Tag is the part of a prompt or booking by which the checker finds a request
// in the records: "#ID/TEAM#" at the end of the text.
type Tag struct{ ID, Team string }

// String returns the form that is put into a prompt.
func (t Tag) String() string { return "#" + t.ID + "/" + t.Team + "#" }

// Item returns the form that is used as the name of a stock item, which is part
// of a path.
func (t Tag) Item() string { return t.ID + "." + t.Team }

// ItemTag returns the tag in the name of a stock item.
func ItemTag(item string) Tag {
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
