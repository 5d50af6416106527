package cmd

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"chervilpath/core/fault"
	"chervilpath/core/publish"
	"chervilpath/io/http1"
	"chervilpath/io/objects"
	"chervilpath/io/operator"
	"chervilpath/platform"
)

const (
	// operatorRate bounds the reads and the writes per second that an operator's
	// command makes at the platform.
	operatorRate = 50

	waitPollInterval = 250 * time.Millisecond

	// diffContext is the number of unchanged lines around a change in a diff.
	diffContext = 3
)

type (
	// platformOptions are the options of commands that use the platform.
	platformOptions struct {
		Platform string `long:"platform" value-name:"URL" required:"yes" env:"CHERVILPATH_PLATFORM" description:"URL of the platform"`
	}

	publishCommand struct {
		*program
		platformOptions
		operatorOptions
		DryRun   bool          `long:"dry-run" description:"Show what would change, without writing anything"`
		Remove   []string      `long:"remove" value-name:"NAME" description:"Remove a file that is in force; may be repeated"`
		Base     int64         `long:"base" value-name:"REVISION" description:"Refuse to publish if another operator has changed one of the files since this revision"`
		Note     string        `long:"note" description:"Reason for the change, shown in the history"`
		Operator []string      `long:"operator" value-name:"ADDRESS" description:"Operator address of an instance, for --wait; may be repeated"`
		Wait     time.Duration `long:"wait" value-name:"TIME" description:"Wait up to this long until every live instance has the revision in force"`
		Args     struct {
			Paths []string `positional-arg-name:"PATH" description:"Files, or directories with .ini files"`
		} `positional-args:"yes"`
	}

	historyCommand struct {
		*program
		platformOptions
		Number int    `long:"number" short:"n" default:"20" description:"Maximum number of revisions to show"`
		Format string `long:"format" choice:"text" choice:"json" default:"text" description:"Output format"`
	}

	rollbackCommand struct {
		*program
		platformOptions
		Args struct {
			Revision int64 `positional-arg-name:"REVISION" required:"yes" description:"Revision whose files to restore"`
		} `positional-args:"yes"`
	}
)

func (p *program) newPublish() subcommand {
	return subcommand{
		name: "publish", short: "Put declaration files in force",
		long: `Reads declaration files, shows what would change, validates the resulting
declarations as a whole, and puts them in force as a new revision. Other files
that are in force stay unchanged. If another operator changes one of the same
files in the meantime, the command fails with exit code 3 and names the
revision.

Examples:
  chervilpath publish --platform http://10.0.0.5:9000 --dry-run services/
  chervilpath publish --platform http://10.0.0.5:9000 --wait 10s --operator 10.0.1.1:8082 services/`,
		data: &publishCommand{program: p},
	}
}

func (p *program) newHistory() subcommand {
	return subcommand{
		name: "history", short: "Show the revisions that were in force",
		long: "Shows revisions, the newest first.\n\nExample:\n  chervilpath history --platform http://10.0.0.5:9000 -n 5",
		data: &historyCommand{program: p},
	}
}

func (p *program) newRollback() subcommand {
	return subcommand{
		name: "rollback", short: "Restore the files of an earlier revision",
		long: "Publishes the files of an earlier revision as a new one.\n\nExample:\n  chervilpath rollback --platform http://10.0.0.5:9000 41",
		data: &rollbackCommand{program: p},
	}
}

func (o platformOptions) client() *objects.Client {
	store := platform.NewStore(strings.TrimSuffix(o.Platform, "/"), http1.NewClient())
	return objects.New(store.Objects(objects.WatchWait), operatorRate, operatorRate)
}

func (o platformOptions) publisher() *publish.Publisher {
	return publish.New(o.client().Store(), time.Now)
}

func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	change := publish.Change{Remove: c.Remove, Base: c.Base, By: operatorName(), Note: c.Note, ID: rand.Text()}
	if len(c.Args.Paths) > 0 {
		fragments, err := readDeclarations(c.Args.Paths)
		if err != nil {
			return err
		}
		change.Fragments = fragments
	}
	diffs, err := c.publisher().Plan(c.ctx, change)
	c.printDiffs(diffs)
	if err != nil {
		return err
	}
	if c.DryRun || len(diffs) == 0 {
		_, _ = fmt.Fprintf(c.out, "%d files would change\n", len(diffs))
		return nil
	}
	root, err := c.publisher().Publish(c.ctx, change)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "revision %d is in force\n", root.Revision)
	if c.Wait > 0 {
		return c.waitInForce(root.Revision)
	}
	return nil
}

func (c *publishCommand) printDiffs(diffs []publish.FragmentDiff) {
	for _, d := range diffs {
		text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A: difflib.SplitLines(string(d.Old)), B: difflib.SplitLines(string(d.New)),
			FromFile: "in force/" + d.Name, ToFile: "new/" + d.Name, Context: diffContext,
		})
		if err == nil {
			_, _ = fmt.Fprint(c.out, text)
		}
	}
}

// waitInForce polls instances until every live one has the revision in force.
func (c *publishCommand) waitInForce(revision int64) error {
	token, err := c.token()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.Wait)
	defer cancel()
	var lagging []string
	for {
		lagging = laggingInstances(ctx, c.Operator, token, revision)
		if len(lagging) == 0 {
			_, _ = fmt.Fprintf(c.out, "every live instance has revision %d in force\n", revision)
			return nil
		}
		select {
		case <-ctx.Done():
			return &exitError{exitUnavailable, fmt.Errorf("after %v revision %d is not in force at: %v", c.Wait, revision, lagging)}
		case <-time.After(waitPollInterval):
		}
	}
}

// laggingInstances returns the live instances that do not have the revision in
// force, as seen by the first of the addressed instances that answers.
func laggingInstances(ctx context.Context, addresses []string, token string, revision int64) []string {
	var lastErr error
	for _, a := range addresses {
		s, err := operator.FetchStatus(ctx, a, token)
		if err != nil {
			lastErr = err
			continue
		}
		var lagging []string
		for _, m := range s.Members {
			if m.State == "live" && m.Revision < revision {
				lagging = append(lagging, fmt.Sprintf("%s (%d)", m.Name, m.Revision))
			}
		}
		return lagging
	}
	return []string{fmt.Sprintf("unknown: no instance answers (%v)", lastErr)}
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	roots, err := publish.History(c.ctx, c.client().Store(), c.Number)
	if err != nil {
		return fault.Errorf(fault.StoreUnavailable, "reading the history: %w", err)
	}
	if c.Format == "json" {
		return json.NewEncoder(c.out).Encode(roots)
	}
	var b bytes.Buffer
	for _, r := range roots {
		_, _ = fmt.Fprintf(&b, "%6d  %s  %-12s %3d files  %s\n", r.Revision, r.At.Format(time.RFC3339), r.By, len(r.Fragments), r.Note)
	}
	_, err = c.out.Write(b.Bytes())
	return err
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute([]string) error {
	p := c.publisher()
	change, err := p.Rollback(c.ctx, c.Args.Revision, operatorName(), rand.Text())
	if err != nil {
		return err
	}
	root, err := p.Publish(c.ctx, change)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "revision %d is in force with the files of revision %d\n", root.Revision, c.Args.Revision)
	return nil
}
