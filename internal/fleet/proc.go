package fleet

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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

	logPath  string
	argv     []string
	settings string // of Spec.SettingsInTurn
	mu       struct {
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

// SettingsPath returns the path of the settings file of an instance.
func (p *Proc) SettingsPath() string { return strings.TrimSuffix(p.logPath, ".log") + ".ini" }

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

// ports reserves free TCP ports with sockets that are bound but do not listen. A
// process may listen at a reserved port, even while its parent or another process
// that is just being started still holds the socket.
type ports struct {
	host    [4]byte
	sockets []int
}

// newPorts picks a loopback address other than 127.0.0.1 if the system allows
// it. Outgoing connections use 127.0.0.1, so they cannot take the port of a
// process that is down.
func newPorts() *ports {
	pid := os.Getpid()
	p := &ports{host: [4]byte{127, byte(1 + time.Now().UnixNano()/1000%250), byte(pid >> 8), byte(1 + pid%250)}}
	if _, err := p.allocate(); err != nil {
		p.host = [4]byte{127, 0, 0, 1}
	}
	return p
}

// allocate reserves a port and returns its address.
func (p *ports) allocate() (string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", os.NewSyscallError("socket", err)
	}
	p.sockets = append(p.sockets, fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: p.host}); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	// Set only now, so that the port is no other reserved one. Listeners set it, too.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(p.host), uint16(bound.(*syscall.SockaddrInet4).Port)).String(), nil
}

func (p *ports) close() {
	for _, fd := range p.sockets {
		_ = syscall.Close(fd)
	}
	p.sockets = nil
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
