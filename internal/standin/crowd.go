package standin

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crowdWriteBytes is the size of one write of a CrowdClient.
	crowdWriteBytes = 16 << 10
	// crowdRedialInterval is the time after which a client whose connection was
	// closed, or could not be opened, opens the next one.
	crowdRedialInterval = 100 * time.Millisecond
)

// CrowdClient is a client that does not keep to the limits: it sends Begin, then
// Repeat until RepeatBytes were sent (without end if negative), and then leaves the
// connection open.
type CrowdClient struct {
	Name          string
	Begin, Repeat string
	RepeatBytes   int64
	// StopsReading is set if the client reads nothing.
	StopsReading bool
}

// BodyClients returns clients whose request heads begin with head, the request line
// and headers of a request with a body; maxBody is the limit of the body in bytes.
func BodyClients(head string, maxBody int64) []CrowdClient {
	const chunkBytes = 8 << 10
	largeChunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	chunked, length := head+"Transfer-Encoding: chunked\r\n\r\n", head+"Content-Length: %d\r\n\r\n"
	chunks := (maxBody - 1) / chunkBytes
	const perOneByteChunk = int64(len("1\r\nx\r\n"))
	return []CrowdClient{
		{Name: "large chunks without end of body", Begin: chunked, Repeat: largeChunk, RepeatBytes: chunks * int64(len(largeChunk))},
		{Name: "chunks of one byte without end of body", Begin: chunked, Repeat: "1\r\nx\r\n", RepeatBytes: (maxBody - 1) * perOneByteChunk},
		{Name: "length without end of body", Begin: fmt.Sprintf(length, maxBody), Repeat: "x", RepeatBytes: maxBody - 1},
		{Name: "length over the limit", Begin: fmt.Sprintf(length, int64(1)<<40), Repeat: "x", RepeatBytes: -1},
		{Name: "chunks over the limit", Begin: chunked, Repeat: largeChunk, RepeatBytes: -1},
		{Name: "chunk extension without end", Begin: chunked + "1;x=", Repeat: "x", RepeatBytes: -1},
		{Name: "trailer without end", Begin: chunked + "1\r\nx\r\n0\r\n", Repeat: "T: x\r\n", RepeatBytes: -1},
	}
}

// HeadClients returns clients that send a request head, which begins with head, or
// something in its place, over the limit or without end.
func HeadClients(head string) []CrowdClient {
	var manyNames strings.Builder
	for n := range 3000 {
		fmt.Fprintf(&manyNames, "%x:\r\n", n)
	}
	return []CrowdClient{
		{Name: "header line without end", Begin: head + "X-Long: ", Repeat: "x", RepeatBytes: -1},
		{Name: "header lines without end", Begin: head, Repeat: "T: x\r\n", RepeatBytes: -1},
		{Name: "short header lines of many names without end of head", Begin: head, Repeat: manyNames.String(), RepeatBytes: int64(manyNames.Len())},
		{Name: "head over the limit", Begin: head, Repeat: "X-Long: " + strings.Repeat("x", 1000) + "\r\n", RepeatBytes: 40 << 10},
		{Name: "request line without end", Begin: "GET /", Repeat: "x", RepeatBytes: -1},
		{Name: "empty lines without end", Repeat: "\r\n", RepeatBytes: -1},
		{Name: "nothing"},
	}
}

// Play sends to conn until ctx ends or the connection fails.
func (c CrowdClient) Play(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer conn.Close()
	closed := make(chan struct{})
	if !c.StopsReading {
		go func() { defer close(closed); _, _ = io.Copy(io.Discard, conn); _ = conn.Close() }()
	}
	if _, err := io.WriteString(conn, c.Begin); err != nil {
		return
	}
	if c.Repeat != "" {
		text := bytes.Repeat([]byte(c.Repeat), 1+crowdWriteBytes/len(c.Repeat))
		for left := c.RepeatBytes; left != 0; {
			part := text
			if left > 0 {
				part = text[:min(left, int64(len(text)))]
				left -= int64(len(part))
			}
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}
	select {
	case <-ctx.Done():
	case <-closed:
	}
}

// Crowd keeps count clients connected to the address until ctx ends: one whose
// connection is closed opens another. It returns when all have ended.
func Crowd(ctx context.Context, address string, count int, c CrowdClient) {
	var clients sync.WaitGroup
	for range count {
		clients.Go(func() {
			for ctx.Err() == nil {
				if conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address); err == nil {
					c.Play(ctx, conn)
				}
				select {
				case <-ctx.Done():
				case <-time.After(crowdRedialInterval):
				}
			}
		})
	}
	clients.Wait()
}

// messageConnections is the number of connections that MessageCrowd uses.
const messageConnections = 20

// MessageCrowd keeps count calls of the peer protocol open at url until ctx ends. Each
// sends all of a message of the given size but its last byte; one that is refused is
// made again. newTransport returns a transport for HTTP/2 with a connection of its own.
func MessageCrowd(ctx context.Context, newTransport func() http.RoundTripper, url string, count, size int) {
	var clients sync.WaitGroup
	for range messageConnections {
		transport := newTransport()
		for range count / messageConnections {
			clients.Go(func() {
				for ctx.Err() == nil {
					sendUnfinishedMessage(ctx, transport, url, size)
					time.Sleep(crowdRedialInterval)
				}
			})
		}
	}
	clients.Wait()
}

func sendUnfinishedMessage(ctx context.Context, transport http.RoundTripper, url string, size int) {
	r, w := io.Pipe()
	defer r.Close()
	go func() {
		// Both fail only if the call was refused. The pipe stays open.
		_, _ = w.Write(binary.BigEndian.AppendUint32([]byte{0}, uint32(size)))
		_, _ = w.Write(make([]byte, size-1))
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, r)
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/connect+proto")
	req.Header.Set("Connect-Protocol-Version", "1")
	if resp, err := transport.RoundTrip(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
