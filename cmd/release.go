package cmd

import (
	"fmt"

	"chervilpath/io/operator"
)

type releaseCommand struct {
	*program
	operatorOptions
	Args struct {
		Address string `positional-arg-name:"ADDRESS" required:"yes" description:"Operator address of any instance on the platform"`
		Service string `positional-arg-name:"SERVICE" required:"yes" description:"Service of the model engines"`
		Part    string `positional-arg-name:"PART" required:"yes" description:"ID of the prompt part"`
	} `positional-args:"yes"`
}

func (p *program) newRelease() subcommand {
	return subcommand{
		name: "release", short: "Release a prompt part that is held back",
		long: `Lets requests pass again whose prompts have a part on which model engines
crashed, in the whole fleet. The crashes so far no longer count against the
part. chervilpath status lists the parts that are held back.

Example:
  chervilpath release 10.0.1.1:8082 assistant 91bd3f06`,
		data: &releaseCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *releaseCommand) Execute([]string) error {
	token, err := c.token()
	if err != nil {
		return err
	}
	if err := operator.Release(c.ctx, c.Args.Address, token, c.Args.Service, c.Args.Part); err != nil {
		return &exitError{exitUnavailable, err}
	}
	if _, err := fmt.Fprintf(c.out, "part %s of service %s is released\n", c.Args.Part, c.Args.Service); err != nil {
		return fmt.Errorf("printing the result: %w", err)
	}
	return nil
}
