package cmd

import (
	"fmt"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/sweep"
)

type sweepCommand struct {
	*program
	platformOptions
	Keys      time.Duration `long:"keys" default:"168h" value-name:"TIME" description:"How long to keep claims and outcomes; afterwards a key counts as new"`
	Costs     time.Duration `long:"costs" default:"2160h" value-name:"TIME" description:"How long to keep cost records"`
	Revisions time.Duration `long:"revisions" default:"720h" value-name:"TIME" description:"How long to keep old revisions; older ones can no longer be rolled back to"`
}

// minKeyRetention is the minimum time for which claims and outcomes of keys must
// be kept, since a request that is retried after that time would run again.
const minKeyRetention = 24 * time.Hour

func (p *program) newSweep() subcommand {
	return subcommand{
		name: "sweep", short: "Remove objects from the platform's store that are no longer needed",
		long: `Removes old claims and outcomes of keys, cost records and revisions, at the
limited call rate of an operator's command. Run it regularly from one place;
concurrent runs do no harm. Fragments of removed revisions are removed by a run
at least one hour later.

Example:
  chervilpath sweep --platform http://10.0.0.5:9000 --keys 168h`,
		data: &sweepCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *sweepCommand) Execute([]string) error {
	if c.Keys < minKeyRetention {
		return &exitError{exitUsage, fmt.Errorf("--keys is %v; write at least %v, because callers may retry a request until then", c.Keys, minKeyRetention)}
	}
	counts, err := sweep.Run(c.ctx, c.client().Store(), time.Now(), sweep.Retention{Keys: c.Keys, Costs: c.Costs, Revisions: c.Revisions})
	_, _ = fmt.Fprintf(c.out, "%d objects removed, %d examined\n", counts.Removed, counts.Examined)
	if err != nil {
		return fault.Errorf(fault.StoreUnavailable, "%w", err)
	}
	return nil
}
