package confservice

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/httpframing"
)

// Names of the published values.
const (
	ConfigName       = "table"
	InstanceListName = "instances"
)

// Limits of one call.
const (
	maxValueBytes  = 1_000_000 // bytes; the service stores no more
	readTimeout    = 5 * time.Second
	waitMargin     = 5 * time.Second // for the response after the wait
	connectTimeout = 2 * time.Second
	maxHeadBytes   = 16 << 10
	maxConns       = 4
	idleTimeout    = time.Minute
)

// ErrNotFound is returned for a value that is not published.
var ErrNotFound = errors.New("the configuration service has no such value")

// Value is a published text with its revision.
type Value struct {
	Revision int64
	Text     []byte
}

// Client calls the configuration service. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	calls      struct{ reads, waits, failures, bytes atomic.Uint64 }
}

// NewClient returns a Client of the service at the base URL.
func NewClient(base string) *Client {
	return &Client{baseURL: strings.TrimSuffix(base, "/"), httpClient: httpclient.New(httpclient.Config{
		ConnectTimeout: connectTimeout, MaxHead: maxHeadBytes, MaxBody: maxValueBytes, MaxConnsPerHost: maxConns, IdleTimeout: idleTimeout,
	})}
}

// CallCounts counts calls since the start of the process.
type CallCounts struct {
	Reads, Waits, Failures uint64
	Bytes                  uint64 // received in responses
}

// CallCounts returns the counters of this client.
func (c *Client) CallCounts() CallCounts {
	return CallCounts{c.calls.reads.Load(), c.calls.waits.Load(), c.calls.failures.Load(), c.calls.bytes.Load()}
}

// Read returns the current value.
func (c *Client) Read(ctx context.Context, name string) (Value, error) {
	c.calls.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v, _, err := c.get(ctx, "/v1/values/"+name)
	return v, err
}

// Wait returns the value once its revision is higher than after, by a long poll.
// ok is false if the revision stayed the same for the duration of wait.
func (c *Client) Wait(ctx context.Context, name string, after int64, wait time.Duration) (v Value, ok bool, err error) {
	c.calls.waits.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	v, modified, err := c.get(ctx, fmt.Sprintf("/v1/values/%s?after=%d&wait_ms=%d", name, after, wait.Milliseconds()))
	if err == nil && modified && v.Revision <= after {
		c.calls.failures.Add(1)
		return Value{}, false, errors.Newf("the configuration service returned revision %d to a wait for a revision above %d", v.Revision, after)
	}
	return v, modified, err
}

func (c *Client) get(ctx context.Context, path string) (v Value, modified bool, err error) {
	defer func() {
		if err != nil && !errors.Is(err, ErrNotFound) {
			c.calls.failures.Add(1)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return Value{}, false, errors.Wrap(err, "building the request")
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return Value{}, false, errors.Wrap(err, "calling the configuration service")
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, false, nil
	case http.StatusNotFound:
		return Value{}, false, ErrNotFound
	default:
		return Value{}, false, errors.Newf("the configuration service returned status %s", res.Status)
	}
	v.Revision, err = strconv.ParseInt(res.Header.Get("X-Revision"), 10, 64)
	if err != nil || v.Revision <= 0 {
		return Value{}, false, errors.Newf("the configuration service returned invalid revision %q", res.Header.Get("X-Revision"))
	}
	if httpframing.EndsWithConnection(res) {
		return Value{}, false, errors.New("the response of the configuration service has no length, so it cannot be told from a part of it")
	}
	v.Text, err = io.ReadAll(res.Body)
	c.calls.bytes.Add(uint64(len(v.Text)))
	if err != nil {
		return Value{}, false, errors.Wrap(err, "reading the response of the configuration service")
	}
	return v, true, nil
}
