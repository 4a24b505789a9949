package auth

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// minScan is the shortest key, in bytes, that is searched for inside other
// text. A shorter one would be found by chance; it is removed only where a
// header or parameter equals it.
const minScan = 8

// hopByHop headers belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings", "Expect",
}

// reserved headers are set by the gateway; a caller's or target's are dropped.
var reserved = []string{
	"Authorization", "X-Request-Id", "X-Attempt", "X-Priority", "X-Run-Timeout-Ms", "X-Resume-Tokens",
	"X-Not-Run", "X-Start-Within-Ms",
}

// EndToEnd returns a copy of h without hop-by-hop headers, headers that the
// gateway sets itself, and headers that carry key.
func EndToEnd(h http.Header, key string) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range reserved {
		out.Del(name)
	}
	for name, values := range out {
		if carries(name, key) || carries(strings.Join(values, "\n"), key) {
			delete(out, name)
		}
	}
	return out
}

// StripQuery removes the parameters that carry key and leaves the rest as it was.
func StripQuery(raw, key string) string {
	if key == "" || raw == "" {
		return raw
	}
	var kept []string
	for _, part := range strings.Split(raw, "&") {
		plain, err := url.QueryUnescape(part)
		if err != nil || !carries(plain, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// CheckNoKey refuses a request whose path or body contains its own key: neither
// can be changed without changing the request.
func CheckNoKey(path string, body []byte, key string) error {
	plain, err := url.PathUnescape(path)
	if err != nil {
		return result.New(result.BadRequest, result.NotRun, "the path is not valid")
	}
	if carries(plain, key) || len(key) >= minScan && bytes.Contains(body, []byte(key)) {
		return result.New(result.BadRequest, result.NotRun, "the path or body contains the caller's key")
	}
	return nil
}

func carries(text, key string) bool {
	switch {
	case key == "":
		return false
	case len(key) < minScan:
		_, value, _ := strings.Cut(text, "=")
		return text == key || value == key
	}
	return strings.Contains(text, key)
}
