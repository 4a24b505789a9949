package confservice

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

func TestTruncatedValueIsNotAccepted(t *testing.T) {
	const text = "[team a]\nrate = 1\n[team b]\nrate = 1\n"
	for framing, complete := range map[string]bool{
		fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text)):   true,
		fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(text)): false,
		"Connection: close\r\n\r\n":                            false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Revision: 7\r\n"+framing+text)
			_ = conn.Close()
		}))
		if v, err := NewClient(server.URL).Read(t.Context(), ConfigName); (err == nil) != complete {
			t.Errorf("%q: %q, %v", framing, v.Text, err)
		}
		server.Close()
	}
}

// Guards against accepting responses of the service that are malformed, too
// large or older than requested.
func TestClient(t *testing.T) {
	var status int
	var revision, body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if revision != "" {
			w.Header().Set("X-Revision", revision)
		}
		w.Header().Set("X-Query", r.URL.RawQuery)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	c := NewClient(server.URL + "/")
	ctx := context.Background()
	for _, tc := range []struct {
		status         int
		revision, body string
		readOK, waitOK bool
	}{
		{200, "7", "text", true, true},
		{200, "5", "text", true, false},
		{200, "", "text", false, false},
		{200, "x", "text", false, false},
		{200, "0", "text", false, false},
		{200, "7", strings.Repeat("x", maxValueBytes+1), false, false},
		{302, "7", "text", false, false},
		{500, "7", "text", false, false},
	} {
		status, revision, body = tc.status, tc.revision, tc.body
		if v, err := c.Read(ctx, ConfigName); (err == nil) != tc.readOK || tc.readOK && string(v.Text) != "text" {
			t.Errorf("%d %q: read %v", tc.status, tc.revision, err)
		}
		if _, ok, err := c.Wait(ctx, ConfigName, 5, time.Second); (err == nil && ok) != tc.waitOK {
			t.Errorf("%d %q: wait %v %v", tc.status, tc.revision, ok, err)
		}
	}
	status, revision, body = 304, "", ""
	if _, ok, err := c.Wait(ctx, ConfigName, 5, time.Second); ok || err != nil {
		t.Errorf("not modified: %v %v", ok, err)
	}
	status = 404
	if _, err := c.Read(ctx, ConfigName); !errors.Is(err, ErrNotFound) {
		t.Errorf("missing: %v", err)
	}
	if got := c.CallCounts(); got.Reads != 9 || got.Waits != 9 || got.Failures != 13 {
		t.Errorf("counters: %+v", got)
	}
}

// immediateSource returns from each wait at once: unchanged, or with err if set.
type immediateSource struct {
	calls, running, maxRunning int
	err                        error
}

func (s *immediateSource) Wait(context.Context, string, int64, time.Duration) (Value, bool, error) {
	s.calls++
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	s.running--
	return Value{}, false, s.err
}

// Guards against a busy loop of calls to a service that fails or returns from
// each wait at once.
func TestWatchBacksOff(t *testing.T) {
	for _, err := range []error{nil, errors.New("refused")} {
		synctest.Test(t, func(t *testing.T) {
			s := &immediateSource{err: err}
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			Watch(ctx, s, ConfigName, func() int64 { return 1 }, func(Outcome) {})
			// At least half of the largest delay passes between calls.
			if limit := int(time.Hour/(backoffMax/2)) + 10; s.calls > limit || s.maxRunning > 1 {
				t.Errorf("%d calls in an hour, %d concurrent", s.calls, s.maxRunning)
			}
		})
	}
}

const validList = `{"instances":[{"name":"a","callers":"10.0.0.1:1","peers":"10.0.0.1:2","region":"r","domain":"d","state":"live"},
{"name":"b","callers":"10.0.0.2:1","peers":"10.0.0.2:2","region":"r","domain":"d","state":"leaving"}],"targets":[{"name":"t","state":"leaving"},{"name":"u","state":"live"}]}`

// Guards against using a part of a malformed list.
func TestParseList(t *testing.T) {
	list, err := ParseList([]byte(validList))
	if err != nil || len(list.Instances) != 2 || list.Instances[0].Leaving || !list.Instances[1].Leaving || !list.LeavingTargets["t"] || list.LeavingTargets["u"] {
		t.Fatalf("%+v, %v", list, err)
	}
	for _, c := range [][2]string{
		{`"name":"b"`, `"name":"a"`}, {`10.0.0.2:2`, `10.0.0.1:2`}, {`10.0.0.2:1`, `10.0.0.2:2`},
		{`"leaving"}],`, `"gone"}],`}, {`"region":"r"`, `"region":""`}, {`10.0.0.2:1`, `host:1`},
		{`"domain":"d"`, `"domain":"d","port":1`}, {`]}`, `]} x`}, {`"instances"`, `"instance"`},
		{`"name":"u"`, `"name":"t"`}, {`"live"}]`, `""}]`}, {`{"instances":[`, `{"instances":null,"x":[`},
	} {
		text := strings.Replace(validList, c[0], c[1], 1)
		if text == validList {
			t.Fatalf("%q does not occur", c[0])
		}
		if _, err := ParseList([]byte(text)); err == nil {
			t.Errorf("%q instead of %q is accepted", c[1], c[0])
		}
	}
}

// Guards against panics of the list parser, and against accepted lists with
// duplicate names or addresses.
func FuzzParseList(f *testing.F) {
	f.Add([]byte(validList))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := ParseList(text)
		if err != nil {
			return
		}
		seen := make(map[string]bool)
		for _, in := range list.Instances {
			if seen[in.Name] || seen[in.PeerAddress] {
				t.Fatalf("%s is listed twice", in.Name)
			}
			seen[in.Name], seen[in.PeerAddress] = true, true
		}
	})
}
