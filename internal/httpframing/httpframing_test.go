package httpframing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
)

func TestAbortedResponseIsIncompleteForAnyHTTPVersion(t *testing.T) {
	for _, length := range []bool{false, true} {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if length {
				w.Header().Set("Content-Length", "20")
			}
			_, _ = io.WriteString(w, "first half")
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/abort" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "other half")
		}))
		s.Config.ConnContext, s.Config.Handler = ConnContext, Handler(s.Config.Handler)
		s.Start()
		defer s.Close()
		for _, version := range []string{"1.0", "1.1"} {
			for _, path := range []string{"/", "/abort"} {
				conn, err := net.Dial("tcp", s.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				_, _ = fmt.Fprintf(conn, "GET %s HTTP/%s\r\nHost: h\r\nConnection: close\r\n\r\n", path, version)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				body := []byte{}
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				if complete := err == nil && string(body) == "first halfother half"; complete != (path == "/") || path == "/abort" && err == nil {
					t.Errorf("HTTP/%s, length %v, %s: %q, %v", version, length, path, body, err)
				}
			}
		}
	}
}

// serverEnv makes the test binary run newEndlessServer instead of the tests.
const serverEnv = "WIGEONHILL_HTTPFRAMING_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(serverEnv) == "" {
		os.Exit(m.Run())
	}
	fmt.Println(newEndlessServer(nil).Listener.Addr())
	select {}
}

// newEndlessServer returns a server whose responses do not end before stop is closed.
func newEndlessServer(stop chan struct{}) *httptest.Server {
	s := httptest.NewUnstartedServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first half")
		_ = http.NewResponseController(w).Flush()
		<-stop
	})))
	s.Config.ConnContext = ConnContext
	s.Start()
	return s
}

// endAfterFirstHalf reads the first half of a response, calls end and returns the
// error with which the response ends.
func endAfterFirstHalf(t *testing.T, address, version string, end func()) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: h\r\n\r\n", version)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, len("first half"))); err != nil {
		t.Fatal(err)
	}
	end()
	_, err = io.ReadAll(resp.Body)
	return err
}

func TestResponseCutByServerEndIsIncompleteForAnyHTTPVersion(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		stop := make(chan struct{})
		s := newEndlessServer(stop)
		if err := endAfterFirstHalf(t, s.Listener.Addr().String(), version, func() { _ = s.Config.Close() }); err == nil {
			t.Errorf("HTTP/%s: the response ended as if it were complete", version)
		}
		close(stop)
		s.Close()
	}
}

func TestResponseOfKilledProcessIsIncompleteForAnyHTTPVersion(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), serverEnv+"=1")
		out, err := cmd.StdoutPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		address, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if err := endAfterFirstHalf(t, strings.TrimSpace(address), version, func() { _ = cmd.Process.Kill() }); err == nil {
			t.Errorf("HTTP/%s: the response ended as if it were complete", version)
		}
		_ = cmd.Wait()
	}
}
