// Command standin stands in for the outside systems in tests and demos: the
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

type listen struct {
	Listen string `long:"listen" required:"true" description:"IP:port"`
}

type target struct {
	listen
	Name     string `long:"name" required:"true" description:"name of the target in the table"`
	Region   string `long:"region" description:"region of the target"`
	Capacity int    `long:"capacity" default:"8" description:"largest number of requests in flight"`
	Journal  string `long:"journal" description:"file to which each run is appended"`
}

type configCommand struct {
	listen
	Table     string `long:"table" description:"file with the first value of table"`
	Instances string `long:"instances" description:"file with the first value of instances"`
}

type engineCommand struct {
	target
	Models        []string      `long:"model" description:"loaded model; may be repeated; none: every model"`
	Prefill       time.Duration `long:"prefill" default:"20us" description:"time for each uncached prompt token"`
	PerToken      time.Duration `long:"per-token" default:"5ms" description:"time for each output token"`
	CacheTokens   int           `long:"cache-tokens" default:"200000" description:"size of the prefix cache"`
	LoadLag       time.Duration `long:"load-lag" default:"200ms" description:"age that a load report may reach"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with old fencing numbers"`
	Weights       string        `long:"weights" description:"base URL of the weight store"`
}

type orderCommand struct {
	target
	Time time.Duration `long:"time" default:"20ms" description:"run time of one request"`
}

// crashStatus is the exit status after a request with the crash marker.
const crashStatus = 3

func crash() { os.Exit(crashStatus) }

// Execute runs the configuration service.
func (c *configCommand) Execute([]string) error {
	svc := standin.NewConfig()
	for name, file := range map[string]string{"table": c.Table, "instances": c.Instances} {
		if file == "" {
			continue
		}
		text, err := os.ReadFile(file)
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
		LoadLag: c.LoadLag, ChecksFencing: c.ChecksFencing, Weights: c.Weights,
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
		Name: c.Name, Region: c.Region, Capacity: c.Capacity, Time: c.Time, Journal: c.Journal, Crash: crash,
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
