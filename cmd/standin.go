package cmd

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"chervilpath/io/standin"
	"chervilpath/platform/stand"
)

type standinCommand struct {
	*program
	Listen string        `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:0" description:"Loopback address to listen on"`
	Slots  int           `long:"slots" default:"8" description:"Number of calls processed concurrently"`
	Time   time.Duration `long:"time" default:"15ms" description:"Time per unit of work, or to the first token"`
	Token  time.Duration `long:"token" default:"2ms" description:"Time between two tokens of a model engine"`
	Lag    time.Duration `long:"lag" default:"300ms" description:"Age of the reported state"`
	Fenced bool          `long:"fenced" description:"Make a model engine refuse orders with an outdated fencing number"`
	Args   struct {
		Kind string `positional-arg-name:"KIND" required:"yes" choice:"platform" choice:"engine" choice:"service" description:"What to simulate: platform, engine, or service (also for pools)"`
	} `positional-args:"yes"`
}

func (p *program) newStandin() subcommand {
	return subcommand{
		name: "standin", short: "Stand in for the platform, an engine or a service",
		long: `Serves a stand-in for development and tests. PUT /control sets the faults that
it injects, and GET /counts returns what it has served.

Examples:
  chervilpath standin platform --listen 127.0.0.1:9000
  chervilpath standin engine --listen 127.0.0.1:21001 --slots 8`,
		data: &standinCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	h, err := c.handler()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("starting the stand-in: %w", err)
	}
	if a, ok := l.Addr().(*net.TCPAddr); !ok || !a.IP.IsLoopback() {
		_ = l.Close()
		return &exitError{exitUsage, fmt.Errorf("--listen is %s; a stand-in listens on loopback only", c.Listen)}
	}
	_, _ = fmt.Fprintf(c.out, "%s listens at http://%s\n", c.Args.Kind, l.Addr())
	server := &http.Server{Handler: h}
	go func() {
		<-c.ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (c *standinCommand) handler() (http.Handler, error) {
	switch c.Args.Kind {
	case "platform":
		s := stand.New(time.Now)
		s.SetEntryLag(c.Lag)
		return s, nil
	case "engine":
		return standin.NewEngine(standin.EngineConfig{
			Slots: c.Slots, FirstTokenTime: c.Time, TokenTime: c.Token, ReportLag: c.Lag, CachedPrefixes: 64, RefusesOldFence: c.Fenced,
		}).Handler(), nil
	case "service":
		return standin.NewStage(standin.StageConfig{Slots: c.Slots, UnitTime: c.Time, ReportLag: c.Lag}).Handler(), nil
	}
	return nil, &exitError{exitUsage, fmt.Errorf("there is no stand-in for %q; write platform, engine or service", c.Args.Kind)}
}
