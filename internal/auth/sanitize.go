package auth

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// minSearchedKeyBytes is the minimum length of a key that is searched for inside
// other text. Shorter keys would match by chance; they are removed only where
// they are the whole of a header or the value of a parameter.
const minSearchedKeyBytes = 8

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings", "Expect",
}

// reservedHeaders are set by the gateway; those sent by a caller or target are
// dropped.
var reservedHeaders = []string{
	"Authorization", "X-Request-Id", "X-Attempt", "X-Priority", "X-Run-Timeout-Ms", "X-Resume-Tokens",
	"X-Not-Run", "X-Start-Within-Ms",
}

// EndToEndHeaders returns a copy of h without hop-by-hop headers, headers that
// the gateway sets itself, and headers that contain key.
func EndToEndHeaders(h http.Header, key string) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range reservedHeaders {
		out.Del(name)
	}
	for name, values := range out {
		if containsKey(name, key) || containsKey(strings.Join(values, "\n"), key) {
			delete(out, name)
		}
	}
	return out
}

// StripKeyFromQuery returns the query string raw without the parameters that
// contain key. It leaves the other parameters unchanged.
func StripKeyFromQuery(raw, key string) string {
	if key == "" || raw == "" {
		return raw
	}
	var kept []string
	for _, part := range strings.Split(raw, "&") {
		decoded, err := url.QueryUnescape(part)
		if err != nil || !containsKey(decoded, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// CheckNoKey returns an error if the path or body of a request contains the
// caller's key. Such a request is refused because the key cannot be removed from
// either without changing what is requested.
func CheckNoKey(path string, body []byte, key string) error {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return result.New(result.BadRequest, result.NotRun, "the path is not valid")
	}
	if containsKey(decoded, key) || len(key) >= minSearchedKeyBytes && bytes.Contains(body, []byte(key)) {
		return result.New(result.BadRequest, result.NotRun, "the path or body contains the caller's key")
	}
	return nil
}

func containsKey(text, key string) bool {
	switch {
	case key == "":
		return false
	case len(key) < minSearchedKeyBytes:
		_, value, _ := strings.Cut(text, "=")
		return text == key || value == key
	}
	return strings.Contains(text, key)
}
