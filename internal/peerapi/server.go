package peerapi

import (
	"encoding/binary"
	"io"
	"log"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

const (
	// CallBytes is the memory that a call takes until its message has arrived: what
	// HTTP/2 buffers of it, and a goroutine.
	CallBytes = streamWindowBytes + 32<<10
	// MessageFactor is the memory that a message takes for each of its bytes: a buffer
	// that grows by doubling, and the decoded message.
	MessageFactor  = 3
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
		Handler:           reportRefusals(mux),
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

// notReadHeader is set in the error of a call whose message was refused before it was
// read whole, so that it cannot have run.
const notReadHeader = "Wigeonhill-Not-Read"

// reportRefusals makes calls whose message the intake refuses end with an error for
// which NotRead is true.
func reportRefusals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shallow := *r
		kind := r.Header.Get("Content-Type")
		shallow.Body = &messageBody{ReadCloser: r.Body, hasPrefix: strings.HasPrefix(kind, "application/connect+") || strings.HasPrefix(kind, "application/grpc")}
		next.ServeHTTP(w, &shallow)
	})
}

// prefixBytes is the size of what precedes a message: a byte of flags and the length.
const prefixBytes = 5

type messageBody struct {
	io.ReadCloser
	// hasPrefix is set for streams; messages of unary calls have no prefix.
	hasPrefix bool
	// prefix is what was read of the prefix of the first message.
	prefix []byte
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.hasPrefix && len(b.prefix) < prefixBytes {
		b.prefix = append(b.prefix, p[:min(n, prefixBytes-len(b.prefix))]...)
		// A message that does not fit is refused before most of it is read in vain.
		if len(b.prefix) == prefixBytes && !intake.Fits(b.ReadCloser, int64(binary.BigEndian.Uint32(b.prefix[1:]))) {
			err = intake.ErrNoMemory
		}
	}
	if errors.Is(err, intake.ErrNoMemory) || errors.Is(err, intake.ErrTooSlow) {
		refused := connect.NewError(connect.CodeResourceExhausted, err)
		refused.Meta().Set(notReadHeader, "1")
		return 0, refused
	}
	return n, err
}

// NotRead reports whether err says that the receiver refused the message of a call
// before it had read it whole.
func NotRead(err error) bool {
	var refused *connect.Error
	return errors.As(err, &refused) && refused.Meta().Get(notReadHeader) != ""
}
