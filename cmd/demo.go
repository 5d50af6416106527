package cmd

import (
	"fmt"
	"io"
	"os"
	"time"

	"chervilpath/demo"
)

type demoCommand struct {
	*program
	Deployment []string      `long:"deployment" choice:"kgotso" choice:"darbgalds" description:"Example deployment to serve; may be repeated (default: both)"`
	Instances  int           `long:"instances" default:"4" description:"Number of entry instances of each deployment"`
	Duration   time.Duration `long:"duration" default:"10s" description:"Duration of the load on each deployment"`
	Rate       float64       `long:"rate" default:"60" description:"Requests per second"`
	Seed       uint64        `long:"seed" default:"1" description:"Random seed for the load and, with --chaos, the faults"`
	Calm       bool          `long:"calm" description:"Do not crash any endpoint or instance"`
	Chaos      bool          `long:"chaos" description:"Inject random faults of all kinds, determined by the seed"`
	Log        string        `long:"log" value-name:"FILE" description:"File to write the instances' log to"`
}

func (p *program) newDemo() subcommand {
	return subcommand{
		name: "demo", short: "Serve the examples on embedded stand-ins under load",
		long: `Hosts the deployments of examples/ in this process, on loopback: stand-ins for
the platform and the endpoints, and several entry instances. Sends requests,
streams and bookings, crashes an endpoint and an instance midway, checks every
promise and prints a report. Exit code 5 means that a promise was broken.

Examples:
  chervilpath demo
  chervilpath demo --deployment kgotso --duration 30s --rate 120 --seed 7
  chervilpath demo --chaos --duration 10m --seed 3`,
		data: &demoCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if c.Instances < 2 || c.Rate <= 0 || c.Duration <= 0 {
		return &exitError{exitUsage, fmt.Errorf("give at least 2 instances, and a rate and a duration above 0")}
	}
	logOutput := io.Discard
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return fmt.Errorf("creating the log file: %w", err)
		}
		defer func() { _ = f.Close() }()
		logOutput = f
	}
	log, err := newLogger(logOutput, "info")
	if err != nil {
		return err
	}
	names := c.Deployment
	if len(names) == 0 {
		names = []string{"kgotso", "darbgalds"}
	}
	violations, err := demo.Run(c.ctx, demo.Options{
		Deployments: names, Instances: c.Instances, Duration: c.Duration, Rate: c.Rate, Seed: c.Seed, NoLosses: c.Calm, Chaos: c.Chaos, Log: log, Out: c.out,
	})
	if err != nil {
		return err
	}
	if len(violations) > 0 {
		return &exitError{exitViolation, fmt.Errorf("%d promises were broken", len(violations))}
	}
	return nil
}
