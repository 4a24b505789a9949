package instance

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// proc is an instance that runs as a process.
type proc struct {
	s                 *soak
	path, ip, address string
	mu                sync.Mutex
	cmd               *exec.Cmd
	done              chan struct{}
}

// start starts the process if it does not run.
func (p *proc) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.done:
		default:
			return
		}
	}
	log, err := os.OpenFile(filepath.Join(p.s.dir, p.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.s.t.Error(err)
		return
	}
	cmd, done := exec.Command(os.Args[0]), make(chan struct{})
	cmd.Env = append(os.Environ(), soakInstance+"="+p.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.s.t.Error(err)
		return
	}
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // killed processes report that
		_ = log.Close()
		close(done)
	}()
}

func (p *proc) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // it may have ended by itself
}

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// wait waits for the end; a process that was paused meanwhile is woken.
func (p *proc) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	for {
		select {
		case <-done:
			return
		case <-time.After(longestFault):
			p.signal(syscall.SIGCONT)
		}
	}
}
