package httpframing_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/httpframing"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

func dial(t *testing.T, l net.Listener) *httpframing.ClientConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return httpframing.NewClientConn(c)
}

// A reader gets io.EOF if and only if the peer has ended its side of the connection, also
// if the writer meets a reset, before or after that.
func TestReaderLearnsOfReset(t *testing.T) {
	for end, wantErr := range map[standin.UploadEnd]bool{standin.ResetUpload: true, standin.FinishUpload: false, standin.AbandonUpload: false} {
		l, err := standin.ListenForUploads()
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go standin.AnswerUpload(c, "answer", end)
			}
		}()
		for range 100 {
			c := dial(t, l)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = c.Write(make([]byte, 8<<20))
			}()
			got, err := io.ReadAll(c)
			if (err != nil) != wantErr || string(got) != "answer" {
				t.Errorf("end %d: read %q, error %v", end, got, err)
			}
			_ = c.Close()
			<-written
		}
		_ = l.Close()
	}
}

// The end of a response does not wait for the rest of a request that the peer does not
// read.
func TestEndOfResponseDoesNotWaitForRequest(t *testing.T) {
	l, err := standin.ListenForUploads()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := dial(t, l)
	defer c.Close()
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil { // the write is under way
		t.Fatal(err)
	}
	_, _ = io.WriteString(peer, "answer")
	_ = peer.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(c); err != nil || string(got) != "answer" {
		t.Errorf("read %q, error %v", got, err)
	}
	if err := <-written; err == nil {
		t.Error("a request was written whole that nobody has read")
	}
}

func TestSyscallConn(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	if _, err := httpframing.NewClientConn(a).SyscallConn(); err == nil {
		t.Error("a pipe has a descriptor")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := dial(t, l)
	defer c.Close()
	if _, err := syscall.Conn(c).SyscallConn(); err != nil {
		t.Error(err)
	}
}
