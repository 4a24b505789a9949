package confservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxCacheEventsBytes bounds one response of an engine.
const maxCacheEventsBytes = 256 << 10

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	Kind       string `json:"kind"` // stored or evicted
	PrefixHash uint64 `json:"prefix_hash"`
}

// CacheEventStored is the kind of an event that adds a block to the cache.
const CacheEventStored = "stored"

// FetchCacheEvents returns the cache events of the engine at address whose
// sequence number is higher than after. The client's timeout and ctx bound the
// call.
func FetchCacheEvents(ctx context.Context, client *http.Client, address string, after uint64) ([]CacheEvent, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/cache-events?after=%d", address, after), nil)
	if err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("cache events: status %d", resp.StatusCode)
	}
	var body struct {
		Events []CacheEvent `json:"events"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxCacheEventsBytes)).Decode(&body); err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	return body.Events, nil
}
