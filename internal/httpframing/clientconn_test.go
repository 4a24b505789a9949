package httpframing_test

import (
	"io"
	"net"
	"slices"
	"strings"
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
				go func() {
					// The peer of a connection that is reset at once fails to open it.
					_, _ = io.ReadFull(c, make([]byte, 1))
					standin.AnswerUpload(c, "answer", end)
				}()
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

// A line that begins with a blank is found wherever a read ends, in the head only.
func TestFoldedLinesAreFound(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nA: b\r\n"
	for text, found := range map[string]bool{
		head + "\r\n x\r\n y":         false,
		head + " c\r\n\r\n":           true,
		head + "\tc: d\r\n\r\n":       true,
		head + "C:\r\n\r\n":           false,
		"HTTP/1.1 200 OK\n c\n\n":     true,
		"HTTP/1.1 200 OK\nA: b\n\n c": false,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head + "\r\n x":     false,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n c\r\n\r\n" + head + "\r\n": true,
		"HTTP/1.1 100 Continue\r\n\r\n" + head + " c\r\n\r\n":            true,
	} {
		for size := 1; size <= len(text); size++ {
			client, server := net.Pipe()
			c := httpframing.NewClientConn(client)
			c.ExpectHead()
			go func() {
				for part := range slices.Chunk([]byte(text), size) {
					_, _ = server.Write(part)
				}
				_ = server.Close()
			}()
			got, err := io.ReadAll(c)
			if _, again := c.Read(make([]byte, 1)); found && again == nil {
				t.Errorf("%q in parts of %d bytes: read on behind a folded line", text, size)
			}
			if (err != nil) != found || !found && string(got) != text || !strings.HasPrefix(text, string(got)) {
				t.Errorf("%q in parts of %d bytes: read %q, error %v", text, size, got, err)
			}
			_ = c.Close()
		}
	}
}
