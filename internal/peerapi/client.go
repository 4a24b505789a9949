package peerapi

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

const (
	dialTimeout = 2 * time.Second
	// shortDialTimeout covers one lost packet between regions.
	shortDialTimeout = 1200 * time.Millisecond
	idleTimeout      = 90 * time.Second
	// pingAfter is the silence after which a connection is checked; without it
	// a cut link would be noticed only by the deadline of each call.
	pingAfter   = 5 * time.Second
	pingTimeout = 3 * time.Second
	// shortPingAfter and shortPingTimeout replace them where links are known to
	// go silent: a round trip between regions and two lost packets.
	shortPingAfter   = time.Second
	shortPingTimeout = time.Second
	// streamWindow bounds the bytes of one stream that wait unread in this
	// process. The default of net/http is 4 MB, which a slow caller could fill.
	streamWindow = 64 << 10
	// connWindow is shared by the calls on a connection; in a smaller one, streams
	// that nobody reads would stop all other calls to the peer.
	connWindow = maxPeerStreams * streamWindow
	// maxMessage bounds one message in bytes; an edition is at most 1 MB.
	maxMessage = 20 << 20
	// maxClients bounds the pool; addresses come from the instance list.
	maxClients = 4096
)

// Clients is a pool of clients by peer address. Connections are shared by all
// calls to one address.
type Clients struct {
	transport *http.Transport
	scheme    string
	mu        struct {
		sync.Mutex
		byAddress map[string]peerv1connect.PeerClient
	}
}

// Dial opens a connection to a peer address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClients returns a pool that uses mutual TLS, or plain text if p.Insecure.
func NewClients(p settings.Peers) (*Clients, error) {
	return NewClientsWithDial(p, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewImpatientClients returns a pool in plain text that notices a silent
// connection within about two seconds.
func NewImpatientClients() *Clients {
	c, err := NewClientsWithDial(settings.Peers{Insecure: true}, (&net.Dialer{Timeout: shortDialTimeout}).DialContext)
	if err != nil {
		panic(err) // without certificates there is nothing to fail
	}
	c.transport.HTTP2.SendPingTimeout, c.transport.HTTP2.PingTimeout = shortPingAfter, shortPingTimeout
	return c
}

// NewClientsWithDial is NewClients with connections opened by dial.
func NewClientsWithDial(p settings.Peers, dial Dial) (*Clients, error) {
	c := &Clients{scheme: "https"}
	c.mu.byAddress = map[string]peerv1connect.PeerClient{}
	c.transport = &http.Transport{
		DialContext:           dial,
		TLSHandshakeTimeout:   dialTimeout,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: 0, // calls carry their own deadline
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connWindow,
		},
		Protocols: new(http.Protocols),
	}
	if p.Insecure {
		c.scheme = "http"
		c.transport.Protocols.SetUnencryptedHTTP2(true)
		return c, nil
	}
	conf, err := tlsConfig(p)
	if err != nil {
		return nil, err
	}
	c.transport.TLSClientConfig = conf
	c.transport.Protocols.SetHTTP2(true)
	return c, nil
}

// Client returns the client for a peer address (IP:port).
func (c *Clients) Client(address string) peerv1connect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.mu.byAddress[address]; ok {
		return client
	}
	if len(c.mu.byAddress) >= maxClients {
		clear(c.mu.byAddress)
	}
	client := peerv1connect.NewPeerClient(&http.Client{Transport: c.transport}, c.scheme+"://"+address,
		connect.WithReadMaxBytes(maxMessage), connect.WithSendMaxBytes(maxMessage))
	c.mu.byAddress[address] = client
	return client
}

// Close closes idle connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }

// tlsConfig reads the files of mutual TLS. The same authority signs clients
// and servers; names are not compared, because peers are addressed by IP and
// the authority issues certificates to instances only.
func tlsConfig(p settings.Peers) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the peer certificate")
	}
	pem, err := os.ReadFile(p.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("the peer authority file holds no certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// The chain is verified in VerifyConnection, without the name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s, pool)
		},
	}, nil
}

func verifyChain(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	rest := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		rest.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: rest, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify the peer certificate")
}
