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
	Keys      time.Duration `long:"keys" default:"168h" value-name:"TIME" description:"Keep claims and outcomes for this long; a key is a new one afterwards"`
	Costs     time.Duration `long:"costs" default:"2160h" value-name:"TIME" description:"Keep records of cost for this long"`
	Revisions time.Duration `long:"revisions" default:"720h" value-name:"TIME" description:"Keep old revisions for this long; a roll back reaches no further"`
}

// minKeyRetention is the shortest time for which keys have to be kept.
const minKeyRetention = 24 * time.Hour

func (p *program) newSweep() subcommand {
	return subcommand{
		name: "sweep", short: "Remove what the platform's store holds and is no longer needed",
		long: `Removes old claims and outcomes of keys, records of cost and revisions, within
the rate of one operator's command. Run it now and then, from one place; two
runs at once do no harm. Fragments of removed revisions go with a run that comes
an hour later or more.

Example:
  chervilpath sweep --platform http://10.0.0.5:9000 --keys 168h`,
		data: &sweepCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *sweepCommand) Execute([]string) error {
	if c.Keys < minKeyRetention {
		return &exitError{exitUsage, fmt.Errorf("--keys is %v; write at least %v, since a caller may send a request again until then", c.Keys, minKeyRetention)}
	}
	counts, err := sweep.Run(c.ctx, c.client().Store(), time.Now(), sweep.Retention{Keys: c.Keys, Costs: c.Costs, Revisions: c.Revisions})
	_, _ = fmt.Fprintf(c.out, "%d objects removed of %d looked at\n", counts.Removed, counts.Examined)
	if err != nil {
		return fault.Errorf(fault.StoreUnavailable, "%w", err)
	}
	return nil
}
