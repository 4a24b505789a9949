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

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

const (
	dialTimeout = 2 * time.Second
	// fastDialTimeout leaves time for one lost packet between regions.
	fastDialTimeout = 1200 * time.Millisecond
	idleTimeout     = 90 * time.Second
	// sendPingTimeout is the time without received frames after which a
	// connection is checked by a ping. Without pings, a broken link would be
	// detected only by the deadline of each call.
	sendPingTimeout = 5 * time.Second
	pingTimeout     = 3 * time.Second
	// fastSendPingTimeout and fastPingTimeout replace them where links are known
	// to become unresponsive. They leave time for a round trip between regions and
	// two lost packets.
	fastSendPingTimeout = time.Second
	fastPingTimeout     = time.Second
	// streamWindowBytes is the flow-control window of one stream: it bounds the
	// bytes that wait unread in this process. The default of net/http is 4 MB,
	// which a slow caller could fill.
	streamWindowBytes = 64 << 10
	// connWindowBytes is the flow-control window that the calls on a connection
	// share. If it were smaller, streams that nobody reads would block all other
	// calls to the peer.
	connWindowBytes = maxPeerStreams * streamWindowBytes
	// maxMessageBytes bounds one message; a configuration version is at most 1 MB.
	maxMessageBytes = 20 << 20
	// maxClients bounds the pool; addresses come from the instance list.
	maxClients = 4096
)

// Clients is a pool of clients, one for each peer address. All calls to an
// address share its connections.
type Clients struct {
	transport *httpclient.Transport
	scheme    string
	mu        struct {
		sync.Mutex
		byAddress map[string]peerv1connect.PeerClient
	}
}

// DialFunc opens a connection to a peer address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClients returns a pool that uses mutual TLS, or plain text if p.Insecure.
func NewClients(p settings.Peers) (*Clients, error) {
	return NewClientsWithDial(p, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewFastFailClients returns a pool that uses plain text and detects an
// unresponsive connection within about two seconds.
func NewFastFailClients() *Clients {
	c, err := NewClientsWithDial(settings.Peers{Insecure: true}, (&net.Dialer{Timeout: fastDialTimeout}).DialContext)
	if err != nil {
		panic(err) // unreachable: an insecure pool reads no certificates
	}
	c.transport.HTTP2.SendPingTimeout, c.transport.HTTP2.PingTimeout = fastSendPingTimeout, fastPingTimeout
	return c
}

// NewClientsWithDial is NewClients with connections opened by dial.
func NewClientsWithDial(p settings.Peers, dial DialFunc) (*Clients, error) {
	c := &Clients{scheme: "https"}
	c.mu.byAddress = map[string]peerv1connect.PeerClient{}
	c.transport = httpclient.NewTransport(clientConfig(dial))
	c.transport.HTTP2 = &http.HTTP2Config{
		SendPingTimeout:               sendPingTimeout,
		PingTimeout:                   pingTimeout,
		MaxReceiveBufferPerStream:     streamWindowBytes,
		MaxReceiveBufferPerConnection: connWindowBytes,
	}
	c.transport.Protocols = new(http.Protocols)
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

// clientConfig bounds the calls to peers. Each call has a deadline of its own, and
// connect bounds its messages. dial may be nil where only the client is made.
func clientConfig(dial DialFunc) httpclient.Config {
	return httpclient.Config{ConnectTimeout: dialTimeout, MaxHead: maxHeaderBytes, MaxBody: httpclient.UnboundedBody, IdleTimeout: idleTimeout, Dial: dial}
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
	client := peerv1connect.NewPeerClient(httpclient.FromTransport(c.transport, clientConfig(nil)), c.scheme+"://"+address,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
	c.mu.byAddress[address] = client
	return client
}

// Close closes idle connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }

// tlsConfig reads the certificate files and returns the configuration of mutual
// TLS, for clients and for servers. One CA signs both. Host names are not
// verified, because peers are addressed by IP and the CA issues certificates to
// instances only.
func tlsConfig(p settings.Peers) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the peer certificate")
	}
	pem, err := os.ReadFile(p.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the peer authority file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("the peer authority file contains no certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// VerifyConnection verifies the chain, without the host name.
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
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify the peer certificate")
}
