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

// operatorCommand returns a command without arguments that sends a request with
// an operator's client and prints the response.
func (c *Commander) operatorCommand(name, help string, request func(ctx context.Context, client *operator.Client, o *output) error) *ffcli.Command {
	o, t := &output{commander: c}, &target{commander: c}
	flags := c.flagSet(name)
	o.register(flags)
	t.register(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "chervilvane " + name + " [-o json] [flags]",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := requireNoArgs(flags, args); err != nil {
				return err
			}
			return t.withOperatorClient(func(client *operator.Client) error { return request(ctx, client, o) })
		},
	}
}

// withOperatorClient calls f with an operator's client for the target.
func (t *target) withOperatorClient(f func(*operator.Client) error) error {
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
			o.printNote("version %d", version)
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
			writeTable(w, []any{"VERSION", "OPERATOR", "AT"}, func(row func(...any)) {
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

// requireFlags returns a usage error for the first of the named flags that has
// no value.
func requireFlags(f *flag.FlagSet, names ...string) error {
	for _, name := range names {
		if f.Lookup(name).Value.String() == "" {
			return Usagef("%s needs -%s", f.Name(), name)
		}
	}
	return nil
}
