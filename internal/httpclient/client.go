package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/httpframing"
)

// maxIdleConnsPerHost bounds the idle connections to an address for which
// Config.MaxConnsPerHost sets no bound.
const maxIdleConnsPerHost = 256

// UnboundedBody is the value of Config.MaxBody for clients whose callers bound what
// they hold of a body.
const UnboundedBody = -1

// Config of a client or transport. The bounds without a stated default must be set.
type Config struct {
	// ConnectTimeout bounds connecting, and then the TLS handshake.
	ConnectTimeout time.Duration
	// CallTimeout bounds a call with the reading of its body; 0 if the context of
	// each call does.
	CallTimeout time.Duration
	// MaxHead bounds the head of a response together with the informational
	// responses before it, in bytes.
	MaxHead int64
	// MaxBody bounds the body in bytes; reading more fails with an
	// *http.MaxBytesError. It has no effect on a transport.
	MaxBody int64
	// MaxConnsPerHost bounds the connections to one address; 0 for no bound.
	MaxConnsPerHost int
	// IdleTimeout is how long an unused connection is kept; 0 to use each
	// connection for one call.
	IdleTimeout time.Duration
	// KeepAlive configures the probes on connections; the zero value is the default
	// of package net.
	KeepAlive net.KeepAliveConfig
	// Dial replaces the dialer; ConnectTimeout and KeepAlive then have no effect on
	// connecting. Optional.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New returns a client. It does not follow redirects, because a target could send
// the call to an address that nobody published, and uses no proxy.
func New(c Config) *http.Client { return FromTransport(NewTransport(c), c) }

// Transport is an *http.Transport that returns no response with an invalid head; see
// httpframing.CheckHead and httpframing.ClientConn.
type Transport struct{ *http.Transport }

// expectHead announces the head of a response to the connection of its request.
func expectHead(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*httpframing.ClientConn); ok {
		c.ExpectHead()
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.Protocols == nil || t.Protocols.HTTP1() {
		// WithClientTrace adds the hooks of the context to those of the trace.
		req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: expectHead}))
	}
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := httpframing.CheckHead(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		// The connection of a response without a body is idle by now. Nothing that follows
		// on it may be taken for another response.
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// NewTransport returns a transport for callers that need more than a client does.
func NewTransport(c Config) *Transport {
	if c.ConnectTimeout <= 0 || c.MaxHead <= 0 {
		panic("httpclient: a bound is not set")
	}
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: c.ConnectTimeout, KeepAliveConfig: c.KeepAlive}).DialContext
	}
	maxIdle := c.MaxConnsPerHost
	if maxIdle == 0 {
		maxIdle = maxIdleConnsPerHost
	}
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return httpframing.NewClientConn(c), nil
		},
		TLSHandshakeTimeout:    c.ConnectTimeout,
		MaxResponseHeaderBytes: c.MaxHead,
		MaxConnsPerHost:        c.MaxConnsPerHost,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        c.IdleTimeout,
		DisableKeepAlives:      c.IdleTimeout == 0,
		// A compressed body may be many times as long as what is received.
		DisableCompression: true,
	}}
}

// FromTransport returns a client like New that uses t, which NewTransport made. Of c
// only CallTimeout and MaxBody apply.
func FromTransport(t *Transport, c Config) *http.Client {
	client := &http.Client{
		Transport:     t,
		Timeout:       c.CallTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	if c.MaxBody != UnboundedBody {
		client.Transport = boundedBodies{t, c.MaxBody}
	}
	return client
}

// boundedBodies bounds the bodies of responses.
type boundedBodies struct {
	*Transport
	maxBody int64
}

// RoundTrip implements http.RoundTripper.
func (b boundedBodies) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := b.Transport.RoundTrip(req)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, b.maxBody)
	}
	return resp, err
}
