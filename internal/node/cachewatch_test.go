package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	routing1 "github.com/wigeonhill/wigeonhill/internal/routing"
)

// Guards against an engine that is never asked, one that was not used and is
// asked, and events that are read twice or, after a restart, never.
func TestCacheWatch(t *testing.T) {
	var asked []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.Query().Get("after"))
		fmt.Fprint(w, `{"events":[{"seq":4,"kind":"stored","prefix_hash":18446744073709551615},{"seq":5,"kind":"evicted","prefix_hash":2}]}`)
	}))
	defer srv.Close()
	now := time.Unix(0, 0)
	var got []routing1.CacheEvent
	w := newCacheWatch(
		func(string) string { return strings.TrimPrefix(srv.URL, "http://") },
		func(_ string, events []routing1.CacheEvent) { got = append(got, events...) })
	w.now = func() time.Time { return now }
	if w.next() != "" {
		t.Fatal("asked an engine that was not used")
	}
	w.note("b", false)
	w.note("a", false)
	if x, y, z := w.next(), w.next(), w.next(); x != "a" || y != "b" || z != "a" {
		t.Fatalf("asked %s, %s, %s", x, y, z)
	}
	ctx := context.Background()
	w.ask(ctx, "a")
	w.ask(ctx, "a")
	w.note("a", true)
	w.ask(ctx, "a")
	if strings.Join(asked, " ") != "0 5 0" {
		t.Fatalf("asked after %v", asked)
	}
	if len(got) != 6 || got[0] != (routing1.CacheEvent{Seq: 4, Stored: true, Hash: 1<<64 - 1}) || got[1].Stored {
		t.Fatalf("events %+v", got)
	}
	now = now.Add(cacheRecent + time.Second)
	if w.next() != "" {
		t.Fatal("asked an engine that is no longer used")
	}
}
