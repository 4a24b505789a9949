package fleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// pollInterval is the time between two checks of a process that starts.
const pollInterval = 50 * time.Millisecond

// Fleet is a set of processes.
type Fleet struct {
	Spec      Spec
	Config    *Proc
	Instances []*Proc
	Engines   []*Proc
	Orders    []*Proc
	// Teams with their keys. A team whose key is emptied has none in the next
	// table that is published.
	Teams []load.Team
}

// New chooses addresses and writes the settings; nothing is started yet.
func New(spec Spec) (*Fleet, error) {
	gateway, err := program(spec.Bin, "wigeonhill")
	if err != nil {
		return nil, err
	}
	stand, err := program(spec.Bin, "standin")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Spec: spec}
	p := newPorts()
	defer p.close()
	if f.Config, err = f.proc(p, "config", "", 0); err != nil {
		return nil, err
	}
	for _, region := range spec.Regions {
		for _, group := range []struct {
			list *[]*Proc
			kind string
			n    int
		}{{&f.Instances, "instance", spec.InstancesPerRegion}, {&f.Engines, "engine", spec.EnginesPerRegion}, {&f.Orders, "order", spec.OrdersPerRegion}} {
			for i := range group.n {
				proc, err := f.proc(p, group.kind, region, i+1)
				if err != nil {
					return nil, err
				}
				*group.list = append(*group.list, proc)
			}
		}
	}
	for _, in := range f.Instances {
		if in.Peers, err = p.take(); err != nil {
			return nil, err
		}
		if in.Operators, err = p.take(); err != nil {
			return nil, err
		}
	}
	for _, t := range spec.Teams {
		t.Key = NewKey(t.Name)
		f.Teams = append(f.Teams, t)
	}
	return f, f.write(gateway, stand)
}

// NewKey returns a random key that targets recognise by standin.KeyMarker.
func NewKey(team string) string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw)
	return standin.KeyMarker + team + "-" + hex.EncodeToString(raw)
}

func (f *Fleet) proc(p *ports, kind, region string, n int) (*Proc, error) {
	name := kind
	if region != "" {
		name = fmt.Sprintf("%s-%s-%d", region, kind, n)
	}
	address, err := p.take()
	if err != nil {
		return nil, err
	}
	// Two failure domains per region.
	return &Proc{
		Name: name, Region: region, Domain: fmt.Sprintf("%s-%c", region, 'a'+(n+1)%2), Address: address,
		log: filepath.Join(f.Spec.Dir, name+".log"),
	}, nil
}

// write creates the files and the command lines of all processes.
func (f *Fleet) write(gateway, stand string) error {
	list, err := f.InstanceList()
	if err != nil {
		return err
	}
	files := map[string]string{"table.ini": f.Table(), "instances.json": list}
	path := func(name string) string { return filepath.Join(f.Spec.Dir, name) }
	f.Config.argv = []string{stand, "config", "--listen", f.Config.Address, "--table", path("table.ini"), "--instances", path("instances.json")}
	target := func(kind string, p *Proc, capacity int, more ...string) {
		p.Journal = path(p.Name + ".journal")
		p.argv = append([]string{stand, kind, "--listen", p.Address, "--name", p.Name, "--region", p.Region,
			"--capacity", fmt.Sprint(capacity), "--journal", p.Journal}, more...)
	}
	for _, e := range f.Engines {
		target("engine", e, f.Spec.EngineCapacity, "--per-token", f.Spec.PerToken.String(), "--weights", "http://"+f.Config.Address)
	}
	for _, o := range f.Orders {
		target("order", o, f.Spec.OrderCapacity)
	}
	for _, in := range f.Instances {
		files[in.Name+".ini"] = f.settings(in)
		in.argv = []string{gateway, "serve", "--config", path(in.Name + ".ini")}
	}
	for name, text := range files {
		if err := os.WriteFile(path(name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// All returns every process, instances first.
func (f *Fleet) All() []*Proc {
	var out []*Proc
	out = append(out, f.Instances...)
	out = append(out, f.Engines...)
	out = append(out, f.Orders...)
	return append(out, f.Config)
}

// Start starts all processes and waits until all answer. After an error the
// caller still has to call Stop.
func (f *Fleet) Start(ctx context.Context) error {
	all := f.All()
	for i := len(all) - 1; i >= 0; i-- { // the configuration service first
		if err := all[i].Start(); err != nil {
			return fmt.Errorf("starting %s: %w", all[i].Name, err)
		}
	}
	for i := len(all) - 1; i >= 0; i-- {
		if err := f.Ready(ctx, all[i]); err != nil {
			return err
		}
	}
	return nil
}

// Ready waits until a process answers /readyz or, for a stand-in, /record.
func (f *Fleet) Ready(ctx context.Context, p *Proc) error {
	url := "http://" + p.Address + "/record"
	if p.Operators != "" {
		url = "http://" + p.Operators + "/readyz"
	}
	last := "no answer"
	for {
		if !p.Running() {
			return fmt.Errorf("%s ended; the end of its log:\n%s", p.Name, p.Tail(2000))
		}
		status, err := get(ctx, url)
		switch {
		case err != nil:
			last = err.Error()
		case status == http.StatusOK:
			return nil
		default:
			last = http.StatusText(status)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready (%s): %w; the end of its log:\n%s", p.Name, last, ctx.Err(), p.Tail(2000))
		}
	}
}

func get(ctx context.Context, url string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// Stop ends every process: first with SIGTERM, with SIGKILL after wait.
// It returns the names of those that had to be killed.
func (f *Fleet) Stop(wait time.Duration) []string {
	var mu sync.Mutex
	var killed []string
	for _, group := range [][]*Proc{f.Instances, f.Engines, f.Orders, {f.Config}} {
		var wg sync.WaitGroup
		for _, p := range group {
			wg.Go(func() {
				if !p.Stop(wait) {
					mu.Lock()
					defer mu.Unlock()
					killed = append(killed, p.Name)
				}
			})
		}
		wg.Wait()
	}
	return killed
}

// InstanceList returns the value `instances`.
func (f *Fleet) InstanceList() (string, error) {
	type instance struct {
		Name    string `json:"name"`
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
		Region  string `json:"region"`
		Domain  string `json:"domain"`
		State   string `json:"state"`
	}
	type target struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	state := func(p *Proc) string {
		if p.State == "" {
			return "live"
		}
		return p.State
	}
	var list struct {
		Instances []instance `json:"instances"`
		Targets   []target   `json:"targets"`
	}
	for _, in := range f.Instances {
		list.Instances = append(list.Instances, instance{in.Name, in.Address, in.Peers, in.Region, in.Domain, state(in)})
	}
	for _, group := range [][]*Proc{f.Engines, f.Orders} {
		for _, t := range group {
			list.Targets = append(list.Targets, target{t.Name, state(t)})
		}
	}
	raw, err := json.Marshal(list)
	return string(raw), err
}

// Publish puts the table and the instance list as they are now.
func (f *Fleet) Publish(ctx context.Context) error {
	list, err := f.InstanceList()
	if err != nil {
		return err
	}
	return f.Control(ctx, f.Config, standin.ConfigControl{Put: map[string]string{"table": f.Table(), "instances": list}})
}

// Control sends a control request to a stand-in.
func (f *Fleet) Control(ctx context.Context, p *Proc, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+"/control", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("control of %s: %s", p.Name, resp.Status)
	}
	return nil
}

// Plan describes the fleet for package load.
func (f *Fleet) Plan() *load.Plan {
	p := &load.Plan{Config: "http://" + f.Config.Address, Teams: f.Teams}
	for _, in := range f.Instances {
		p.Instances = append(p.Instances, load.Instance{Name: in.Name, Region: in.Region, Callers: in.Address})
	}
	for _, e := range f.Engines {
		p.Targets = append(p.Targets, load.Target{Name: e.Name, Region: e.Region, Address: e.Address, Capacity: f.Spec.EngineCapacity, Journal: e.Journal})
	}
	for _, o := range f.Orders {
		p.Targets = append(p.Targets, load.Target{Name: o.Name, Region: o.Region, Address: o.Address, Capacity: f.Spec.OrderCapacity, Journal: o.Journal})
	}
	return p
}
