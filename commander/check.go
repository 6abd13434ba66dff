package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/differ"
)

// checkFlags are the flags of the command check.
type checkFlags struct {
	settings, platform, inForce bool
	against                     string
}

func (c *Commander) checkCommand() *ffcli.Command {
	o, t, k := output{commander: c}, target{commander: c}, checkFlags{}
	flags := c.flagSet("check")
	o.register(flags)
	t.register(flags)
	flags.BoolVar(&k.settings, "settings", false, "check the settings of an instance")
	if c.config.Platform != nil {
		flags.BoolVar(&k.platform, "platform", false, "check a configuration of the platform (default by the content of the file)")
	}
	flags.StringVar(&k.against, "against", "", "`FILE` with the version in force, to list the differences")
	flags.BoolVar(&k.inForce, "in-force", false, "list the differences from the version in force, read from an instance; also set by -address")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "chervilvane check [-against FILE | -in-force] [-o json] [flags] FILE",
		ShortHelp:  "Check a text, a configuration of the platform or the settings of an instance, without applying it",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			files, err := parseArgs(flags, args, "FILE")
			if err != nil {
				return err
			}
			k.inForce = k.inForce || t.address != ""
			return c.check(ctx, &o, &t, k, isSet(flags, "platform"), files[0])
		},
	}
}

// isSet reports whether a flag was given.
func isSet(f *flag.FlagSet, name string) bool {
	found := false
	f.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

func (c *Commander) check(ctx context.Context, o *output, t *target, k checkFlags, platformSet bool, file string) error {
	text, err := c.readFile(file, c.maxFileBytes())
	if err != nil {
		return err
	}
	format := c.chooseFormat(k, platformSet, text)
	switch {
	case k.settings && k.platform:
		return Usagef("-settings and -platform exclude each other")
	case k.against != "" && k.inForce:
		return Usagef("-against excludes -in-force and -address")
	case (k.against != "" || k.inForce) && format.Compare == nil:
		return Usagef("settings have no version in force")
	case file == "-" && k.against == "-":
		return Usagef("only one file can be standard input")
	}
	inForce, inForceErr := c.readInForce(ctx, t, k, format)
	r := checkReport{Findings: []decoder.Finding{}}
	r.Findings = append(r.Findings, format.Check(file, text, inForce)...)
	hasErrors := decoder.HasErrors(r.Findings)
	if inForce != nil && !hasErrors {
		var differences []differ.Difference
		if differences, err = format.Compare(inForce, text); err != nil {
			inForceErr = k.compareError(err)
		} else {
			r.Differences = &differences
		}
	}
	if err := o.print(r, r.write); err != nil {
		return err
	}
	if hasErrors {
		// The status tells of the errors; the cause of missing differences is a note.
		if inForceErr != nil {
			o.printNote("chervilvane: %v", inForceErr)
		}
		return &exitError{StatusUsage}
	}
	return inForceErr
}

// compareError returns the error of a comparison. If the version in force is a file,
// the mistake is in the command line.
func (k checkFlags) compareError(err error) error {
	if k.against != "" {
		return Usagef("-against %s: %v", k.against, err)
	}
	return errors.Wrap(err, "the version in force")
}

// maxFileBytes returns the maximum size of a file of any format.
func (c *Commander) maxFileBytes() int {
	if c.config.Platform == nil {
		return textFormat.MaxBytes
	}
	return max(textFormat.MaxBytes, c.config.Platform.MaxBytes)
}

// chooseFormat returns the format that the flags name. Without such a flag, it is
// the platform's or the operator's text, by the content.
func (c *Commander) chooseFormat(k checkFlags, platformSet bool, text []byte) Format {
	switch p := c.config.Platform; {
	case k.settings:
		return settingsFormat
	case k.platform, p != nil && !platformSet && p.Recognizes(text):
		return *p
	default:
		return textFormat
	}
}

// readInForce returns the version in force, or nil if none is asked for.
func (c *Commander) readInForce(ctx context.Context, t *target, k checkFlags, format Format) ([]byte, error) {
	if k.against != "" {
		return c.readFile(k.against, format.MaxBytes)
	}
	if !k.inForce {
		return nil, nil
	}
	f, err := t.fetcher()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	inForce, err := format.Fetch(ctx, f)
	if err != nil {
		return nil, err
	}
	return inForce, nil
}

// checkReport is the result of the command check.
type checkReport struct {
	Findings []decoder.Finding
	// Differences is nil if there was nothing to compare with, or if the file has
	// errors.
	Differences *[]differ.Difference `json:",omitempty"`
}

func (r checkReport) write(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(w, "no findings")
	}
	if r.Differences == nil {
		return
	}
	for _, d := range *r.Differences {
		fmt.Fprintln(w, d)
	}
	if len(*r.Differences) == 0 {
		fmt.Fprintln(w, "no differences")
	}
}

// readFile reads a file, or standard input if its name is -. It stops one byte
// after the maximum size, which is enough for a finding about the size.
func (c *Commander) readFile(name string, maxBytes int) ([]byte, error) {
	in := c.config.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, Usagef("%v", err)
		}
		defer file.Close()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", name)
	}
	return text, nil
}
