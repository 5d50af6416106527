// Command chervilpath serves multi-stage model pipelines. See README.md.
package main

import (
	"os"

	"chervilpath/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
