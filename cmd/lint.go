package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"chervilpath/core/lint"
	"chervilpath/io/http1"
	"chervilpath/platform"
)

// lintStoreTimeout limits the reads of the platform's store.
const lintStoreTimeout = 10 * time.Second

type (
	lintCommand struct {
		*program
		Format   string `long:"format" choice:"text" choice:"json" default:"text" description:"Output format"`
		InForce  string `long:"in-force" value-name:"FILE" description:"Show what differs from the configuration in this file"`
		Platform string `long:"platform" value-name:"URL" description:"Show what differs from the configuration in force at the platform, and find services without servers"`
		Args     struct {
			File string `positional-arg-name:"FILE" required:"yes" description:"Configuration of routes as JSON"`
		} `positional-args:"yes"`
	}

	// lintReport is the JSON of what was found.
	lintReport struct {
		Problems []lintLine    `json:"problems"`
		Changes  []lint.Change `json:"changes,omitempty"`
	}

	lintLine struct {
		Path     string `json:"path"`
		Severity string `json:"severity"`
		Message  string `json:"message"`
	}
)

func (p *program) newLint() subcommand {
	return subcommand{
		name: "lint", short: "Check a configuration of routes before it is sent to the platform",
		long: `Reports errors, entries that no request can ever match, and limits that contradict
each other, each with its place and what would be right, and what differs from the
configuration in force. The exit code is 4 if there is a problem.

Examples:
  chervilpath lint --in-force old.json new.json
  chervilpath lint --platform http://10.0.0.5:9000 --format json new.json`,
		data: &lintCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *lintCommand) Execute([]string) error {
	if c.InForce != "" && c.Platform != "" {
		return &exitError{exitUsage, errors.New("give one of --in-force and --platform")}
	}
	spec, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	cfg, problems, err := platform.DecodeForLint(spec)
	if err != nil {
		return &exitError{exitInvalid, fmt.Errorf("%s: %w", c.Args.File, err)}
	}
	inForce, servers, err := c.readInForce()
	if err != nil {
		return err
	}
	cfg.Servers = servers
	problems = append(problems, lint.Check(cfg)...)
	report := lintReport{Problems: make([]lintLine, len(problems))}
	for i, p := range problems {
		report.Problems[i] = lintLine{Path: platform.PlaceName(p.Place), Severity: p.Severity.String(), Message: p.Message}
	}
	if inForce != nil {
		if report.Changes, err = diffSpecs(inForce, spec); err != nil {
			return &exitError{exitInvalid, err}
		}
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(problems) > 0 {
		return &exitError{exitInvalid, fmt.Errorf("%d problems in %s", len(problems), c.Args.File)}
	}
	return nil
}

// readInForce returns the configuration to compare with, or nil, and the number of servers by
// service if it is known.
func (c *lintCommand) readInForce() (spec []byte, servers map[string]int, err error) {
	if c.InForce != "" {
		spec, err = os.ReadFile(c.InForce)
		if err != nil {
			return nil, nil, fmt.Errorf("reading the configuration in force: %w", err)
		}
		return spec, nil, nil
	}
	if c.Platform == "" {
		return nil, nil, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, lintStoreTimeout)
	defer cancel()
	store := platform.NewStore(strings.TrimSuffix(c.Platform, "/"), http1.NewClient())
	objects, _, err := store.ListConfig(ctx)
	if err != nil {
		return nil, nil, &exitError{exitUnavailable, fmt.Errorf("reading the configuration in force: %w", err)}
	}
	for _, o := range objects {
		if platform.IsActiveConfig(o) {
			spec = o.Data
		}
	}
	entries, _, err := store.ListServers(ctx)
	if err != nil {
		return nil, nil, &exitError{exitUnavailable, fmt.Errorf("reading the servers: %w", err)}
	}
	servers = make(map[string]int)
	for _, o := range entries {
		if s, err := platform.DecodeServer(o); err == nil && !s.Draining {
			servers[s.Service]++
		}
	}
	return spec, servers, nil
}

// diffSpecs returns what differs between two configurations in the words of their format.
func diffSpecs(before, after []byte) ([]lint.Change, error) {
	var a, b any
	if err := json.Unmarshal(before, &a); err != nil {
		return nil, fmt.Errorf("decoding the configuration in force: %w", err)
	}
	if err := json.Unmarshal(after, &b); err != nil {
		return nil, fmt.Errorf("decoding the configuration: %w", err)
	}
	return lint.Diff(a, b, platform.IdentityField, platform.SecretField), nil
}

func (c *lintCommand) print(report lintReport) error {
	if c.Format == "json" {
		return json.NewEncoder(c.out).Encode(report)
	}
	for _, p := range report.Problems {
		_, _ = fmt.Fprintf(c.out, "%s: %s: %s: %s\n", c.Args.File, p.Path, p.Severity, p.Message)
	}
	for _, change := range report.Changes {
		switch {
		case change.Old == "":
			_, _ = fmt.Fprintf(c.out, "+ %s %s\n", change.Path, change.New)
		case change.New == "":
			_, _ = fmt.Fprintf(c.out, "- %s %s\n", change.Path, change.Old)
		default:
			_, _ = fmt.Fprintf(c.out, "~ %s %s -> %s\n", change.Path, change.Old, change.New)
		}
	}
	return nil
}
