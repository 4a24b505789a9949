package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

const (
	// meanFaultInterval is the mean time between the starts of faults. It is short
	// enough that several faults overlap.
	meanFaultInterval = 2 * time.Second
	// maxFaultDuration exceeds the duration of every lease of the system.
	maxFaultDuration = 8 * time.Second

	// The strongest burst at the default rate takes most of the engines' slots, so that
	// requests wait or leave their region while faults take some of them.
	meanBurstInterval                  = 10 * time.Second
	minBurstDuration, maxBurstDuration = 2 * time.Second, 6 * time.Second
	minBurstFactor, maxBurstFactor     = 2.0, 6.0

	// crowdClients is the number of clients outside the limits that are connected to an
	// instance at the same time, more than the smallest instances have connections for.
	crowdClients = 300
	// crowdMaxBody is max_body of the smallest instances, in bytes.
	crowdMaxBody = 1 << 20
)

// soakSettings are those of the instances of a region in turn. The second and third
// have bounds that a crowd of clients reaches.
var soakSettings = []string{"", `
[bounds]
max_body = 4MiB
max_streams = 500
team_buffer = 64MiB
process_buffer = 64MiB
max_peer_connections = 256
`, `
[bounds]
max_body = 1MiB
max_header = 16KiB
max_streams = 100
stream_buffer = 256KiB
team_buffer = 16MiB
process_buffer = 16MiB
intake_buffer = 16MiB
max_peer_connections = 128
`}

type soakCommand struct {
	loadFlags
	Keep bool `long:"keep" description:"keep the temporary directory with settings, logs and journals"`
}

// Execute sends load while random faults begin and end, and performs the same
// checks as the demo.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	opts, err := c.options()
	if err != nil {
		return err
	}
	bin, err := executableDir()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wigeonhill-soak-")
	if err != nil {
		return err
	}
	spec := fleet.DemoSpec(bin, dir)
	spec.SettingsInTurn = soakSettings
	f, err := fleet.New(spec)
	if err != nil {
		return err
	}
	defer (&demoCommand{Keep: c.Keep}).finish(f)
	if err := startFleet(ctx, f); err != nil {
		return err
	}
	faultCtx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	var usages []*usagePeak
	var recorders sync.WaitGroup
	recordCtx, stopRecording := context.WithCancel(ctx)
	defer stopRecording()
	for _, p := range f.Instances {
		u, err := newUsagePeak(p)
		if err != nil {
			return err
		}
		usages = append(usages, u)
		recorders.Go(func() { u.record(recordCtx) })
	}
	opts.Bursts = randomBursts(c.Seed, opts.Duration)
	injector := &faultInjector{f: f, rng: rand.New(rand.NewPCG(c.Seed, 2)), begin: time.Now(), affected: map[*fleet.Proc]bool{}}
	var faults sync.WaitGroup
	faults.Go(func() { injector.run(faultCtx) })
	res, err := runLoad(ctx, f.Plan(), opts, c.Out)
	faults.Wait()
	stopRecording()
	recorders.Wait()
	if err != nil {
		return err
	}
	var errs []error
	for _, u := range usages {
		errs = append(errs, u.check())
	}
	return errors.Join(append(errs, printResult(res))...)
}

// randomBursts returns the bursts of callers in a run.
func randomBursts(seed uint64, duration time.Duration) (out []load.Burst) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanBurstInterval))
		if at >= duration {
			return out
		}
		b := load.Burst{At: at, Duration: minBurstDuration + time.Duration(rng.Int64N(int64(maxBurstDuration-minBurstDuration))), Factor: minBurstFactor + rng.Float64()*(maxBurstFactor-minBurstFactor)}
		out = append(out, b)
		at += b.Duration
	}
}

// crowd connects clients outside the limits to a port of an instance. The instance may
// have no other fault, so that its process is the one whose use is checked.
func (s *faultInjector) crowd(ctx context.Context) {
	s.withInstance(func(p *fleet.Proc) {
		address, kinds := p.Address, append(standin.BodyClients(crowdHead(s.f.Teams[0].Key), crowdMaxBody), standin.HeadClients(crowdHead(s.f.Teams[0].Key))...)
		if s.randomIndex(3) == 0 {
			address, kinds = []string{p.PeerAddress, p.OperatorAddress}[s.randomIndex(2)], standin.HeadClients("GET / HTTP/1.1\r\nHost: x\r\n")
		}
		client, d := kinds[s.randomIndex(len(kinds))], s.randomDuration(maxFaultDuration/20, maxFaultDuration/2)
		s.logf("%d clients at %s (%s) for %v: %s", crowdClients, p.Name, address, d.Round(time.Millisecond), client.Name)
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		standin.Crowd(ctx, address, crowdClients, client)
	})
}

func crowdHead(key string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n"
}

// faultInjector injects random faults. A process has at most one fault at a time.
type faultInjector struct {
	f        *fleet.Fleet
	begin    time.Time
	mu       sync.Mutex
	rng      *rand.Rand
	affected map[*fleet.Proc]bool
}

func (s *faultInjector) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.randomDuration(0, 2*meanFaultInterval)):
			running.Go(func() { s.injectFault(context.WithoutCancel(ctx)) })
		}
	}
}

func (s *faultInjector) randomDuration(lo, hi time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

// claim picks a random process and marks it as affected. It returns nil if the
// process already has a fault.
func (s *faultInjector) claim(group []*fleet.Proc) *fleet.Proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := group[s.rng.IntN(len(group))]
	if s.affected[p] {
		return nil
	}
	s.affected[p] = true
	return p
}

func (s *faultInjector) release(p *fleet.Proc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.affected, p)
}

func (s *faultInjector) randomIndex(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// injectFault starts a fault of a random kind and ends it after a while.
func (s *faultInjector) injectFault(ctx context.Context) {
	kinds := []func(context.Context){s.kill, s.terminate, s.suspend, s.suspend, s.engineFault, s.engineFault, s.configFault, s.publish, s.crowd, s.crowd}
	kinds[s.randomIndex(len(kinds))](ctx)
}

func (s *faultInjector) logf(format string, args ...any) {
	fmt.Printf("%6.1fs %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

// withInstance calls f with a random instance, unless that has a fault already.
func (s *faultInjector) withInstance(f func(p *fleet.Proc)) {
	if p := s.claim(s.f.Instances); p != nil {
		defer s.release(p)
		f(p)
	}
}

func (s *faultInjector) kill(context.Context) {
	s.withInstance(func(p *fleet.Proc) {
		s.logf("kill and replace %s", p.Name)
		p.Kill()
		s.restart(p)
	})
}

func (s *faultInjector) terminate(context.Context) {
	s.withInstance(func(p *fleet.Proc) {
		s.logf("terminate and replace %s", p.Name)
		p.Stop(time.Minute)
		s.restart(p)
	})
}

func (s *faultInjector) restart(p *fleet.Proc) {
	time.Sleep(s.randomDuration(0, maxFaultDuration/2))
	if err := p.Start(); err != nil {
		s.logf("start of %s: %v", p.Name, err)
	}
}

func (s *faultInjector) suspend(context.Context) {
	s.withInstance(func(p *fleet.Proc) {
		d := s.randomDuration(maxFaultDuration/20, maxFaultDuration)
		s.logf("suspend %s for %v", p.Name, d.Round(time.Millisecond))
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		_ = p.Signal(syscall.SIGCONT)
	})
}

func (s *faultInjector) engineFault(ctx context.Context) {
	p := s.claim(s.f.Engines)
	if p == nil {
		return
	}
	defer s.release(p)
	faults := []standin.Faults{{Hang: true}, {Refuse: true}, {Fail: true}, {CutAfter: 5}, {SlowFactor: 5}, {Stale: true}}
	fault := faults[s.randomIndex(len(faults))]
	d := s.randomDuration(maxFaultDuration/20, maxFaultDuration/2)
	s.logf("%s %+v for %v", p.Name, fault, d.Round(time.Millisecond))
	s.control(ctx, p, fault)
	time.Sleep(d)
	s.control(ctx, p, standin.Faults{})
}

func (s *faultInjector) configFault(ctx context.Context) {
	p := s.claim([]*fleet.Proc{s.f.ConfigService})
	if p == nil {
		return
	}
	defer s.release(p)
	yes, no, firstRevision, currentRevision := true, false, int64(1), int64(0)
	d := s.randomDuration(maxFaultDuration/20, maxFaultDuration)
	if s.randomIndex(2) == 0 {
		s.logf("configuration service down for %v", d.Round(time.Millisecond))
		s.control(ctx, p, standin.ConfigControl{Down: &yes})
		time.Sleep(d)
		s.control(ctx, p, standin.ConfigControl{Down: &no})
		return
	}
	s.logf("configuration service stale for %v", d.Round(time.Millisecond))
	s.control(ctx, p, standin.ConfigControl{StaleAt: &firstRevision})
	time.Sleep(d)
	s.control(ctx, p, standin.ConfigControl{StaleAt: &currentRevision})
}

func (s *faultInjector) control(ctx context.Context, p *fleet.Proc, body any) {
	if err := s.f.Control(ctx, p, body); err != nil {
		s.logf("control of %s: %v", p.Name, err)
	}
}

func (s *faultInjector) publish(ctx context.Context) {
	s.logf("publish the configuration again with a new revision")
	if err := s.f.Publish(ctx); err != nil {
		s.logf("publish: %v", err)
	}
}
