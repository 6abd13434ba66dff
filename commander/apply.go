package commander

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/unit"
)

// applyFlags are the flags of the command apply.
type applyFlags struct {
	base    int64
	id      string
	wait    bool
	timeout time.Duration
}

// baseInForce is the value of -base that means the version in force.
const baseInForce = -1

// DefaultWait is the default timeout of apply -wait.
const DefaultWait = 30 * clock.Second

func (c *Commander) applyCommand() *ffcli.Command {
	o, t, a := output{commander: c}, target{commander: c}, applyFlags{}
	flags := c.flagSet("apply")
	o.register(flags)
	t.register(flags)
	flags.Int64Var(&a.base, "base", baseInForce, "the version that the text replaces (default the version in force)")
	flags.StringVar(&a.id, "id", "", "id of this change, to resend one whose answer was lost")
	flags.BoolVar(&a.wait, "wait", false, "wait until every reachable instance runs the new version")
	flags.DurationVar(&a.timeout, "timeout", DefaultWait.Duration(), "bound on the wait")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "chervilvane apply [-base N] [-wait] [flags] TEXT",
		ShortHelp:  "Put a text in force, if the version that it replaces still is",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			files, err := parseArgs(flags, args, "TEXT")
			if err != nil {
				return err
			}
			return c.apply(ctx, &o, &t, a, files[0])
		},
	}
}

func (c *Commander) apply(ctx context.Context, o *output, t *target, a applyFlags, file string) error {
	text, err := c.readFile(file, textFormat.MaxBytes)
	if err != nil {
		return err
	}
	if _, findings := parser.Parse(file, text); len(findings) > 0 {
		return o.printFindings(findings)
	}
	f, err := t.fetcher()
	if err != nil {
		return err
	}
	defer f.Close()
	client := operator.NewClient(f)
	base, err := a.resolveBase(ctx, client)
	if err != nil {
		return err
	}
	if a.id == "" {
		a.id = uuid.NewString()
	}
	version, err := client.ApplyConfig(ctx, base, a.id, text)
	if err != nil {
		return o.handleApplyError(err, file, base, a.id)
	}
	if a.wait {
		if err := c.waitForVersion(ctx, o, client, version, a.timeout); err != nil {
			return err
		}
	}
	return o.print(struct{ Version unit.Version }{version}, func(w io.Writer) {
		fmt.Fprintf(w, "version %d\n", version)
	})
}

func (a applyFlags) resolveBase(ctx context.Context, client *operator.Client) (unit.Version, error) {
	if a.base > baseInForce {
		return unit.Version(a.base), nil
	}
	if a.base < baseInForce {
		return 0, Usagef("-base must be a version, 0 for none")
	}
	version, _, err := client.CurrentConfig(ctx)
	return version, err
}

// handleApplyError prints why a change wasn't accepted, or how to resend it if
// its result is unknown. It returns the error for the exit status.
func (o *output) handleApplyError(err error, file string, base unit.Version, id string) error {
	var invalidConfig *operator.InvalidConfigError
	var conflict *operator.ConflictError
	var unknownResult *operator.UnknownResultError
	switch {
	case errors.As(err, &invalidConfig):
		for i := range invalidConfig.Findings {
			invalidConfig.Findings[i].File = file
		}
		return o.printFindings(invalidConfig.Findings)
	case errors.As(err, &conflict):
		printErr := o.print(conflict, func(w io.Writer) { fmt.Fprintln(w, conflict) })
		return errors.CombineErrors(printErr, &exitError{StatusNotDone})
	case errors.As(err, &unknownResult):
		o.printNote("resend the same text with: chervilvane apply -base %d -id %s %s", base, id, file)
	}
	return err
}

// pollInterval is the time between two requests for the running versions.
const pollInterval = 200 * clock.Millisecond

// waitForVersion waits until every reachable instance runs a version and prints
// the unreachable ones. It doesn't wait for those, since some instance is often
// down or unreachable.
func (c *Commander) waitForVersion(ctx context.Context, o *output, client *operator.Client, version unit.Version, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	interval := pollInterval
	if c.config.Backoff > 0 {
		interval = c.config.Backoff
	}
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	var r rollout
	for {
		instances, err := client.RunningVersions(ctx)
		if err == nil {
			r = newRollout(instances, version)
			if r.isComplete() {
				r.printUnreachable(o, version)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			r.printUnreachable(o, version)
			o.printNote("version %d is accepted, but not in force yet at: %s", version, firstNonEmpty(strings.Join(r.outdated, ", "), "unknown"))
			return &exitError{StatusNotDone}
		case <-ticker.C:
		}
	}
}

// rollout lists the instances that run a version or a later one, those that run
// an older one, and the unreachable ones.
type rollout struct{ running, outdated, unreachable []string }

func newRollout(instances []operator.RunningVersion, version unit.Version) rollout {
	var r rollout
	for _, i := range instances {
		switch {
		case !i.Reachable:
			r.unreachable = append(r.unreachable, string(i.Instance))
		case i.Version < version:
			r.outdated = append(r.outdated, fmt.Sprintf("%s (version %d)", i.Instance, i.Version))
		default:
			r.running = append(r.running, string(i.Instance))
		}
	}
	return r
}

func (r rollout) isComplete() bool { return len(r.running) > 0 && len(r.outdated) == 0 }

func (r rollout) printUnreachable(o *output, version unit.Version) {
	if len(r.unreachable) > 0 {
		o.printNote("version %d isn't known to be in force at instances that don't answer: %s", version, strings.Join(r.unreachable, ", "))
	}
}
