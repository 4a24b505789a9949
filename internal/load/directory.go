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
	// defaultLifetime applies to a directory that states none.
	defaultLifetime = 5 * time.Second
	directoryWait   = 3 * time.Second
)

// entryPoint is an instance in the order of the directory.
type entryPoint struct {
	Address   string `json:"address"`
	KeyPrefix string `json:"idempotency_key_prefix"`
}

type directoryAnswer struct {
	LifetimeMs int64        `json:"lifetime_ms"`
	Instances  []entryPoint `json:"instances"`
}

// directory keeps the order that callers of one region and team follow.
type directory struct {
	client *http.Client
	query  string
	key    string
	// first lists the instances to ask: those of the own region, then others.
	first []string
	mu    struct {
		sync.Mutex
		order   []entryPoint
		expires time.Time
	}
}

func newDirectory(client *http.Client, p *Plan, id callerID, key string) *directory {
	d := &directory{client: client, key: key}
	d.query = url.Values{"region": {id.region}, "caller": {fmt.Sprintf("%s-%s-%d", id.region, id.team, id.client)}}.Encode()
	for _, own := range []bool{true, false} {
		for _, in := range p.Instances {
			if (in.Region == id.region) == own {
				d.first = append(d.first, in.Callers)
			}
		}
	}
	return d
}

// expire makes the next request ask again.
func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.expires = time.Time{}
}

// get returns the order; it asks again when the lifetime is over and keeps the
// old order if no instance answers.
func (d *directory) get(ctx context.Context) ([]entryPoint, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.mu.expires) {
		return d.mu.order, nil
	}
	var last error
	for _, address := range d.first {
		a, err := d.ask(ctx, address)
		if err != nil {
			last = errors.Join(last, err)
			continue
		}
		lifetime := time.Duration(a.LifetimeMs) * time.Millisecond
		if lifetime <= 0 {
			lifetime = defaultLifetime
		}
		d.mu.order, d.mu.expires = a.Instances, time.Now().Add(lifetime)
		return d.mu.order, nil
	}
	if d.mu.order != nil {
		return d.mu.order, nil
	}
	return nil, fmt.Errorf("no instance answers /v1/directory: %w", last)
}

func (d *directory) ask(ctx context.Context, address string) (*directoryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryWait)
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
	a := &directoryAnswer{}
	if err := json.NewDecoder(resp.Body).Decode(a); err != nil {
		return nil, err
	}
	if len(a.Instances) == 0 {
		return nil, fmt.Errorf("%s: empty directory", address)
	}
	return a, nil
}

// idempotencyKey adds the random part of a key to the prefix of an instance;
// the part is the request's tag, which is unique.
func idempotencyKey(prefix string, t standin.Tag) string {
	return prefix + "booking-" + t.ID
}
