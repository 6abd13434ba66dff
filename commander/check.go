package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/parser"
)

func (c *Commander) checkCommand() *ffcli.Command {
	o := output{commander: c}
	flags := c.flagSet("check")
	o.register(flags)
	settings := flags.Bool("settings", false, "check the settings of an instance instead of an operator's text")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "chervilvane check [-settings] [-o json] FILE",
		ShortHelp:  "Check a text, or the settings of an instance, without applying it",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			files, err := parseArgs(flags, args, "FILE")
			if err != nil {
				return err
			}
			text, err := c.readFile(files[0])
			if err != nil {
				return err
			}
			findings := checkFile(files[0], text, *settings)
			if len(findings) > 0 {
				return o.printFindings(findings)
			}
			return o.print(struct{ Findings []decoder.Finding }{[]decoder.Finding{}}, func(w io.Writer) {
				fmt.Fprintln(w, "no findings")
			})
		},
	}
}

func checkFile(file string, text []byte, settings bool) []decoder.Finding {
	if settings {
		_, findings := loader.Parse(file, text)
		return findings
	}
	_, findings := parser.Parse(file, text)
	return findings
}

// readFile reads a file, or standard input if its name is -. It stops one byte
// after the maximum size, which is enough for a finding about the size.
func (c *Commander) readFile(name string) ([]byte, error) {
	in := c.config.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, Usagef("%v", err)
		}
		defer file.Close()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, decoder.MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", name)
	}
	return text, nil
}
