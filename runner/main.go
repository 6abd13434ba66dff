package runner

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/loader"
)

// Exit statuses of the daemon.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the flags or the settings.
type usageError struct{ cause error }

// Error implements error.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// ExitStatus returns the exit status for an error of Main.
func ExitStatus(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// Main runs the daemon with command line arguments until the context ends. It
// writes the structured log to stdout and messages for people to stderr.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("chervilvaned", flag.ContinueOnError)
	flags.SetOutput(stderr)
	settingsFile := flags.String("settings", "", "the instance's settings `FILE` (YAML)")
	dev := flags.Bool("dev", false, "run one instance with a temporary data folder, a stand-in upstream and a sample text")
	onPlatform := flags.Bool("platform", false, "run an instance of a scheduling domain under the platform's settings")
	meshListen := flags.String("mesh-listen", "", "with -platform, bind the mesh to `ADDRESS` rather than to the address by which peers know this instance")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("CHERVILVANED")); err != nil {
		return &usageError{err}
	}
	if *dev {
		return runDev(ctx, stdout, stderr)
	}
	if *onPlatform {
		return runPlatform(ctx, *meshListen, *check, stdout)
	}
	settings, err := loadSettings(*settingsFile, stderr)
	if err != nil || *check {
		return err
	}
	return Run(ctx, New(settings, Options{LogTo: stdout}))
}

// loadSettings reads the settings file and prints all findings.
func loadSettings(file string, stderr io.Writer) (loader.Settings, error) {
	if file == "" {
		return loader.Settings{}, &usageError{errors.New("name the settings with -settings FILE, or try -dev")}
	}
	settings, findings, err := loader.Load(file)
	if err != nil {
		return settings, &usageError{err}
	}
	return settings, printFindings(findings, stderr)
}

func printFindings(findings []decoder.Finding, stderr io.Writer) error {
	for _, f := range findings {
		fmt.Fprintln(stderr, f)
	}
	if len(findings) > 0 {
		return &usageError{errors.Newf("the settings have %d findings", len(findings))}
	}
	return nil
}
