package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"chervilpath/core/declare"
	"chervilpath/core/option"
	"chervilpath/core/settings"
)

type (
	checkCommand struct {
		*program
		Format string `long:"format" choice:"text" choice:"json" default:"text" description:"Output format"`
		Args   struct {
			Paths []string `positional-arg-name:"PATH" required:"1" description:"Files, or directories with .ini files"`
		} `positional-args:"yes"`
	}

	// problemLine is the JSON encoding of an option.Problem.
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
		name: "check", short: "Check declaration files and settings of instances hosted by the platform",
		long: `Checks the declaration files as a whole, and each file with a section [site] as
the settings of an instance hosted by the platform. Every problem is reported as
"file:line: section key: what is wrong and what would be right".

Examples:
  chervilpath check examples/kgotso
  chervilpath check --format json services/*/pipeline.ini`,
		data: &checkCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	fragments, err := readDeclarations(c.Args.Paths)
	if err != nil {
		return err
	}
	fragments, sites, problems := checkSites(fragments)
	var set *declare.Set
	if len(fragments) > 0 || sites == 0 {
		var buildProblems option.Problems
		set, buildProblems = declare.Build(fragments)
		problems = append(problems, buildProblems...)
	}
	problems = deduplicate(problems)
	if c.Format == "json" {
		if err := c.printJSON(problems); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		if c.Format == "text" {
			_, _ = fmt.Fprintln(c.out, problems.Error())
		}
		return &exitError{exitInvalid, fmt.Errorf("%d problems in %d files", len(problems), len(fragments)+sites)}
	}
	if c.Format == "text" && sites > 0 {
		_, _ = fmt.Fprintf(c.out, "%d settings files are valid\n", sites)
	}
	if c.Format == "text" && set != nil {
		_, _ = fmt.Fprintf(c.out, "%d files are valid: %d kinds, %d stages, %d endpoints, %d organisations\n", len(fragments), len(set.KindNames()), len(set.StageNames()), len(set.EndpointNames()), set.NumOrganisations())
	}
	return nil
}

// checkSites checks the settings files of instances hosted by the platform. It
// returns the other files, the number of settings files and their problems.
func checkSites(fragments []declare.Fragment) (rest []declare.Fragment, sites int, problems option.Problems) {
	for _, f := range fragments {
		if !settings.IsSite(f.Data) {
			rest = append(rest, f)
			continue
		}
		sites++
		_, err := settings.ParseSite(f.Name, f.Data)
		if siteProblems, ok := errors.AsType[option.Problems](err); ok {
			problems = append(problems, siteProblems...)
		}
	}
	return rest, sites, problems
}

func (c *checkCommand) printJSON(problems option.Problems) error {
	lines := make([]problemLine, len(problems))
	for i, p := range problems {
		lines[i] = problemLine(p)
	}
	return json.NewEncoder(c.out).Encode(lines)
}

// deduplicate drops repeated problems, since both checks may report the same one.
func deduplicate(problems option.Problems) option.Problems {
	var out option.Problems
	for _, p := range problems {
		if !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}
