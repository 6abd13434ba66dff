// Package commander implements the command line of operators and callers. Its
// input, output and environment come from Config, and Run returns the exit
// status, so tests run it without a process.
//
// Results go to standard output, as text or, with -o json, as one JSON value.
// Notes for people go to standard error. Status lists the exit statuses.
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
	// StatusDone means that the command was carried out or accepted.
	StatusDone Status = 0
	// StatusNotDone means that the command was refused or failed, or that its
	// result is pending or unknown.
	StatusNotDone Status = 1
	// StatusUsage means that the command line or a checked file has errors;
	// warnings about a file don't count.
	// Nothing was sent, unless the errors were found by an instance.
	StatusUsage Status = 2
	// StatusUnreachable means that no instance answered. Nothing was changed.
	StatusUnreachable Status = 3
)

// Config configures a Commander.
type Config struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Getenv returns the value of an environment variable; empty if it isn't
	// set.
	Getenv  func(name string) string
	Version string
	// Certs adds the flags of the command certs and returns the function that
	// the command runs. If nil, there is no such command.
	Certs func(flags *flag.FlagSet) func(ctx context.Context, args []string) error
	// Platform is the format of the platform's configurations. If nil, the command
	// check doesn't read them.
	Platform *Format
	// Backoff is the wait between rounds of resends and the interval of polls;
	// 0 means the default.
	Backoff clock.Millis
}

// Commander runs commands.
type Commander struct{ config Config }

// New returns a Commander with this configuration.
func New(c Config) *Commander { return &Commander{config: c} }

// Run runs a command line, without the program's name, and returns its exit
// status.
func (c *Commander) Run(ctx context.Context, args []string) Status {
	root := c.rootCommand()
	err := root.Parse(args)
	var usage ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return StatusDone
	case errors.As(err, &usage):
		fmt.Fprintln(c.config.Err, usage.Command.UsageFunc(usage.Command))
		return StatusUsage
	case err != nil:
		// The flag package has printed the error.
		return StatusUsage
	}
	err = root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return StatusDone
	}
	return c.reportError(err)
}

// exitError is the error of a command whose result is already printed; status is
// its exit status.
type exitError struct{ status Status }

func (e *exitError) Error() string { return fmt.Sprintf("exit status %d", e.status) }

// usageError is an error in the command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// Usagef returns an error about the command line. A command that returns it ends
// with StatusUsage.
func Usagef(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// reportError prints an error, unless the command has printed it, and returns
// its exit status.
func (c *Commander) reportError(err error) Status {
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
	fmt.Fprintln(c.config.Err, "chervilvane:", sanitize(err.Error()))
	return status
}

func (c *Commander) rootCommand() *ffcli.Command {
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
	if c.config.Certs != nil {
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
		Exec:       c.config.Certs(flags),
	}
}

func (c *Commander) versionCommand() *ffcli.Command {
	o := output{commander: c}
	flags := c.flagSet("version")
	o.register(flags)
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "chervilvane version [-o json]",
		ShortHelp:  "Print the version of this program",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if err := requireNoArgs(flags, args); err != nil {
				return err
			}
			return o.print(struct{ Version string }{c.config.Version}, func(w io.Writer) {
				fmt.Fprintln(w, c.config.Version)
			})
		},
	}
}
