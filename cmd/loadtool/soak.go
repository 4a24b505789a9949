package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

const (
	// Faults begin at random times with this mean interval, so that several
	// overlap.
	faultInterval = 2 * time.Second
	// longestFault is longer than any lease of the system.
	longestFault = 8 * time.Second
)

type soakCommand struct {
	loadFlags
	Keep bool `long:"keep" description:"keep the temporary directory with settings, logs and journals"`
}

// Execute sends load for a long time while random faults come and go, and
// checks the same as the demo does.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	o, err := c.options()
	if err != nil {
		return err
	}
	bin, err := binDir()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wigeonhill-soak-")
	if err != nil {
		return err
	}
	f, err := fleet.New(fleet.DemoSpec(bin, dir))
	if err != nil {
		return err
	}
	defer (&demoCommand{Keep: c.Keep}).finish(f)
	if err := start(ctx, f); err != nil {
		return err
	}
	faulty, end := context.WithTimeout(ctx, o.Duration)
	defer end()
	s := &soak{f: f, rng: rand.New(rand.NewPCG(c.Seed, 2)), begin: time.Now(), busy: map[*fleet.Proc]bool{}}
	var faults sync.WaitGroup
	faults.Go(func() { s.run(faulty) })
	res, err := drive(ctx, f.Plan(), o, c.Out)
	faults.Wait()
	if err != nil {
		return err
	}
	return report(res)
}

// soak causes random faults. At most one fault at a time hits one process.
type soak struct {
	f     *fleet.Fleet
	begin time.Time
	mu    sync.Mutex
	rng   *rand.Rand
	busy  map[*fleet.Proc]bool
}

func (s *soak) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.between(0, 2*faultInterval)):
			running.Go(func() { s.one(context.WithoutCancel(ctx)) })
		}
	}
}

func (s *soak) between(lo, hi time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

// claim picks a process that no fault hits, or nil.
func (s *soak) claim(group []*fleet.Proc) *fleet.Proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := group[s.rng.IntN(len(group))]
	if s.busy[p] {
		return nil
	}
	s.busy[p] = true
	return p
}

func (s *soak) release(p *fleet.Proc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, p)
}

func (s *soak) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// one causes one fault and ends it.
func (s *soak) one(ctx context.Context) {
	kinds := []func(context.Context){s.kill, s.terminate, s.freeze, s.freeze, s.engineFault, s.engineFault, s.configFault, s.publish}
	kinds[s.pick(len(kinds))](ctx)
}

func (s *soak) say(format string, args ...any) {
	fmt.Printf("%6.1fs %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (s *soak) instance(f func(p *fleet.Proc)) {
	if p := s.claim(s.f.Instances); p != nil {
		defer s.release(p)
		f(p)
	}
}

func (s *soak) kill(context.Context) {
	s.instance(func(p *fleet.Proc) {
		s.say("kill and replace %s", p.Name)
		p.Kill()
		s.restart(p)
	})
}

func (s *soak) terminate(context.Context) {
	s.instance(func(p *fleet.Proc) {
		s.say("terminate and replace %s", p.Name)
		p.Stop(time.Minute)
		s.restart(p)
	})
}

func (s *soak) restart(p *fleet.Proc) {
	time.Sleep(s.between(0, longestFault/2))
	if err := p.Start(); err != nil {
		s.say("start of %s: %v", p.Name, err)
	}
}

func (s *soak) freeze(context.Context) {
	s.instance(func(p *fleet.Proc) {
		d := s.between(longestFault/20, longestFault)
		s.say("freeze %s for %v", p.Name, d.Round(time.Millisecond))
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		_ = p.Signal(syscall.SIGCONT)
	})
}

func (s *soak) engineFault(ctx context.Context) {
	p := s.claim(s.f.Engines)
	if p == nil {
		return
	}
	defer s.release(p)
	faults := []standin.Faults{{Hang: true}, {Refuse: true}, {Fail: true}, {CutAfter: 5}, {SlowFactor: 5}, {Stale: true}}
	fault := faults[s.pick(len(faults))]
	d := s.between(longestFault/20, longestFault/2)
	s.say("%s %+v for %v", p.Name, fault, d.Round(time.Millisecond))
	s.control(ctx, p, fault)
	time.Sleep(d)
	s.control(ctx, p, standin.Faults{})
}

func (s *soak) configFault(ctx context.Context) {
	p := s.claim([]*fleet.Proc{s.f.Config})
	if p == nil {
		return
	}
	defer s.release(p)
	yes, no, first, now := true, false, int64(1), int64(0)
	d := s.between(longestFault/20, longestFault)
	if s.pick(2) == 0 {
		s.say("configuration service down for %v", d.Round(time.Millisecond))
		s.control(ctx, p, standin.ConfigControl{Down: &yes})
		time.Sleep(d)
		s.control(ctx, p, standin.ConfigControl{Down: &no})
		return
	}
	s.say("configuration service stale for %v", d.Round(time.Millisecond))
	s.control(ctx, p, standin.ConfigControl{StaleAt: &first})
	time.Sleep(d)
	s.control(ctx, p, standin.ConfigControl{StaleAt: &now})
}

func (s *soak) control(ctx context.Context, p *fleet.Proc, body any) {
	if err := s.f.Control(ctx, p, body); err != nil {
		s.say("control of %s: %v", p.Name, err)
	}
}

func (s *soak) publish(ctx context.Context) {
	s.say("publish the table again with a new revision")
	if err := s.f.Publish(ctx); err != nil {
		s.say("publish: %v", err)
	}
}
