package cmd

import (
	"encoding/json"
	"fmt"
	"slices"

	"chervilpath/core/declare"
	"chervilpath/core/option"
)

type (
	checkCommand struct {
		*program
		Format string `long:"format" choice:"text" choice:"json" default:"text" description:"Form of the output"`
		Args   struct {
			Paths []string `positional-arg-name:"PATH" required:"1" description:"Files, or directories with .ini files"`
		} `positional-args:"yes"`
	}

	// problemLine is one problem in JSON.
	problemLine struct {
		File    string `json:"file"`
		Line    int    `json:"line"`
		Section string `json:"section"`
		Key     string `json:"key,omitempty"`
		Message string `json:"message"`
	}
)

func (p *program) newCheck() subcommand {
	return subcommand{
		name: "check", short: "Check declaration files",
		long: `Checks the files as one whole and reports every problem as
"file:line: section key: what is wrong and what would be right".

Examples:
  chervilpath check examples/kgotso
  chervilpath check --format json services/*/pipeline.ini`,
		data: &checkCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	fragments, err := collect(c.Args.Paths)
	if err != nil {
		return err
	}
	set, problems := declare.Build(fragments)
	problems = unique(problems)
	if c.Format == "json" {
		if err := c.printJSON(problems); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		if c.Format == "text" {
			_, _ = fmt.Fprintln(c.out, problems.Error())
		}
		return &exitError{exitInvalid, fmt.Errorf("%d problems in %d files", len(problems), len(fragments))}
	}
	if c.Format == "text" {
		_, _ = fmt.Fprintf(c.out, "%d files are valid: %d kinds, %d stages, %d endpoints, %d organisations\n", len(fragments), len(set.Kinds()), len(set.Stages()), len(set.Endpoints()), set.Organisations())
	}
	return nil
}

func (c *checkCommand) printJSON(problems option.Problems) error {
	lines := make([]problemLine, len(problems))
	for i, p := range problems {
		lines[i] = problemLine(p)
	}
	return json.NewEncoder(c.out).Encode(lines)
}

// unique drops problems that two checks report alike.
func unique(problems option.Problems) option.Problems {
	var out option.Problems
	for _, p := range problems {
		if !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}
