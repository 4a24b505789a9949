package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/routing"
)

// Guards against engines in use that are never polled, polls of engines that are
// not in use, and events that are applied twice or, after a restart of the
// engine, never.
func TestCachePoller(t *testing.T) {
	var afterParams []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		afterParams = append(afterParams, r.URL.Query().Get("after"))
		fmt.Fprint(w, `{"events":[{"seq":4,"kind":"stored","prefix_hash":18446744073709551615},{"seq":5,"kind":"evicted","prefix_hash":2}]}`)
	}))
	defer srv.Close()
	now := time.Unix(0, 0)
	var applied []routing.CacheEvent
	poller := newCachePoller(
		func(string) string { return strings.TrimPrefix(srv.URL, "http://") },
		func(_ string, events []routing.CacheEvent) { applied = append(applied, events...) })
	poller.now = func() time.Time { return now }
	if poller.nextTarget() != "" {
		t.Fatal("polled an engine that was not used")
	}
	poller.recordUse("b", false)
	poller.recordUse("a", false)
	if x, y, z := poller.nextTarget(), poller.nextTarget(), poller.nextTarget(); x != "a" || y != "b" || z != "a" {
		t.Fatalf("polled %s, %s, %s", x, y, z)
	}
	ctx := context.Background()
	poller.poll(ctx, "a")
	poller.poll(ctx, "a")
	poller.recordUse("a", true)
	poller.poll(ctx, "a")
	if strings.Join(afterParams, " ") != "0 5 0" {
		t.Fatalf("fetched events after %v", afterParams)
	}
	if len(applied) != 6 || applied[0] != (routing.CacheEvent{Seq: 4, Stored: true, Hash: 1<<64 - 1}) || applied[1].Stored {
		t.Fatalf("applied events %+v", applied)
	}
	now = now.Add(cachePollWindow + time.Second)
	if poller.nextTarget() != "" {
		t.Fatal("polled an engine that is no longer used")
	}
}
