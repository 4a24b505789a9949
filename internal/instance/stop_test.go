package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/gateway"
)

// slowListener accepts connections only once accept is closed.
type slowListener struct {
	*net.TCPListener
	accept chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.TCPListener.Accept()
}

// stopCase is a request that an instance has not begun to serve when its drain refuses
// requests.
type stopCase struct {
	name string
	// change modifies the instance; what it delays goes on once release is closed.
	change func(i *Instance, release <-chan struct{})
	// kept is set if a response has been received on the connection before.
	kept bool
	// directory is set if the request is one for the directory.
	directory bool
	// early is the part of the request that is sent before the instance stops.
	early float64
}

var stopCases = []stopCase{
	{name: "part of the head has arrived on a new connection", early: 0.5},
	{name: "part of the head has arrived on a kept connection", kept: true, early: 0.5},
	{name: "part of the head has arrived at the directory", directory: true, early: 0.5},
	{name: "not accepted", early: 1, change: func(i *Instance, release <-chan struct{}) {
		accept := make(chan struct{})
		go func() { <-release; close(accept) }()
		_ = i.listeners[i.callers].Close()
		l, err := gateway.Listen(i.settings.Listen.Callers)
		if err != nil {
			panic(err)
		}
		i.listeners[i.callers] = i.intake.callers.Listen(&slowListener{l.(*net.TCPListener), accept})
	}},
	{name: "unread on a kept connection", kept: true, early: 1, change: func(i *Instance, release <-chan struct{}) {
		next := i.callers.ConnState
		i.callers.ConnState = func(c net.Conn, state http.ConnState) {
			if next(c, state); state == http.StateIdle {
				<-release
			}
		}
	}},
	{name: "read, but not begun", early: 1, change: func(i *Instance, release <-chan struct{}) {
		next := i.callers.Handler
		i.callers.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-release
			next.ServeHTTP(w, r)
		})
	}},
}

// Guards against requests that end without an answer because their instance stops
// before it has begun to serve them.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	for _, c := range stopCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newTestDeployment(t)
			d.publishConfig(nil)
			target := newFakeTarget(t, "t-1")
			d.listTarget(target, "a", "ready", 1)
			release := make(chan struct{})
			inst := d.startInstance("a", func(i *Instance) {
				i.settings.Bounds.TerminationGrace = 8 * time.Second
				if c.change != nil {
					c.change(i, release)
				}
			})
			eventually(t, "the instance knows the target", func() bool { return len(inst.catalog.Current().Targets) == 1 })
			address, request := inst.settings.Listen.Callers, rawRequest("second")
			if c.directory {
				address, request = inst.settings.Listen.Directory, "GET /resolve?name=shop.example&region=east&zone=a HTTP/1.1\r\nHost: x\r\n\r\n"
			}
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			responses := bufio.NewReader(conn)
			if c.kept {
				writeText(t, conn, rawRequest("first"))
				expectAnswer(t, responses)
			}
			early := int(c.early * float64(len(request)))
			writeText(t, conn, request[:early])
			inst.cancel()
			eventually(t, "requests are refused", func() bool { return inst.gateway.Refusing() })
			// Longer than the checks at the end of a drain take together.
			time.Sleep(300 * time.Millisecond)
			writeText(t, conn, request[early:])
			close(release)
			expectAnswer(t, responses)
		})
	}
}

// Guards against a client that keeps a connection of a stopping instance because its
// request began before the stop.
func TestResponseAfterStopClosesConnection(t *testing.T) {
	d := newTestDeployment(t)
	d.publishConfig(nil)
	target, arrived, answer := newFakeTarget(t, "t-1"), make(chan struct{}), make(chan struct{})
	target.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("X-Request-Id") == "second" {
			close(arrived)
			<-answer
		}
		return false
	})
	d.listTarget(target, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "the target is reached", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	conn, err := net.Dial("tcp", inst.settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	writeText(t, conn, rawRequest("second"))
	<-arrived
	inst.cancel()
	eventually(t, "the instance stops", inst.gateway.Draining)
	close(answer)
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("%+v, %v", res, err)
	}
}

// Guards against a process that notices the signal late and is killed while its requests
// have no answer.
func TestTimeToStopBeginsBeforeSignalIsNoticed(t *testing.T) {
	began := time.Now()
	w := signalWatch{checked: began, before: began}
	for n := range 10 {
		w.check(began.Add(time.Duration(n) * signalCheckInterval))
	}
	sent := began.Add(9*signalCheckInterval - time.Millisecond) // noticed any time later
	if e := w.earliest(); e.After(sent) || sent.Sub(e) > 2*signalCheckInterval {
		t.Errorf("sent %s, taken for sent %s after the start", sent.Sub(began), e.Sub(began))
	}
}

func rawRequest(id string) string {
	return fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nApi-Key: key-of-the-hotel\r\n\r\n", id)
}

func writeText(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.Copy(w, strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
}

// expectAnswer reads a response that is complete, whatever its status.
func expectAnswer(t *testing.T, r *bufio.Reader) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatalf("the answer with status %d is not complete: %v", res.StatusCode, err)
	}
}
