// Package commander is the command line of operators and callers, apart from
// the process: what it reads, prints and returns as exit status is passed in
// and out, so tests run it without a process.
//
// Results go to standard output, as text or with -o json as one JSON value;
// notes for a person go to standard error. The exit status tells a script what
// became of the command (see Status).
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/fetcher"
)

// Status is an exit status.
type Status int

// The exit statuses.
const (
	// StatusDone means that what was asked for is done or accepted.
	StatusDone Status = 0
	// StatusNotDone means that it was refused, failed, is pending or isn't
	// known.
	StatusNotDone Status = 1
	// StatusUsage means that the command or a checked file has mistakes;
	// nothing was sent.
	StatusUsage Status = 2
	// StatusUnreachable means that no instance answered and nothing was
	// changed.
	StatusUnreachable Status = 3
)

// Config of a Commander.
type Config struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Getenv reads the environment.
	Getenv  func(name string) string
	Version string
	// Certs adds the flags of the command certs and returns what it runs; nil
	// leaves the command out.
	Certs func(flags *flag.FlagSet) func(ctx context.Context, args []string) error
	// Backoff is the wait between rounds of resends and the interval of polls;
	// 0 means the default.
	Backoff clock.Millis
}

// Commander runs commands.
type Commander struct{ c Config }

// New returns a Commander.
func New(c Config) *Commander { return &Commander{c: c} }

// Run runs a command line, without the program's name, and returns its exit
// status.
func (c *Commander) Run(ctx context.Context, args []string) Status {
	root := c.root()
	err := root.Parse(args)
	var usage ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return StatusDone
	case errors.As(err, &usage):
		fmt.Fprintln(c.c.Err, usage.Command.UsageFunc(usage.Command))
		return StatusUsage
	case err != nil:
		// The flag package has printed the mistake.
		return StatusUsage
	}
	err = root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return StatusDone
	}
	return c.report(err)
}

// exitError carries the status of a command whose outcome is printed already.
type exitError struct{ status Status }

func (e *exitError) Error() string { return fmt.Sprintf("exit status %d", e.status) }

// usageError is a mistake in the command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// Usagef returns an error about a mistake in the command line; its command
// ends with StatusUsage.
func Usagef(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// report prints an error, unless it is printed already, and returns the exit
// status for it.
func (c *Commander) report(err error) Status {
	var exit *exitError
	var usage *usageError
	var unreachable *fetcher.UnreachableError
	status := StatusNotDone
	switch {
	case err == nil:
		return StatusDone
	case errors.As(err, &exit):
		return exit.status
	case errors.As(err, &usage):
		status = StatusUsage
	case errors.As(err, &unreachable):
		status = StatusUnreachable
	}
	fmt.Fprintln(c.c.Err, "chervilvane:", err)
	return status
}

func (c *Commander) root() *ffcli.Command {
	commands := []*ffcli.Command{
		c.checkCommand(),
		c.applyCommand(),
		c.showCommand(),
		c.historyCommand(),
		c.keyCommand(),
		c.statusCommand(),
		c.submitCommand(),
		c.resultCommand(),
		c.cancelCommand(),
		c.versionCommand(),
	}
	if c.c.Certs != nil {
		commands = append(commands, c.certsCommand())
	}
	return &ffcli.Command{
		Name:        "chervilvane",
		ShortUsage:  "chervilvane <command> [flags]",
		LongHelp:    longHelp,
		FlagSet:     c.flagSet("chervilvane"),
		Subcommands: commands,
	}
}

const longHelp = `Exit status: 0 done, 1 refused, failed, pending or not known,
2 mistakes in the command line or a checked file, 3 no instance answered.

Environment: CHERVILVANE_ADDRESS and CHERVILVANE_KEY stand for the flags
-address and -key.`

func (c *Commander) certsCommand() *ffcli.Command {
	flags := c.flagSet("certs")
	return &ffcli.Command{
		Name:       "certs",
		ShortUsage: "chervilvane certs [flags]",
		ShortHelp:  "Make a private authority and the certificates of instances",
		FlagSet:    flags,
		Exec:       c.c.Certs(flags),
	}
}

func (c *Commander) versionCommand() *ffcli.Command {
	o := output{c: c}
	flags := c.flagSet("version")
	o.register(flags)
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "chervilvane version [-o json]",
		ShortHelp:  "Print the version of this program",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(flags, args); err != nil {
				return err
			}
			return o.print(struct{ Version string }{c.c.Version}, func(w io.Writer) {
				fmt.Fprintln(w, c.c.Version)
			})
		},
	}
}
