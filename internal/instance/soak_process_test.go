package instance

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// instanceProcess is an instance that runs as a process of its own.
type instanceProcess struct {
	s                 *soak
	path, ip, address string
	mu                sync.Mutex
	cmd               *exec.Cmd
	done              chan struct{}
}

// maxLogTail bounds what a failed test prints of the log of one process, in bytes.
const maxLogTail = 32 << 10

// start starts the process unless it is running.
func (p *instanceProcess) start() {
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
	cmd.Env = append(os.Environ(), soakInstanceEnv+"="+p.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.s.t.Error(err)
		return
	}
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // returns an error if the process was killed
		_ = log.Close()
		close(done)
	}()
}

func (p *instanceProcess) exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// logTail returns the end of the log of all processes that ran as this instance.
func (p *instanceProcess) logTail() string {
	text, err := os.ReadFile(filepath.Join(p.s.dir, p.ip+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxLogTail):])
}

func (p *instanceProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // fails if the process has exited
}

func (p *instanceProcess) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// wait waits until the process has exited. It resumes a process that another
// fault stopped meanwhile.
func (p *instanceProcess) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	for {
		select {
		case <-done:
			return
		case <-time.After(maxFaultDuration):
			p.signal(syscall.SIGCONT)
		}
	}
}
