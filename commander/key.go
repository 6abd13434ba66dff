package commander

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/unit"
)

func (c *Commander) keyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "key",
		ShortUsage:  "chervilvane key <command> [flags]",
		ShortHelp:   "Grant, withdraw and list keys, or make one for an operator",
		FlagSet:     c.flagSet("key"),
		Subcommands: []*ffcli.Command{c.grantCommand(), c.withdrawCommand(), c.listKeysCommand(), c.makeKeyCommand()},
	}
}

func (c *Commander) grantCommand() *ffcli.Command {
	o, t := &output{commander: c}, &target{commander: c}
	flags := c.flagSet("grant")
	o.register(flags)
	t.register(flags)
	account := flags.String("account", "", "client account that the key is for")
	team := flags.String("team", "", "team that the key takes work for")
	return &ffcli.Command{
		Name:       "grant",
		ShortUsage: "chervilvane key grant -account ACCOUNT -team TEAM [flags]",
		ShortHelp:  "Make a key and grant it; its token is printed once",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := requireNoArgs(flags, args); err != nil {
				return err
			}
			if err := requireFlags(flags, "account", "team"); err != nil {
				return err
			}
			return t.withOperatorClient(func(client *operator.Client) error {
				return grant(ctx, client, o, unit.ClientAccount(*account), unit.Team(*team))
			})
		},
	}
}

func grant(ctx context.Context, client *operator.Client, o *output, account unit.ClientAccount, team unit.Team) error {
	token, err := authenticator.NewToken()
	if err != nil {
		return err
	}
	err = client.GrantKey(ctx, token, account, team)
	var unknownResult *operator.UnknownResultError
	if errors.As(err, &unknownResult) {
		o.printNote("end the key in any case with: chervilvane key withdraw %s", token.ID)
	}
	if err != nil {
		return err
	}
	if !o.isJSON() {
		o.printNote("key %s of account %s works for team %s; the token isn't shown again", token.ID, account, team)
	}
	return o.print(struct {
		Key     authenticator.KeyID
		Token   string
		Account unit.ClientAccount
		Team    unit.Team
	}{token.ID, token.Plaintext(), account, team}, func(w io.Writer) { fmt.Fprintln(w, token.Plaintext()) })
}

func (c *Commander) withdrawCommand() *ffcli.Command {
	o, t := &output{commander: c}, &target{commander: c}
	flags := c.flagSet("withdraw")
	o.register(flags)
	t.register(flags)
	return &ffcli.Command{
		Name:       "withdraw",
		ShortUsage: "chervilvane key withdraw [flags] KEY",
		ShortHelp:  "End a key for good, by its id",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			ids, err := parseArgs(flags, args, "KEY")
			if err != nil {
				return err
			}
			id := authenticator.KeyID(ids[0])
			if token, err := authenticator.ParseToken(ids[0]); err == nil {
				id = token.ID
			}
			if !authenticator.ValidID(id) {
				return Usagef("%q isn't a key id of 16 hexadecimal digits", ids[0])
			}
			return t.withOperatorClient(func(client *operator.Client) error { return withdraw(ctx, client, o, id) })
		},
	}
}

func withdraw(ctx context.Context, client *operator.Client, o *output, id authenticator.KeyID) error {
	logged, err := client.WithdrawKey(ctx, id)
	if err != nil {
		return err
	}
	state, text := "Withdrawn", "withdrawn"
	if !logged {
		state, text = "Pending", "taken by one instance and spreading; not in the log yet"
	}
	return o.print(struct {
		Key   authenticator.KeyID
		State string
	}{id, state}, func(w io.Writer) { fmt.Fprintf(w, "key %s: %s\n", id, text) })
}

func (c *Commander) listKeysCommand() *ffcli.Command {
	return c.operatorCommand("list", "List the keys", func(ctx context.Context, client *operator.Client, o *output) error {
		keys, err := client.Keys(ctx)
		if err != nil {
			return err
		}
		return o.print(struct{ Keys []operator.KeyLine }{keys}, func(w io.Writer) {
			writeTable(w, []any{"KEY", "ACCOUNT", "TEAM", "STATE"}, func(row func(...any)) {
				for _, k := range keys {
					state := "granted"
					if k.Withdrawn {
						state = "withdrawn"
					}
					row(k.Key, k.Account, k.Team, state)
				}
			})
		})
	})
}

func (c *Commander) makeKeyCommand() *ffcli.Command {
	o := &output{commander: c}
	flags := c.flagSet("make")
	o.register(flags)
	return &ffcli.Command{
		Name:       "make",
		ShortUsage: "chervilvane key make [-o json]",
		ShortHelp:  "Make a key for an operator, and its KeyHash for the settings",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if err := requireNoArgs(flags, args); err != nil {
				return err
			}
			token, err := authenticator.NewToken()
			if err != nil {
				return err
			}
			hash := hex.EncodeToString(token.Hash())
			return o.print(struct{ Token, KeyHash string }{token.Plaintext(), hash}, func(w io.Writer) {
				fmt.Fprintf(w, "Token: %s\nKeyHash: %s\n", token.Plaintext(), hash)
			})
		},
	}
}
