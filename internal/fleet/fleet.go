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

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// pollInterval is the interval between readiness checks of a starting process.
const pollInterval = 50 * time.Millisecond

// httpClient makes the calls to the processes of a fleet.
var httpClient = httpclient.New(standin.ClientConfig)

// Fleet is a set of instances, stand-in targets and a stand-in configuration
// service, each running as its own process.
type Fleet struct {
	Spec          Spec
	ConfigService *Proc
	Instances     []*Proc
	Engines       []*Proc
	OrderServices []*Proc
	// Teams and their API keys. A team whose key is set to "" has no key in the
	// next published configuration.
	Teams []load.Team

	ports *ports // reserved until Stop, so that a process that is down can be started again
}

// New allocates addresses and writes the settings, the configuration and the
// instance list to spec.Dir. It starts no process.
func New(spec Spec) (_ *Fleet, err error) {
	gatewayPath, err := programPath(spec.Bin, "wigeonhill")
	if err != nil {
		return nil, err
	}
	standinPath, err := programPath(spec.Bin, "standin")
	if err != nil {
		return nil, err
	}
	p := newPorts()
	f := &Fleet{Spec: spec, ports: p}
	defer func() {
		if err != nil {
			p.close()
		}
	}()
	if f.ConfigService, err = f.newProc(p, "config", "", 0); err != nil {
		return nil, err
	}
	for _, region := range spec.Regions {
		for _, group := range []struct {
			list *[]*Proc
			kind string
			n    int
		}{{&f.Instances, "instance", spec.InstancesPerRegion}, {&f.Engines, "engine", spec.EnginesPerRegion}, {&f.OrderServices, "order", spec.OrderServicesPerRegion}} {
			for i := range group.n {
				proc, err := f.newProc(p, group.kind, region, i+1)
				if err != nil {
					return nil, err
				}
				if n := len(spec.SettingsInTurn); n > 0 {
					proc.settings = spec.SettingsInTurn[i%n]
				}
				*group.list = append(*group.list, proc)
			}
		}
	}
	for _, in := range f.Instances {
		if in.PeerAddress, err = p.allocate(); err != nil {
			return nil, err
		}
		if in.OperatorAddress, err = p.allocate(); err != nil {
			return nil, err
		}
	}
	for _, t := range spec.Teams {
		t.Key = NewKey(t.Name)
		f.Teams = append(f.Teams, t)
	}
	if err := f.writeFiles(gatewayPath, standinPath); err != nil {
		return nil, err
	}
	return f, nil
}

// NewKey returns a random API key for team. It starts with standin.KeyMarker,
// by which stand-in targets detect a key that was forwarded to them.
func NewKey(team string) string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw)
	return standin.KeyMarker + team + "-" + hex.EncodeToString(raw)
}

func (f *Fleet) newProc(p *ports, kind, region string, n int) (*Proc, error) {
	name := kind
	if region != "" {
		name = fmt.Sprintf("%s-%s-%d", region, kind, n)
	}
	address, err := p.allocate()
	if err != nil {
		return nil, err
	}
	// Two failure domains per region.
	return &Proc{
		Name: name, Region: region, Domain: fmt.Sprintf("%s-%c", region, 'a'+(n+1)%2), Address: address,
		logPath: filepath.Join(f.Spec.Dir, name+".log"),
	}, nil
}

// writeFiles writes the files that the processes read and sets the command line
// of each process.
func (f *Fleet) writeFiles(gatewayPath, standinPath string) error {
	list, err := f.InstanceList()
	if err != nil {
		return err
	}
	files := map[string]string{"table.ini": f.ConfigText(), "instances.json": list}
	path := func(name string) string { return filepath.Join(f.Spec.Dir, name) }
	f.ConfigService.argv = []string{standinPath, "config", "--listen", f.ConfigService.Address, "--table", path("table.ini"), "--instances", path("instances.json")}
	targetArgs := func(kind string, p *Proc, capacity int, extraArgs ...string) {
		p.Journal = path(p.Name + ".journal")
		p.argv = append([]string{standinPath, kind, "--listen", p.Address, "--name", p.Name, "--region", p.Region,
			"--capacity", fmt.Sprint(capacity), "--journal", p.Journal}, extraArgs...)
	}
	for _, e := range f.Engines {
		targetArgs("engine", e, f.Spec.EngineCapacity, "--per-token", f.Spec.PerToken.String(), "--weights", "http://"+f.ConfigService.Address)
	}
	for _, o := range f.OrderServices {
		targetArgs("order", o, f.Spec.OrderServiceCapacity)
	}
	for _, in := range f.Instances {
		files[in.Name+".ini"] = f.settingsText(in)
		in.argv = []string{gatewayPath, "serve", "--config", path(in.Name + ".ini")}
	}
	for name, text := range files {
		if err := os.WriteFile(path(name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// All returns all processes: instances first, the configuration service last.
func (f *Fleet) All() []*Proc {
	var out []*Proc
	out = append(out, f.Instances...)
	out = append(out, f.Engines...)
	out = append(out, f.OrderServices...)
	return append(out, f.ConfigService)
}

// Start starts all processes and waits until each is ready. The caller must
// call Stop even if Start returns an error.
func (f *Fleet) Start(ctx context.Context) error {
	all := f.All()
	for i := len(all) - 1; i >= 0; i-- { // starts the configuration service first
		if err := all[i].Start(); err != nil {
			return fmt.Errorf("starting %s: %w", all[i].Name, err)
		}
	}
	for i := len(all) - 1; i >= 0; i-- {
		if err := f.WaitReady(ctx, all[i]); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until /readyz of an instance, or /record of a stand-in,
// returns 200. It fails if the process exits or ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context, p *Proc) error {
	url := "http://" + p.Address + "/record"
	if p.OperatorAddress != "" {
		url = "http://" + p.OperatorAddress + "/readyz"
	}
	lastStatus := "no response"
	for {
		if !p.Running() {
			return fmt.Errorf("%s exited; end of its log:\n%s", p.Name, p.LogTail(2000))
		}
		status, err := getStatus(ctx, url)
		switch {
		case err != nil:
			lastStatus = err.Error()
		case status == http.StatusOK:
			return nil
		default:
			lastStatus = http.StatusText(status)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready (%s): %w; end of its log:\n%s", p.Name, lastStatus, ctx.Err(), p.LogTail(2000))
		}
	}
}

func getStatus(ctx context.Context, url string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// Stop terminates all processes, instances first and the configuration service
// last. Each gets SIGTERM, and SIGKILL if it still runs after wait. Stop returns
// the names of the processes that were killed.
func (f *Fleet) Stop(wait time.Duration) []string {
	var mu sync.Mutex
	var killed []string
	for _, group := range [][]*Proc{f.Instances, f.Engines, f.OrderServices, {f.ConfigService}} {
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
	f.ports.close()
	return killed
}

// InstanceList returns the JSON document that the configuration service serves
// as the value `instances`.
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
		list.Instances = append(list.Instances, instance{in.Name, in.Address, in.PeerAddress, in.Region, in.Domain, state(in)})
	}
	for _, group := range [][]*Proc{f.Engines, f.OrderServices} {
		for _, t := range group {
			list.Targets = append(list.Targets, target{t.Name, state(t)})
		}
	}
	raw, err := json.Marshal(list)
	return string(raw), err
}

// Publish sends the current configuration and instance list to the
// configuration service.
func (f *Fleet) Publish(ctx context.Context) error {
	list, err := f.InstanceList()
	if err != nil {
		return err
	}
	return f.Control(ctx, f.ConfigService, standin.ConfigControl{Put: map[string]string{"table": f.ConfigText(), "instances": list}})
}

// Control sends body as JSON to the /control endpoint of a stand-in.
func (f *Fleet) Control(ctx context.Context, p *Proc, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+"/control", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("control request to %s failed: %s", p.Name, resp.Status)
	}
	return nil
}

// Plan returns the load plan for the fleet.
func (f *Fleet) Plan() *load.Plan {
	p := &load.Plan{Config: "http://" + f.ConfigService.Address, Teams: f.Teams}
	for _, in := range f.Instances {
		p.Instances = append(p.Instances, load.Instance{Name: in.Name, Region: in.Region, Callers: in.Address})
	}
	for _, e := range f.Engines {
		p.Targets = append(p.Targets, load.Target{Name: e.Name, Region: e.Region, Address: e.Address, Capacity: f.Spec.EngineCapacity, Journal: e.Journal})
	}
	for _, o := range f.OrderServices {
		p.Targets = append(p.Targets, load.Target{Name: o.Name, Region: o.Region, Address: o.Address, Capacity: f.Spec.OrderServiceCapacity, Journal: o.Journal})
	}
	return p
}
