package instance

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
)

// soakCapacity is what an instance has according to its settings. The figures are those
// of instances of real deployments, but for the descriptors of the smallest:
// silentClients take all of them if connections are not bounded.
type soakCapacity struct {
	cpuShare                 float64
	memoryMB, maxDescriptors int
	// program is set if the process runs the program in place of the test binary, whose
	// memory says nothing under the race detector.
	program bool
}

// soakCapacities are those of the instances of a failure domain, in turn.
var soakCapacities = []soakCapacity{{0.8, 536, 8192, false}, {0.4, 284, 4100, false}, {0.144, 144, 300, true}}

// usageInterval is the time between two readings of the descriptors of a process.
const usageInterval = 20 * time.Millisecond

// instanceProcess is an instance that runs as a process of its own.
type instanceProcess struct {
	s                         *soak
	path, ip, address, domain string
	capacity                  soakCapacity
	mu                        sync.Mutex
	cmd                       *exec.Cmd
	done                      chan struct{}
	// peakMemory, in bytes, and peakDescriptors are the largest figures of all
	// processes that ran as this instance.
	peakMemory      int64
	peakDescriptors int
}

// command returns the command that runs the instance.
func (p *instanceProcess) command() (*exec.Cmd, error) {
	if !p.capacity.program && !p.s.onlyProgram {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), soakInstanceEnv+"="+p.path)
		return cmd, nil
	}
	binary, err := buildProgram()
	cmd := exec.Command(binary, "platform", "--config", p.path)
	if p.s.onlyProgram {
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	return cmd, err
}

// recordUsage records what the process uses until ctx is done.
func (p *instanceProcess) recordUsage(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(usageInterval) {
		p.mu.Lock()
		memory, err := fleet.PeakRSS(p.cmd.Process.Pid)
		descriptors, dirErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		select {
		case <-p.done: // another process may have its id
		default:
			if err == nil && dirErr == nil {
				p.peakMemory, p.peakDescriptors = max(p.peakMemory, memory), max(p.peakDescriptors, len(descriptors))
			}
		}
		p.mu.Unlock()
	}
}

// verifyUsage fails the test if the process has used more than its settings allow.
func (p *instanceProcess) verifyUsage() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.s.t.Logf("%s, cpu share %g: peak memory %d of %d MB, peak descriptors %d of %d", p.ip, p.capacity.cpuShare, p.peakMemory>>20, p.capacity.memoryMB, p.peakDescriptors, p.capacity.maxDescriptors)
	if p.peakMemory == 0 || p.peakDescriptors == 0 {
		p.s.t.Errorf("%s: its use of memory or descriptors is not known", p.ip)
	}
	if p.peakMemory > int64(p.capacity.memoryMB)<<20 && (p.capacity.program || !raceDetector()) {
		p.s.t.Errorf("%s took %d MB, its settings allow %d", p.ip, p.peakMemory>>20, p.capacity.memoryMB)
	}
	if p.peakDescriptors > p.capacity.maxDescriptors {
		p.s.t.Errorf("%s had %d descriptors, its settings allow %d", p.ip, p.peakDescriptors, p.capacity.maxDescriptors)
	}
}

// raceDetector reports whether the test binary was built with the race detector.
func raceDetector() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
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
	cmd, err := p.command()
	if err != nil {
		p.s.t.Error(err)
		return
	}
	done := make(chan struct{})
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
