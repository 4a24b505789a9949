package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Proc is one process of the fleet.
type Proc struct {
	Name, Region, Domain string
	// Address is the address for callers of an instance, or the only address of
	// a stand-in. PeerAddress and OperatorAddress are set for instances only.
	Address, PeerAddress, OperatorAddress string
	// Journal is the path of a target's journal; empty for other processes.
	Journal string
	// State is the state published in the instance list; empty means live.
	State string

	logPath string
	argv    []string
	mu      struct {
		sync.Mutex
		cmd  *exec.Cmd
		done chan struct{} // closed once the process has exited and been reaped
	}
}

// Start starts the process, which must not be running. Its output is appended
// to the log.
func (p *Proc) Start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// Own process group: Ctrl-C at a terminal signals only the parent, which
	// then stops the fleet in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.cmd, p.mu.done = cmd, done
	return nil
}

func (p *Proc) process() (*os.Process, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mu.cmd == nil {
		return nil, nil
	}
	return p.mu.cmd.Process, p.mu.done
}

// PID returns the process ID, or 0 if the process was never started.
func (p *Proc) PID() int {
	if proc, _ := p.process(); proc != nil {
		return proc.Pid
	}
	return 0
}

// Running reports whether the process was started and has not exited.
func (p *Proc) Running() bool {
	_, done := p.process()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// Signal sends sig to the process; it does nothing if the process was never
// started.
func (p *Proc) Signal(sig os.Signal) error {
	proc, _ := p.process()
	if proc == nil {
		return nil
	}
	// os.Process returns an error for a process that has been reaped, so a
	// reused process ID is never signalled.
	return proc.Signal(sig)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Proc) Kill() { p.terminate(syscall.SIGKILL, 0) }

// Stop sends SIGTERM, and SIGKILL if the process still runs after wait. It
// reports whether the process exited without SIGKILL.
func (p *Proc) Stop(wait time.Duration) bool { return p.terminate(syscall.SIGTERM, wait) }

func (p *Proc) terminate(sig os.Signal, wait time.Duration) bool {
	_, done := p.process()
	if done == nil {
		return true
	}
	_ = p.Signal(sig)
	if sig != syscall.SIGKILL {
		select {
		case <-done:
			return true
		case <-time.After(wait):
			_ = p.Signal(syscall.SIGKILL)
		}
	}
	<-done
	return sig == syscall.SIGKILL
}

// LogTail returns up to n bytes from the end of the log.
func (p *Proc) LogTail(n int) string {
	raw, _ := os.ReadFile(p.logPath)
	return string(raw[max(0, len(raw)-n):])
}

// LogPath returns the path of the log, which holds stdout and stderr.
func (p *Proc) LogPath() string { return p.logPath }

// ports allocates free TCP ports. All listeners stay open until close, so that
// no port is allocated twice.
type ports struct {
	host      string
	listeners []net.Listener
}

// newPorts picks a loopback address other than 127.0.0.1 if the system allows
// it. Outgoing connections use 127.0.0.1, so they cannot take the port of a
// process that is down.
func newPorts() *ports {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+time.Now().UnixNano()/1000%250, pid>>8&0xff, 1+pid%250)
	if l, err := listenPlain(host); err == nil {
		_ = l.Close()
		return &ports{host: host}
	}
	return &ports{host: "127.0.0.1"}
}

// listenPlain listens without Multipath TCP, whose listeners the kernel may release
// only some time after they were closed.
func listenPlain(host string) (net.Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	return cfg.Listen(context.Background(), "tcp", host+":0")
}

func (p *ports) allocate() (string, error) {
	l, err := listenPlain(p.host)
	if err != nil {
		return "", err
	}
	p.listeners = append(p.listeners, l)
	return l.Addr().String(), nil
}

func (p *ports) close() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

// programPath returns the path of a program in dir. If the program is missing,
// the error says how to build it.
func programPath(dir, name string) (string, error) {
	path := filepath.Join(dir, name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%s is missing; run `make build`: %w", path, err)
	}
	return path, nil
}
