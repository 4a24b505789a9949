package peerapi

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

const (
	dialTimeout = 2 * time.Second
	// fastDialTimeout leaves time for one lost packet between regions.
	fastDialTimeout = 1200 * time.Millisecond
	idleTimeout     = 90 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes make the kernels notice
	// within about ackTimeout that an idle connection is dead.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
	// ackTimeout is how long what was sent on a dialed connection may stay
	// unacknowledged by the kernel of the peer. It covers two lost packets in a row
	// between regions. The kernel also applies it to a peer that leaves its receive
	// buffer full, so accepted connections, on which responses are sent, do not set it.
	ackTimeout = 2 * time.Second
	// sendPingTimeout is the time without received frames after which the process of
	// the peer is checked by a ping. It is longer than ackTimeout, because a ping on an
	// idle connection would restart that time.
	sendPingTimeout = 3 * time.Second
	// pingTimeout is how long the reply may take. A process that is short of processor
	// time replies seconds late, and closing the connection cuts all its responses.
	pingTimeout = 6 * time.Second
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
	return NewClientsWithDial(p, newDialer(dialTimeout).DialContext)
}

// NewFastFailClients returns a pool that uses plain text and gives up connecting soon.
func NewFastFailClients() *Clients {
	c, err := NewClientsWithDial(settings.Peers{Insecure: true}, newDialer(fastDialTimeout).DialContext)
	if err != nil {
		panic(err) // unreachable: an insecure pool reads no certificates
	}
	return c
}

// newDialer returns a dialer for connections whose loss the kernel detects, whether or
// not the processes on both sides get processor time.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setAckTimeout,
	}
}

// setAckTimeout is a net.Dialer.Control function.
func setAckTimeout(_, _ string, raw syscall.RawConn) (err error) {
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
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
