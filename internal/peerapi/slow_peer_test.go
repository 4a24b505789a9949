package peerapi_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonhill/wigeonhill/internal/gateway"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// stallTime is shorter than what a client and a server wait for the reply to a ping.
const stallTime = 3500 * time.Millisecond

// streamPeer sends messages of 16 KB, the first one at once and the others when more is
// closed.
type streamPeer struct {
	peerv1connect.UnimplementedPeerHandler
	more     chan struct{}
	messages int
}

func (p *streamPeer) Forward(ctx context.Context, _ *connect.Request[peerv1.ForwardRequest], s *connect.ServerStream[peerv1.ForwardResponse]) error {
	for n := range p.messages {
		if n == 1 {
			select {
			case <-p.more:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := s.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: make([]byte, 16<<10)}}); err != nil {
			return err
		}
	}
	return nil
}

// acceptedConns is a listener that reports its connections.
type acceptedConns struct {
	net.Listener
	conns chan net.Conn
}

func (l *acceptedConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		select {
		case l.conns <- c:
		default:
		}
	}
	return c, err
}

// serve starts a server of the peer protocol on the kind of listener that instances use.
func serve(t *testing.T, h peerv1connect.PeerHandler) *acceptedConns {
	t.Helper()
	srv, err := peerapi.NewServer(settings.Peers{Insecure: true}, h)
	if err != nil {
		t.Fatal(err)
	}
	l, err := gateway.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := &acceptedConns{l, make(chan net.Conn, 1)}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := srv.Serve(accepted); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-served
	})
	return accepted
}

// stallingRelay relays connections to a server. While stall is locked it neither reads
// nor writes, but the kernel acknowledges what fits into its buffers.
type stallingRelay struct {
	net.Listener
	stall sync.RWMutex
}

// smallBuffer is a net.Dialer.Control function. The receive buffer is smaller than the
// window of a stream, and holds several segments so that it reopens at once.
func smallBuffer(_, _ string, raw syscall.RawConn) (err error) {
	if ctlErr := raw.Control(func(fd uintptr) {
		err = errors.CombineErrors(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1400))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

func relayTo(t *testing.T, server string) *stallingRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &stallingRelay{Listener: l}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := (&net.Dialer{Control: smallBuffer}).Dial("tcp", server)
			if err != nil {
				t.Error(err)
				_ = in.Close()
				return
			}
			all.Go(func() { r.relay(in, out) })
			all.Go(func() { r.relay(out, in) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		all.Wait()
	})
	return r
}

func (r *stallingRelay) relay(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		r.stall.RLock()
		_, writeErr := to.Write(buf[:n])
		r.stall.RUnlock()
		if err != nil || writeErr != nil {
			return
		}
	}
}

// Guards against responses that are cut because a process gets no processor time for
// seconds, which says nothing about its link; also while it leaves its buffers full.
func TestStalledProcessDoesNotCutResponses(t *testing.T) {
	for name, messages := range map[string]int{"idle": 2, "full buffers": 32} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peer := &streamPeer{more: make(chan struct{}), messages: messages}
			relay := relayTo(t, serve(t, peer).Addr().String())
			clients := peerapi.NewFastFailClients()
			defer clients.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			s, err := clients.Client(relay.Addr().String()).Forward(ctx, connect.NewRequest(&peerv1.ForwardRequest{}))
			if err != nil {
				t.Fatal(err)
			}
			received := 0
			for ; s.Receive(); received++ {
				if received == 0 {
					relay.stall.Lock()
					close(peer.more)
					time.Sleep(stallTime)
					relay.stall.Unlock()
				}
			}
			if s.Err() != nil || received != messages {
				t.Errorf("%d of %d messages: %v", received, messages, s.Err())
			}
			_ = s.Close()
		})
	}
}

// dropArriving makes the kernel drop all that arrives on c without an acknowledgement,
// as if the link of its peer were dead.
func dropArriving(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	}); ctlErr != nil || err != nil {
		t.Fatal(ctlErr, err)
	}
}

// Guards against a dead link that only a timer of this process notices: the kernel
// notices it first, both while the client only receives and while it sends.
func TestKernelDetectsDeadLink(t *testing.T) {
	for name, sends := range map[string]bool{"receiving": false, "sending": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := serve(t, &streamPeer{more: make(chan struct{}), messages: 2})
			clients := peerapi.NewFastFailClients()
			defer clients.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			client := clients.Client(l.Addr().String())
			s, err := client.Forward(ctx, connect.NewRequest(&peerv1.ForwardRequest{}))
			if err != nil || !s.Receive() {
				t.Fatal(err)
			}
			dropArriving(t, <-l.conns)
			cutAt := time.Now()
			if sends {
				_, err := client.Probe(ctx, connect.NewRequest(&peerv1.ProbeRequest{}))
				checkTimedOut(t, err)
			}
			if s.Receive() {
				t.Error("a message over a dead link")
			}
			checkTimedOut(t, s.Err())
			t.Logf("detected after %s", time.Since(cutAt).Round(10*time.Millisecond))
			_ = s.Close()
		})
	}
}

func checkTimedOut(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("got %v, want the kernel's time-out", err)
	}
}
