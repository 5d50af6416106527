package cmd

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// version is the version of the release that is built from this source.
const version = "0.1.0"

type versionCommand struct{ *program }

func (p *program) newVersion() subcommand {
	return subcommand{name: "version", short: "Print the version", long: "Prints the version and what it was built with.", data: &versionCommand{p}}
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, _ = fmt.Fprintf(c.out, "chervilpath %s, commit %s, %s\n", version, revision, runtime.Version())
	return nil
}
