package peerapi

import (
	"io"
	"log"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 16 << 10
	// maxPeerStreams bounds the concurrent calls on one peer connection; one busy
	// peer would reach the default of 250.
	maxPeerStreams = 4096
	// minCompressBytes is the smallest message that is compressed, chosen so that
	// configuration versions are. By default, connect compresses every response,
	// which costs more than all other work for a streamed token.
	minCompressBytes = 64 << 10
)

// NewServer returns the HTTP/2 server of the peer protocol. It does not listen:
// call Serve, or ServeTLS with empty file names if p is not insecure.
func NewServer(p settings.Peers, h peerv1connect.PeerHandler) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(h,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes)))
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Failed handshakes of clients that are not peers would fill the log;
		// failed calls are logged by the packages that make them.
		ErrorLog: log.New(io.Discard, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxPeerStreams,
			SendPingTimeout:               sendPingTimeout,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindowBytes,
			MaxReceiveBufferPerConnection: connWindowBytes,
		},
		Protocols: new(http.Protocols),
	}
	if p.Insecure {
		srv.Protocols.SetUnencryptedHTTP2(true)
		return srv, nil
	}
	conf, err := tlsConfig(p)
	if err != nil {
		return nil, err
	}
	srv.TLSConfig = conf
	srv.Protocols.SetHTTP2(true)
	return srv, nil
}
