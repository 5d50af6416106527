// Command drive runs one case of the review: processes of the system under a disruption
// from outside, with stand-ins for the platform, the servers and the clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxStarts is how often a case begins anew if not all processes become ready.
const maxStarts = 3

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// options are those of a run.
type options struct {
	binary, record string
	trouble        bool
	seed           uint64
}

var cases = map[string]func(f *fleet, o options) error{
	"failed-run": failedRun,
	"stale-view": staleView,
}

// machinesOf holds the number of machines of each case, and seedsOf the indexes of the
// machines that are seeds.
var (
	machinesOf = map[string]int{"failed-run": 8, "stale-view": 8}
	seedsOf    = map[string][]int{"failed-run": {0, 1, 2}, "stale-view": {2, 6, 7}}
)

func main() {
	var o options
	name := flag.String("case", "", "name of the case")
	flag.StringVar(&o.binary, "binary", "target/chervilpath", "program under test")
	flag.StringVar(&o.record, "record", "", "file for the record")
	flag.BoolVar(&o.trouble, "trouble", true, "with the disruption")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of what is drawn")
	flag.Parse()
	os.Exit(run(*name, o))
}

func run(name string, o options) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	var f *fleet
	for range maxStarts {
		if f, err = newFleet(dir, o.binary, machinesOf[name], seedsOf[name]...); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		err = c(f, o)
		if closeErr := f.close(); closeErr != nil {
			fmt.Fprintln(os.Stderr, closeErr)
		}
		if !errors.Is(err, errNotReady) {
			break
		}
	}
	result := exitHeld
	switch {
	case errors.Is(err, errBroken):
		f.log("result: broken")
		result = exitBroken
	case err != nil:
		f.log("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = exitNotRun
	default:
		f.log("result: held")
	}
	if err := f.writeRecord(o.record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return result
}
