package cmd

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"chervilpath/core/kernel"
	"chervilpath/core/settings"
	"chervilpath/node"
)

type entryCommand struct {
	*program
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"Settings of the instance, see docs/SETTINGS.md"`
}

func (p *program) newEntry() subcommand {
	return subcommand{
		name: "entry", short: "Serve callers as one entry instance",
		long: `Serves callers until SIGTERM or Ctrl-C. It then fails its readiness, lets
requests in flight end, and hands its keys to another instance. A second
signal ends it at once.

Example:
  chervilpath entry --settings /etc/chervilpath/entry.ini`,
		data: &entryCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	cfg, err := settings.ReadEntry(c.Settings)
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	log, err := newLogger(c.err, cfg.LogLevel())
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
	c.endSignals()
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Drain())
	defer cancel()
	return errors.Join(k.Drain(ctx), k.Stop(context.Background()))
}
