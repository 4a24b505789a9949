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
	headerTimeout = 5 * time.Second
	maxHeader     = 16 << 10
	// maxPeerStreams bounds the calls of one peer connection; the default of
	// 250 would be reached by one busy neighbour.
	maxPeerStreams = 4096
	// minCompress is the smallest message that is compressed, in bytes. It is
	// meant for editions; connect compresses every answer by default, which costs
	// more than the rest of a streamed token.
	minCompress = 64 << 10
)

// NewServer returns the HTTP/2 server of the inner protocol. The caller listens
// and calls Serve, or ServeTLS with empty file names if p is not insecure.
func NewServer(p settings.Peers, h peerv1connect.PeerHandler) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(h,
		connect.WithReadMaxBytes(maxMessage), connect.WithSendMaxBytes(maxMessage), connect.WithCompressMinBytes(minCompress)))
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxHeader,
		// Handshakes of strangers would fill the log; calls that fail are logged
		// by the packages that make them.
		ErrorLog: log.New(io.Discard, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxPeerStreams,
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connWindow,
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
