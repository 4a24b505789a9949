package instance

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// soakClientEnv holds the parameters, in JSON, of the clients that the test binary is to
// run until its standard input ends.
const soakClientEnv = "WIGEONHILL_SOAK_CLIENT"

const (
	clientLimit = 5 * time.Second
	largeBody   = 60 << 10
	kernelTick  = 10 * time.Millisecond // resolution of the times in TCP_INFO
)

// soakClients are clients in a process of their own. They keep connections open, send the
// next request once the last is answered, and repeat none.
type soakClients struct {
	Name      string
	Seed      uint64
	Addresses []string
	Conns     int // for each address
	MaxPause  time.Duration
	count     atomic.Int64
	stopping  atomic.Bool
	mu        sync.Mutex // guards out
	out       clientOutcome
}

// clientOutcome is what a process of clients writes at its end.
type clientOutcome struct {
	Statuses   map[int]int
	NotWritten int // requests of which not all bytes were sent
	Unanswered []unansweredRequest
}

// unansweredRequest was written whole and has no complete answer. The connection was
// closed between MinGap and MaxGap after its last byte.
type unansweredRequest struct {
	ID, Address, Error string
	Kept               int // answers on the connection before
	Sent, Ended        time.Time
	MinGap, MaxGap     time.Duration
}

func runSoakClients(parameters string) error {
	c := &soakClients{out: clientOutcome{Statuses: map[int]int{}}}
	if err := json.Unmarshal([]byte(parameters), c); err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, os.Stdin); c.stopping.Store(true) }()
	var wg sync.WaitGroup
	for i, address := range c.Addresses {
		for j := range c.Conns {
			wg.Go(func() { c.runClient(address, rand.New(rand.NewPCG(c.Seed, uint64(i*c.Conns+j)))) })
		}
	}
	wg.Wait()
	return json.NewEncoder(os.Stdout).Encode(&c.out)
}

func (c *soakClients) runClient(address string, rng *rand.Rand) {
	for !c.stopping.Load() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		responses := bufio.NewReader(conn)
		for kept := 0; !c.stopping.Load() && c.send(conn.(*net.TCPConn), responses, kept, rng); kept++ {
			time.Sleep(time.Duration(rng.IntN(2) * rng.IntN(int(c.MaxPause)+1)))
		}
		_ = conn.Close()
	}
}

// send sends a request unless the connection is closed. It reports whether another may
// follow.
func (c *soakClients) send(conn *net.TCPConn, responses *bufio.Reader, kept int, rng *rand.Rand) bool {
	r := unansweredRequest{ID: fmt.Sprint(c.Name, "-", c.count.Add(1)), Address: conn.RemoteAddr().String(), Kept: kept}
	kind := []string{"safe", "unsafe", "stream"}[rng.IntN(3)]
	body := strings.Repeat("x", []int{4, 4, 4, largeBody}[rng.IntN(4)])
	work := rng.IntN([]int{60, 60, 60, 60, 60, 60, 60, 60, 2000, 6000}[rng.IntN(10)])
	text := fmt.Sprintf("POST /%s/%s?work=%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: key-of-the-hotel\r\nContent-Length: %d\r\n\r\n%s",
		kind, r.ID, work, r.ID, clientLimit.Milliseconds(), len(body), body)
	raw, _ := conn.SyscallConn()
	open, used := false, usedTime()
	_ = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
	})
	if !open {
		return false
	}
	r.Sent = time.Now()
	_, writeErr := io.WriteString(conn, text)
	written := time.Now()
	_ = conn.SetReadDeadline(r.Sent.Add(clientLimit + time.Second))
	res, err := http.ReadResponse(responses, nil)
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(res.Body)
		if err == nil && kind == "stream" && res.StatusCode == http.StatusOK && string(answer) != streamText(eventsPerStream, "\n") {
			err = errors.New("the stream is not complete")
		}
	}
	r.Ended = time.Now()
	var info *unix.TCPInfo
	_ = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.out.Statuses[res.StatusCode]++
		return !res.Close
	case writeErr != nil || info == nil || info.Notsent_bytes > 0:
		c.out.NotWritten++
		return false
	case errors.Is(err, unix.ECONNRESET):
		r.MinGap, r.MaxGap = r.Ended.Sub(written)-(usedTime()-used), r.Ended.Sub(r.Sent)
	default: // the end of the server's stream acknowledges data, which a reset does not
		gap := time.Duration(int64(info.Last_data_sent)-int64(info.Last_ack_recv)) * time.Millisecond
		r.MinGap, r.MaxGap = gap-kernelTick, gap+kernelTick
	}
	r.Error = err.Error()
	c.out.Unanswered = append(c.out.Unanswered, r)
	return false
}

// usedTime returns the time that the threads of the process have run or waited for a core,
// which bounds the time that a goroutine has waited to run.
func usedTime() (sum time.Duration) {
	paths, _ := filepath.Glob("/proc/self/task/*/schedstat")
	for _, path := range paths {
		var ran, waited time.Duration
		if text, err := os.ReadFile(path); err == nil {
			_, _ = fmt.Sscan(string(text), (*int64)(&ran), (*int64)(&waited))
		}
		sum += ran + waited
	}
	return sum
}
