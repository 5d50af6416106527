package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"chervilpath/core/kernel"
	"chervilpath/core/settings"
	"chervilpath/edge"
	"chervilpath/io/lines"
	"chervilpath/node"
	"chervilpath/platform"
)

// heapFraction is the part of the machine's memory from which on the garbage collector works
// harder rather than letting the heap grow. The rest is for sockets' buffers and the program.
const heapFraction = 0.75

type entryCommand struct {
	*program
	Settings string `long:"settings" value-name:"FILE" description:"Settings file of the instance, see docs/SETTINGS.md (default: the file that the platform names)"`
}

func (p *program) newEntry() subcommand {
	return subcommand{
		name: "entry", short: "Serve callers as one entry instance",
		long: `Serves callers until SIGTERM or Ctrl-C. The instance then reports that it is
not ready, waits for the requests in flight, and hands its keys over to another
instance. A second signal terminates an instance that serves pipelines at once.
An instance hosted by the platform ignores further signals, since the platform
kills it after the grace period anyway.

Example:
  chervilpath entry --settings /etc/chervilpath/entry.ini`,
		data: &entryCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	// Handle SIGHUP from the start: its default action would terminate the
	// process if it came before the settings have been read.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	file := c.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	if file == "" {
		return &exitError{exitUsage, fmt.Errorf("no settings file is given; use --settings FILE or set %s", platform.SettingsVariable)}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return &exitError{exitInvalid, fmt.Errorf("reading settings: %w", err)}
	}
	if settings.IsSite(data) {
		return c.runSite(file, data, reloadSignals)
	}
	cfg, err := settings.ParseEntry(file, data, os.ReadFile)
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	log, err := newLogger(c.errOut, cfg.LogLevel())
	if err != nil {
		return err
	}
	k := kernel.New()
	if _, err := node.New(k, cfg, log); err != nil {
		return err
	}
	if err := k.Start(c.ctx); err != nil {
		return err
	}
	log.Info("instance started", zap.String("instance", cfg.Name()), zap.String("callers", cfg.CallerAddress()))
	<-c.ctx.Done()
	c.stopSignals()
	ctx, cancel := context.WithTimeout(context.Background(), cfg.DrainTimeout())
	defer cancel()
	return errors.Join(k.Drain(ctx), k.Stop(context.Background()))
}

// runSite runs an instance that is hosted by the platform.
func (c *entryCommand) runSite(file string, data []byte, reloadSignals <-chan os.Signal) error {
	cfg, err := settings.ParseSite(file, data)
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.Memory())))
	out := lines.New(c.out)
	log, err := newLogger(out, cfg.LogLevel())
	if err != nil {
		return err
	}
	k := kernel.New()
	in, err := edge.New(k, cfg, log, out.Dropped)
	if err != nil {
		return err
	}
	if err := k.Start(c.ctx); err != nil {
		return err
	}
	log.Info("instance started", zap.String("instance", cfg.Name()), zap.String("callers", cfg.CallerAddress()))
	in.WatchSettings(c.ctx, edge.SettingsSource{File: file, Data: data, ReloadSignals: reloadSignals})
	ctx, cancel := context.WithTimeout(context.Background(), in.ShutdownTimeout())
	defer cancel()
	err = errors.Join(k.Drain(ctx), k.Stop(context.Background()))
	log.Info("instance stopped", zap.String("instance", cfg.Name()), zap.Error(err))
	out.Close()
	return err
}
