package fleet

import (
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
	// Address is the callers' address of an instance, or the only one of a
	// stand-in; Peers and Operators are set for instances.
	Address, Peers, Operators string
	// Journal is set for targets.
	Journal string
	// State in the instance list; empty: live.
	State string

	log  string
	argv []string
	mu   struct {
		sync.Mutex
		cmd  *exec.Cmd
		done chan struct{} // closed after the process was waited for
	}
}

// Start runs the process; it must not be running.
func (p *Proc) Start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// An interrupt typed at a terminal reaches only the parent, which then
	// stops the fleet in order.
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

// PID returns the process id, or 0 before the start.
func (p *Proc) PID() int {
	if proc, _ := p.process(); proc != nil {
		return proc.Pid
	}
	return 0
}

// Running reports whether the process runs.
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

// Signal sends sig if the process runs.
func (p *Proc) Signal(sig os.Signal) error {
	proc, _ := p.process()
	if proc == nil {
		return nil
	}
	// os.Process refuses to signal a process that was waited for, so a reused
	// process id is never hit.
	return proc.Signal(sig)
}

// Kill ends the process with SIGKILL and waits for it.
func (p *Proc) Kill() { p.end(syscall.SIGKILL, 0) }

// Stop asks the process to end with SIGTERM and kills it after wait; it
// reports whether the process ended by itself.
func (p *Proc) Stop(wait time.Duration) bool { return p.end(syscall.SIGTERM, wait) }

func (p *Proc) end(sig os.Signal, wait time.Duration) bool {
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

// Tail returns the last bytes of the log.
func (p *Proc) Tail(n int) string {
	raw, _ := os.ReadFile(p.log)
	return string(raw[max(0, len(raw)-n):])
}

// Log returns the path of the log.
func (p *Proc) Log() string { return p.log }

// ports hands out free ports. All listeners stay open until close, so that no
// port is handed out twice.
type ports struct {
	host      string
	listeners []net.Listener
}

// newPorts picks a loopback address of its own where the system has more than
// one: the ports of a process that is down cannot then be taken by outgoing
// connections, which use 127.0.0.1.
func newPorts() *ports {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+time.Now().UnixNano()/1000%250, pid>>8&0xff, 1+pid%250)
	if l, err := net.Listen("tcp", host+":0"); err == nil {
		_ = l.Close()
		return &ports{host: host}
	}
	return &ports{host: "127.0.0.1"}
}

func (p *ports) take() (string, error) {
	l, err := net.Listen("tcp", p.host+":0")
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

// program returns the path of a program, with an error that says how to build it.
func program(dir, name string) (string, error) {
	path := filepath.Join(dir, name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%s is missing; run `make build`: %w", path, err)
	}
	return path, nil
}
