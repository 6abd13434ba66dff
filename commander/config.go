package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/unit"
)

// operatorCommand is a command that asks an instance as an operator and prints the
// answer.
func (c *Commander) operatorCommand(name, help string, ask func(ctx context.Context, client *operator.Client, o *output) error) *ffcli.Command {
	o, t := &output{c: c}, &target{c: c}
	flags := c.flagSet(name)
	o.register(flags)
	t.register(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "chervilvane " + name + " [-o json] [flags]",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := wantArgs(flags, args); err != nil {
				return err
			}
			return t.withOperator(func(client *operator.Client) error { return ask(ctx, client, o) })
		},
	}
}

// withOperator calls f with a client of the target.
func (t *target) withOperator(f func(*operator.Client) error) error {
	fetcher, err := t.fetcher()
	if err != nil {
		return err
	}
	defer fetcher.Close()
	return f(operator.NewClient(fetcher))
}

func (c *Commander) showCommand() *ffcli.Command {
	return c.operatorCommand("show", "Print the text in force", func(ctx context.Context, client *operator.Client, o *output) error {
		version, text, err := client.CurrentConfig(ctx)
		if err != nil {
			return err
		}
		if !o.isJSON() {
			o.note("version %d", version)
		}
		return o.print(struct {
			Version unit.Version
			Text    string
		}{version, text}, func(w io.Writer) { fmt.Fprint(w, text) })
	})
}

func (c *Commander) historyCommand() *ffcli.Command {
	return c.operatorCommand("history", "List the accepted configurations", func(ctx context.Context, client *operator.Client, o *output) error {
		lines, err := client.ConfigHistory(ctx)
		if err != nil {
			return err
		}
		return o.print(struct{ History []operator.HistoryLine }{lines}, func(w io.Writer) {
			table(w, []any{"VERSION", "OPERATOR", "AT"}, func(row func(...any)) {
				for _, l := range lines {
					row(l.Version, l.Operator, formatTime(l.AtMillis))
				}
			})
		})
	})
}

func formatTime(m clock.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}

// required returns an error that names the flags without a value.
func required(f *flag.FlagSet, names ...string) error {
	for _, name := range names {
		if f.Lookup(name).Value.String() == "" {
			return Usagef("%s needs -%s", f.Name(), name)
		}
	}
	return nil
}
