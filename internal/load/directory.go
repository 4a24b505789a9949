package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

const (
	// defaultLifetime applies to a directory response without a lifetime.
	defaultLifetime  = 5 * time.Second
	directoryTimeout = 3 * time.Second
)

// entryPoint is an instance in a directory response, which lists instances in
// the order in which a caller tries them.
type entryPoint struct {
	Address   string `json:"address"`
	KeyPrefix string `json:"idempotency_key_prefix"`
}

type directoryResponse struct {
	LifetimeMs int64        `json:"lifetime_ms"`
	Instances  []entryPoint `json:"instances"`
}

// directory caches the directory response of one caller.
type directory struct {
	client *http.Client
	query  string
	key    string
	// lookupAddresses are the addresses from which the directory is fetched,
	// those of the local region first.
	lookupAddresses []string
	mu              struct {
		sync.Mutex
		entryPoints []entryPoint
		expires     time.Time
	}
}

func newDirectory(client *http.Client, p *Plan, id callerID, key string) *directory {
	d := &directory{client: client, key: key}
	d.query = url.Values{"region": {id.region}, "caller": {fmt.Sprintf("%s-%s-%d", id.region, id.team, id.index)}}.Encode()
	for _, local := range []bool{true, false} {
		for _, in := range p.Instances {
			if (in.Region == id.region) == local {
				d.lookupAddresses = append(d.lookupAddresses, in.Callers)
			}
		}
	}
	return d
}

// expire makes the next call of get fetch the directory again.
func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.expires = time.Time{}
}

// get returns the entry points in the order in which to try them. It fetches
// the directory when the lifetime has expired, and keeps the old entry points if
// no instance responds.
func (d *directory) get(ctx context.Context) ([]entryPoint, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.mu.expires) {
		return d.mu.entryPoints, nil
	}
	var errs error
	for _, address := range d.lookupAddresses {
		listing, err := d.fetch(ctx, address)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		lifetime := time.Duration(listing.LifetimeMs) * time.Millisecond
		if lifetime <= 0 {
			lifetime = defaultLifetime
		}
		d.mu.entryPoints, d.mu.expires = listing.Instances, time.Now().Add(lifetime)
		return d.mu.entryPoints, nil
	}
	if d.mu.entryPoints != nil {
		return d.mu.entryPoints, nil
	}
	return nil, fmt.Errorf("no instance responded to /v1/directory: %w", errs)
}

func (d *directory) fetch(ctx context.Context, address string) (*directoryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/directory?"+d.query, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", address, resp.Status)
	}
	listing := &directoryResponse{}
	if err := json.NewDecoder(resp.Body).Decode(listing); err != nil {
		return nil, err
	}
	if len(listing.Instances) == 0 {
		return nil, fmt.Errorf("%s: directory lists no instances", address)
	}
	return listing, nil
}

// idempotencyKey returns a key with the key prefix of an instance. The request's
// tag, which is unique, takes the place of a random suffix.
func idempotencyKey(prefix string, tag standin.Tag) string {
	return prefix + "booking-" + tag.ID
}
