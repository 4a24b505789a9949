package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// uploadReceiveBuffer is the receive buffer of a listener for uploads, in bytes.
	uploadReceiveBuffer = 4 << 10
	// resetDelay lets a response arrive before its connection is reset.
	resetDelay = 2 * time.Millisecond
)

// ListenForUploads listens on a free port of the loopback address. Its receive buffer is
// small, so that a request of a few MB cannot be written whole before it is read.
func ListenForUploads() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if ctlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, uploadReceiveBuffer)
		}); ctlErr != nil {
			return ctlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// UploadEnd is what a target does with a connection after it has answered an upload
// that it has not read.
type UploadEnd int

const (
	// ResetUpload resets the connection.
	ResetUpload UploadEnd = iota
	// FinishUpload ends the response and reads the rest of the upload.
	FinishUpload
	// AbandonUpload ends the response and closes the connection, so that the rest of the
	// upload meets a reset.
	AbandonUpload
)

// AnswerUpload writes text to a connection from which the body of a request was not
// read, and ends the connection.
func AnswerUpload(conn net.Conn, text string, end UploadEnd) {
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	time.Sleep(resetDelay)
	tcp := conn.(*net.TCPConn)
	switch end {
	case ResetUpload:
		_ = tcp.SetLinger(0)
	case FinishUpload:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case AbandonUpload:
		_ = tcp.CloseWrite()
		time.Sleep(resetDelay)
	}
}

// ServeUploads answers one request on each connection of l, before it has read the body,
// until l is closed. text returns the response to a request.
func ServeUploads(l net.Listener, text func(r *http.Request) (string, UploadEnd)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				_ = conn.Close()
				return
			}
			response, end := text(r)
			AnswerUpload(conn, response, end)
		}()
	}
}

// EarlyResponse returns a response whose body lacks its end if end is ResetUpload, unless
// only the end of the connection marks that, and a whole one otherwise. framing is one of
// Framings or HTTP/1.0, in which the connection ends the body too. headers are header lines, each with its line end.
func EarlyResponse(framing, headers, body string, end UploadEnd) string {
	version := "HTTP/1.1"
	if framing == "HTTP/1.0" {
		version = framing
	}
	whole := Response(version+" 200 OK\r\n"+headers, framing, body)
	if end != ResetUpload {
		return whole
	}
	switch framing {
	case "length":
		return Response(version+" 200 OK\r\n"+headers, framing, body+"x")[:len(whole)]
	case "chunks":
		return strings.TrimSuffix(whole, "0\r\n\r\n")
	}
	return whole
}
