// Package cmd owns the command line. Each subcommand has a type of its own.
//
// It must not contain application logic: a subcommand reads its options, calls
// the packages that do the work and prints what they return.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chervilpath/core/fault"
)

// The exit codes of the command, which exitHelp describes.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitConflict
	exitInvalid
	exitViolation
	exitUnavailable
)

type (
	// program holds what all subcommands share.
	program struct {
		out, errOut io.Writer
		// ctx is cancelled by the first SIGINT or SIGTERM. stopSignals restores
		// their default action, so that the next one terminates the process.
		ctx         context.Context
		stopSignals func()
	}

	// exitError is an error that determines the exit code.
	exitError struct {
		code int
		err  error
	}

	// subcommand describes a subcommand to the parser.
	subcommand struct {
		name, short, long string
		data              flags.Commander
		// children are the subcommands of the subcommand.
		children []subcommand
	}
)

const exitHelp = `

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another operator,
4 invalid declarations or settings, 5 an expected outcome failed or a promise
was broken, 6 the platform or an instance does not answer.`

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &program{out: out, errOut: errOut, ctx: ctx, stopSignals: stop}
	parser := flags.NewNamedParser("chervilpath", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serves multi-stage model pipelines with one deadline for each request." + exitHelp
	if err := addCommands(parser.Command, p.subcommands()); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	_, err := parser.ParseArgs(args)
	return p.reportError(err)
}

// addCommands adds subcommands to a command.
func addCommands(c *flags.Command, subcommands []subcommand) error {
	for _, s := range subcommands {
		added, err := c.AddCommand(s.name, s.short, s.long, s.data)
		if err != nil {
			return fmt.Errorf("adding the command %s: %w", s.name, err)
		}
		if err := addCommands(added, s.children); err != nil {
			return err
		}
	}
	return nil
}

func (p *program) subcommands() []subcommand {
	return []subcommand{
		p.newEntry(), p.newCheck(), p.newLint(), p.newPublish(), p.newHistory(), p.newRollback(), p.newStatus(), p.newRelease(),
		p.newCost(), p.newSweep(), p.newReplay(), p.newTrace(), p.newExplain(), p.newLogs(), p.newDemo(), p.newStandin(), p.newHashKey(), p.newVersion(),
	}
}

// reportError prints an error and returns its exit code.
func (p *program) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	if fe, ok := errors.AsType[*flags.Error](err); ok {
		if fe.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(p.out, fe.Message)
			return exitOK
		}
		_, _ = fmt.Fprintln(p.errOut, "chervilpath:", fe.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintln(p.errOut, "chervilpath:", err)
	if ee, ok := errors.AsType[*exitError](err); ok {
		return ee.code
	}
	return exitCodeOf(err)
}

// exitCodeOf returns the exit code for an error by its fault kind.
func exitCodeOf(err error) int {
	switch fault.From(err).Kind() {
	case fault.Conflict:
		return exitConflict
	case fault.BadRequest:
		return exitInvalid
	case fault.StoreUnavailable:
		return exitUnavailable
	}
	return exitFailed
}

// newLogger returns a logger that writes JSON lines of at least the given level.
func newLogger(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("creating the logger: %w", err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "message"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core), nil
}
