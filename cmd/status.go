package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"chervilpath/core/status"
	"chervilpath/io/operator"
)

type statusCommand struct {
	*program
	operatorOptions
	Format string `long:"format" choice:"text" choice:"json" default:"text" description:"Output format"`
	Args   struct {
		Addresses []string `positional-arg-name:"ADDRESS" required:"1" description:"Operator addresses of the instances"`
	} `positional-args:"yes"`
}

// operatorOptions are the options of commands that query instances.
type operatorOptions struct {
	TokenFile string `long:"token-file" value-name:"FILE" env:"CHERVILPATH_TOKEN_FILE" description:"File that contains the operators' token of the instances"`
}

// token returns the operators' token, or "" if no file is given.
func (o operatorOptions) token() (string, error) {
	if o.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", fmt.Errorf("reading the operators' token: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (p *program) newStatus() subcommand {
	return subcommand{
		name: "status", short: "Show instances, revisions, endpoints, load and attainment",
		long: "Queries instances for their state and prints it.\n\nExample:\n  chervilpath status 10.0.1.1:8082 10.0.1.2:8082",
		data: &statusCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var instances []status.Instance
	var fetchErr error
	token, err := c.token()
	if err != nil {
		return err
	}
	for _, a := range c.Args.Addresses {
		s, err := operator.FetchStatus(c.ctx, a, token)
		if err != nil {
			fetchErr = errors.Join(fetchErr, err)
			continue
		}
		instances = append(instances, s)
	}
	if err := c.print(instances); err != nil {
		return err
	}
	if fetchErr != nil {
		return &exitError{exitUnavailable, fetchErr}
	}
	return nil
}

func (c *statusCommand) print(instances []status.Instance) error {
	if c.Format == "json" {
		return json.NewEncoder(c.out).Encode(instances)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	printInstances(w, instances)
	printAttainment(w, instances)
	printStages(w, instances)
	printUnwilling(w, instances)
	printQuarantine(w, instances)
	return w.Flush()
}

func printInstances(w io.Writer, instances []status.Instance) {
	_, _ = fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREADY\tREVISION\tREFUSED\tIN FLIGHT\tMEMBERS\tKEYS\tPLATFORM CALLS")
	for _, s := range instances {
		live := 0
		for _, m := range s.Members {
			if m.State == "live" {
				live++
			}
		}
		refused := "-"
		if s.RefusedRevision > 0 {
			refused = fmt.Sprintf("%d: %s", s.RefusedRevision, s.RefusedReason)
		}
		p := s.Platform
		_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%d\t%d of %d\t%d\t%d\n", s.Name, s.FailureDomain, s.Ready, s.Revision, refused, s.InFlight, live, len(s.Members), s.KeysHeld, p.Reads+p.Writes+p.Watches)
	}
}

// printUnwilling prints the servers that told an instance that they want no requests.
func printUnwilling(w io.Writer, instances []status.Instance) {
	heading := "\nINSTANCE\tSERVER\tSERVICE\tBORN\tSTATE\n"
	for _, s := range instances {
		for _, server := range s.Unwilling {
			state := fmt.Sprintf("wants no requests for %d ms", server.ReturnsInMs)
			if server.Leaving {
				state = "leaving"
			}
			_, _ = fmt.Fprintf(w, "%s%s\t%s\t%s\t%d\t%s\n", heading, s.Name, server.ID, server.Service, server.Born, state)
			heading = ""
		}
	}
}

// printQuarantine prints the parts of prompts that are held back.
func printQuarantine(w io.Writer, instances []status.Instance) {
	heading := "\nINSTANCE\tSERVICE\tPROMPT PART\tCRASHES\tSEEN BY\tHELD FOR\tTRIAL IN\tTRIALS\n"
	for _, s := range instances {
		for _, p := range s.QuarantinedParts {
			_, _ = fmt.Fprintf(w, "%s%s\t%s\t%s\t%d\t%d\t%d s\t%d s\t%d\n", heading, s.Name, p.Service, p.Part, p.Crashes, p.Instances, p.HeldMs/1000, p.TrialInMs/1000, p.Trials)
			heading = ""
		}
	}
}

func printAttainment(w io.Writer, instances []status.Instance) {
	_, _ = fmt.Fprintln(w, "\nINSTANCE\tKIND\tREQUESTS IN A MINUTE\tIN TIME")
	for _, s := range instances {
		for _, a := range s.Attainment {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f%%\n", s.Name, a.Kind, a.Requests, 100*a.Fraction)
		}
	}
}

func printStages(w io.Writer, instances []status.Instance) {
	_, _ = fmt.Fprintln(w, "\nINSTANCE\tSTAGE\tWAITING\tMEDIAN MS\tENDPOINT\tIN FLIGHT\tLIMIT\tSLOWNESS\tSTATE")
	for _, s := range instances {
		for _, stage := range s.Stages {
			for _, e := range stage.Endpoints {
				state := "in use"
				switch {
				case e.Leaving:
					state = "leaving"
				case e.Ejected:
					state = "ejected"
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%s\t%d\t%.1f\t%.2f\t%s\n", s.Name, stage.Name, stage.Waiting, stage.MedianMs, e.Name, e.InFlight, e.Limit, e.Slowness, state)
			}
		}
	}
}
