// Command standin simulates an external system for tests and demos: the
// configuration service, an engine or the order service.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

type listenFlags struct {
	Listen string `long:"listen" required:"true" description:"IP:port"`
}

type targetFlags struct {
	listenFlags
	Name     string `long:"name" required:"true" description:"name of the target in the configuration"`
	Region   string `long:"region" description:"region of the target"`
	Capacity int    `long:"capacity" default:"8" description:"maximum number of requests in flight"`
	Journal  string `long:"journal" description:"file to which each run is appended"`
}

type configCommand struct {
	listenFlags
	ConfigFile    string `long:"table" description:"file with the initial value of table"`
	InstancesFile string `long:"instances" description:"file with the initial value of instances"`
}

type engineCommand struct {
	targetFlags
	Models        []string      `long:"model" description:"loaded model; may be repeated; default: every model"`
	Prefill       time.Duration `long:"prefill" default:"20us" description:"time per uncached prompt token"`
	PerToken      time.Duration `long:"per-token" default:"5ms" description:"time per output token"`
	CacheTokens   int           `long:"cache-tokens" default:"200000" description:"size of the prefix cache in tokens"`
	MaxLoadAge    time.Duration `long:"load-lag" default:"200ms" description:"maximum age of a load report"`
	ChecksFencing bool          `long:"checks-fencing" description:"reject engine commands with outdated fencing tokens"`
	ModelRegistry string        `long:"weights" description:"base URL of the model registry"`
}

type orderCommand struct {
	targetFlags
	ServiceTime time.Duration `long:"time" default:"20ms" description:"service time of one request"`
}

// crashExitCode is the exit code after a request that contains the crash marker.
const crashExitCode = 3

func crash() { os.Exit(crashExitCode) }

// Execute runs the configuration service.
func (c *configCommand) Execute([]string) error {
	svc := standin.NewConfigService()
	for name, path := range map[string]string{"table": c.ConfigFile, "instances": c.InstancesFile} {
		if path == "" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		svc.Apply(standin.ConfigControl{Put: map[string]string{name: string(text)}})
	}
	return serve(c.Listen, svc.Handler())
}

// Execute runs an engine.
func (c *engineCommand) Execute([]string) error {
	e, err := standin.NewEngine(standin.EngineOptions{
		Name: c.Name, Region: c.Region, Capacity: c.Capacity, Models: c.Models,
		PrefillPerToken: c.Prefill, OutputPerToken: c.PerToken, CacheTokens: c.CacheTokens,
		MaxLoadAge: c.MaxLoadAge, ChecksFencing: c.ChecksFencing, ModelRegistry: c.ModelRegistry,
		Journal: c.Journal, Crash: crash,
	})
	if err != nil {
		return err
	}
	return serve(c.Listen, e.Handler())
}

// Execute runs an order service.
func (c *orderCommand) Execute([]string) error {
	s, err := standin.NewOrderService(standin.OrderOptions{
		Name: c.Name, Region: c.Region, Capacity: c.Capacity, ServiceTime: c.ServiceTime, Journal: c.Journal, Crash: crash,
	})
	if err != nil {
		return err
	}
	return serve(c.Listen, s.Handler())
}

func serve(address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func main() {
	p := flags.NewParser(nil, flags.Default)
	for name, cmd := range map[string]any{"config": &configCommand{}, "engine": &engineCommand{}, "order": &orderCommand{}} {
		if _, err := p.AddCommand(name, "run the "+name+" stand-in", "", cmd); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
