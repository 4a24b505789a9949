package dispatch

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
	"github.com/wigeonhill/wigeonhill/internal/sse"
)

type fakeFrames []*peerv1.ForwardResponse

func (s *fakeFrames) Receive() bool {
	if len(*s) == 0 {
		return false
	}
	*s = (*s)[1:]
	return len(*s) > 0
}
func (s *fakeFrames) Msg() *peerv1.ForwardResponse { return (*s)[0] }
func (s *fakeFrames) Err() error                   { return nil }

func frame(id string, seq uint64, part any) *peerv1.ForwardResponse {
	m := &peerv1.ForwardResponse{RequestId: id, Sequence: seq}
	switch p := part.(type) {
	case int:
		m.Part = &peerv1.ForwardResponse_Head{Head: &peerv1.Head{Status: uint32(p)}}
	case *peerv1.Header:
		m.Part = &peerv1.ForwardResponse_Head{Head: &peerv1.Head{Status: 200, Headers: []*peerv1.Header{p}}}
	case string:
		m.Part = &peerv1.ForwardResponse_Data{Data: []byte(p)}
	case *peerv1.Tail:
		m.Part = &peerv1.ForwardResponse_Tail{Tail: p}
	}
	return m
}

// Guards against passing on a damaged forwarded response as complete: with a late,
// misdirected, duplicated or missing frame, or without a tail (invariant I8).
func TestFrameReader(t *testing.T) {
	ok := &peerv1.Tail{}
	for name, c := range map[string]struct {
		frames   fakeFrames
		data     string
		complete bool
	}{
		"complete":         {fakeFrames{frame("r", 1, 200), frame("r", 2, "ab"), frame("r", 3, "c"), frame("r", 4, ok)}, "abc", true},
		"no tail":          {fakeFrames{frame("r", 1, 200), frame("r", 2, "ab")}, "ab", false},
		"misdirected":      {fakeFrames{frame("r", 1, 200), frame("r", 2, "ab"), frame("q", 3, "no"), frame("r", 4, ok)}, "ab", false},
		"missing":          {fakeFrames{frame("r", 1, 200), frame("r", 3, "no"), frame("r", 4, ok)}, "", false},
		"duplicated":       {fakeFrames{frame("r", 1, 200), frame("r", 2, "ab"), frame("r", 2, "ab"), frame("r", 3, ok)}, "ab", false},
		"late head":        {fakeFrames{frame("r", 1, 200), frame("r", 2, "ab"), frame("r", 3, 200), frame("r", 4, ok)}, "ab", false},
		"failed":           {fakeFrames{frame("r", 1, 200), frame("r", 2, "ab"), frame("r", 3, &peerv1.Tail{Code: 401, MayHaveRun: true})}, "ab", false},
		"data before head": {fakeFrames{frame("r", 1, "ab"), frame("r", 2, ok)}, "", false},
		"misdirected head": {fakeFrames{frame("q", 1, 200), frame("r", 2, ok)}, "", false},
		"no frames":        {nil, "", false},
		"no part":          {fakeFrames{frame("r", 1, 200), frame("r", 2, nil), frame("r", 3, ok)}, "", false},
		"invalid status":   {fakeFrames{frame("r", 1, 99), frame("r", 2, ok)}, "", false},
		"blank in a name":  {fakeFrames{frame("r", 1, &peerv1.Header{Name: "X Broken"}), frame("r", 2, "ab"), frame("r", 3, ok)}, "", false},
		"refused":          {fakeFrames{frame("r", 1, &peerv1.Tail{Code: 303})}, "", false},
		"success, empty":   {fakeFrames{frame("r", 1, ok)}, "", false},
	} {
		s := append(fakeFrames{nil}, c.frames...)
		f := &frameReader{stream: &s, id: "r", log: event.Nop()}
		_, _, err := f.readHead()
		var data []byte
		if err == nil {
			data, err = io.ReadAll(f)
		}
		if string(data) != c.data || (err == nil) != c.complete {
			t.Errorf("%s: %q, %v", name, data, err)
		}
		if _, again := f.Read(make([]byte, 1)); err == nil && again != io.EOF {
			t.Errorf("%s: %v after the end", name, again)
		}
	}
}

// Guards "not run": once a request is reported as not sent, its connection must
// not write any more. A single written byte counts as sent, even while the write
// is still in progress.
func TestSealedConnection(t *testing.T) {
	local, remote := net.Pipe()
	c := &countingConn{Conn: local}
	if !c.seal() {
		t.Fatal("nothing was written")
	}
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errSealed) {
		t.Fatal(n, err)
	}
	c = &countingConn{Conn: local}
	go func() { _, _ = c.Write([]byte("xy")) }()
	if _, err := remote.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if c.seal() { // the second byte is still being written
		t.Fatal("sealed during a write")
	}
	_ = local.Close()
	c = &countingConn{Conn: local}
	if n, err := c.Write([]byte("x")); n != 0 || err == nil || !c.seal() {
		t.Fatal("a write that failed without a byte counts as sent")
	}
}

// Guards against retry storms: of N requests that all fail once, at most the
// initial budget and a tenth of N are retried.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	allowed := 0
	for range 1000 {
		b.RecordRequest()
		if b.AllowRetry() {
			allowed++
		}
	}
	if allowed > initialRetries+100 || allowed < 100 {
		t.Fatalf("%d retries of 1000 requests", allowed)
	}
}

// Guards the bounds per stream, team and process, and the progress of a stream
// without reserved bytes while others have used up the budget.
func TestMemoryBudget(t *testing.T) {
	m := NewMemoryBudget(settings.Bounds{StreamBuffer: 10, TeamBuffer: 15, ProcessBuffer: 20})
	ctx, cancel := context.WithCancel(t.Context())
	a, b, c := m.NewReservation("x"), m.NewReservation("x"), m.NewReservation("y")
	for _, h := range []*Reservation{a, b, c} { // fills 9 of 15 and 11 of 20
		if err := h.ReserveWait(ctx, 3); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.ReserveWait(ctx, 7); err != nil || m.ReservedBytes() != 16 {
		t.Fatal(err, m.ReservedBytes())
	}
	for name, full := range map[string]func() bool{
		"stream":  func() bool { return a.tryReserveStream(1) == nil },
		"team":    func() bool { return b.tryReserveStream(3) == nil },
		"process": func() bool { return c.tryReserveStream(5) == nil },
		"reserve": func() bool { return m.NewReservation("z").Reserve(5, result.NotRun) == nil },
	} {
		if full() {
			t.Errorf("over the bound of the %s", name)
		}
	}
	done := make(chan error)
	go func() { done <- b.ReserveWait(ctx, 3) }()
	a.Release(7)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := m.NewReservation("x").ReserveWait(ctx, 100); err != nil {
		t.Fatal("a stream without reserved bytes must make progress", err)
	}
	go func() { done <- b.ReserveWait(ctx, 50) }()
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	a.Close()
	b.Close()
	c.Close()
	if m.ReservedBytes() != 100 || len(m.mu.teams) != 1 {
		t.Fatal(m.ReservedBytes(), m.mu.teams)
	}
}

// Guards the events of engines: only complete ones are returned, and their size is
// bounded.
func TestEngineEvents(t *testing.T) {
	reader := sse.NewReader(strings.NewReader(": note\n\ndata: a\r\ndata:b\r\n\r\nevent: x\ndata: c\n\ndata: half\n"))
	for _, want := range []string{"", "a\nb", "c"} {
		if ev, err := nextEvent(reader); err != nil || string(sse.Data(ev.Raw)) != want {
			t.Fatalf("%q %v, want %q", ev.Raw, err, want)
		}
	}
	if ev, err := nextEvent(reader); err != io.ErrUnexpectedEOF || len(ev.Raw) > 0 {
		t.Fatal(ev, err)
	}
	for _, text := range []string{"data: " + strings.Repeat("x", sse.MaxEventBytes), strings.Repeat("data: x\n", sse.MaxEventBytes/8)} {
		if _, err := nextEvent(sse.NewReader(strings.NewReader(text))); err != errEventTooLarge {
			t.Fatal(err)
		}
	}
}

// Guards the token debit and the prefix hashes: complete blocks of 256 characters,
// 4 characters a token, and the smaller of the two output limits.
func TestSetCompletion(t *testing.T) {
	prompt := strings.Repeat("é", 2*blockChars+1)
	p, err := ParseCompletion([]byte(`{"model":"m","prompt":"` + prompt + `","max_completion_tokens":70,"n":2}`))
	if err != nil {
		t.Fatal(err)
	}
	c := &Call{}
	if err := c.SetCompletion(p, 50); err != nil || c.PromptTokens != 129 || c.OutputTokens != 100 || c.Resumable ||
		len(c.PrefixHashes) != 2 || c.PrefixHashes[0] != PrefixHashes(prompt[:2*blockChars])[0] ||
		!strings.Contains(string(c.Body), `"max_tokens":50`) || strings.Contains(string(c.Body), "max_completion_tokens") {
		t.Fatalf("%+v %v", c, err)
	}
}

func sampleForwardRequest() *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{RequestId: "r1", Hop: 1, Team: "a", AllowedRegions: []string{"north"}, RemainingMs: 1000, Method: "POST",
		Path: "/v1/completions", Model: "m", Body: []byte(`{"model":"m","prompt":"x"}`), Headers: []*peerv1.Header{{Name: "X-Resume-Tokens", Value: []byte("3")}}}
}

// Guards the receiving side of a hop: for any message, a call is accepted only for
// one hop, in the local region, for a team and model or route that the receiver's
// configuration allows, and a refusal is always "not run".
func FuzzParseForward(f *testing.F) {
	e := &config.Config{
		Regions:   map[string]*config.Region{"north": {}, "south": {}},
		Residency: map[string]*config.Residency{"south": {Regions: map[string]bool{"south": true}}},
		Teams:     map[string]*config.Team{"a": {Name: "a"}, "b": {Name: "b", Residency: "south"}},
		Models:    map[string]*config.Model{"m": {Name: "m", MaxOutput: 9}},
		Services:  map[string]*config.Service{"s": {Name: "s"}},
		Routes:    []*config.Route{{Name: "open", Prefix: "/open", Service: "s", Open: true, Methods: map[string]bool{"GET": true}}},
	}
	seeds := []*peerv1.ForwardRequest{sampleForwardRequest(), sampleForwardRequest(), sampleForwardRequest(), sampleForwardRequest()}
	seeds[1].Hop, seeds[2].Team = 2, "b"
	seeds[3].Model, seeds[3].Route, seeds[3].Method, seeds[3].Path, seeds[3].Team = "", "open", "GET", "/open/x?y=1", ""
	for _, m := range seeds {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m peerv1.ForwardRequest
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		c, err := parseForward(e, "north", 1000, &m)
		if err != nil {
			if result.FromError(err).Ran != result.NotRun || result.FromError(err).Code == result.InternalError {
				t.Fatal(err)
			}
			return
		}
		p := c.Permit
		engine := p.Model == "m" && p.Team == "a" && c.Method == "POST" && c.OutputTokens > 0
		open := p.Route == "open" && c.Method == "GET" && strings.HasPrefix(c.Path, "/open")
		if m.GetHop() != 1 || len(p.AllowedRegions) != 1 || !p.AllowedRegions["north"] || p.Team == "b" || engine == open || !c.Prepaid || c.Header.Get("Authorization") != "" {
			t.Fatalf("accepted %+v as %+v", &m, c)
		}
	})
}
