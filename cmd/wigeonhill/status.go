package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
)

const (
	statusTimeout = 10 * time.Second
	// maxStatusHeadBytes and maxStatusBytes bound a page; a longer one ends with an
	// error.
	maxStatusHeadBytes = 16 << 10
	maxStatusBytes     = 64 << 20
)

// statusCommand prints the operator pages of a running instance.
type statusCommand struct {
	Address string `short:"a" long:"address" description:"operators' address of the instance (IP:port)" required:"true"`

	Overview struct{ pageCommand }    `command:"overview" description:"state of the instance: configuration version, members, leadership leases, targets"`
	Teams    struct{ pageCommand }    `command:"teams" description:"counts of teams with traffic, worst served first"`
	Team     struct{ teamCommand }    `command:"team" description:"rate, balances and counts of one team"`
	Request  struct{ requestCommand } `command:"request" description:"each decision about a request, with its reason"`
	Audit    struct{ auditCommand }   `command:"audit" description:"audit trail of changes"`
}

func newStatusCommand() *statusCommand {
	c := &statusCommand{}
	c.Overview.status, c.Overview.path = c, "/status"
	c.Teams.status, c.Teams.path = c, "/status/teams"
	c.Team.status, c.Request.status, c.Audit.status = c, c, c
	return c
}

type pageCommand struct {
	status *statusCommand
	path   string
}

// Execute implements flags.Commander.
func (c *pageCommand) Execute([]string) error { return c.status.printPage(c.path, nil) }

type teamCommand struct {
	status *statusCommand
	Args   struct {
		Name string `positional-arg-name:"TEAM"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *teamCommand) Execute([]string) error {
	return c.status.printPage("/status/teams/"+url.PathEscape(c.Args.Name), nil)
}

type requestCommand struct {
	status *statusCommand
	Args   struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	return c.status.printPage("/status/requests/"+url.PathEscape(c.Args.ID), nil)
}

type auditCommand struct {
	status *statusCommand
	Team   string `long:"team" description:"changes of this team only"`
	Target string `long:"target" description:"changes of this target only"`
	Kind   string `long:"kind" description:"changes of this kind only"`
	Since  string `long:"since" description:"changes since this time, for example 2026-01-02T15:04:05Z"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	query := url.Values{}
	for name, value := range map[string]string{"team": c.Team, "target": c.Target, "kind": c.Kind, "since": c.Since} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return c.status.printPage("/status/audit", query)
}

// printPage copies an operator page of the instance to standard output.
func (c *statusCommand) printPage(path string, query url.Values) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	u := "http://" + c.Address + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return invalidError{errors.Wrapf(err, "address %q", c.Address)}
	}
	client := httpclient.New(httpclient.Config{ConnectTimeout: statusTimeout, MaxHead: maxStatusHeadBytes, MaxBody: maxStatusBytes})
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "request to the instance")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		msg, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return errors.Newf("%s responded with status %s: %s", c.Address, resp.Status, msg)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return errors.Wrap(err, "read the response")
}
