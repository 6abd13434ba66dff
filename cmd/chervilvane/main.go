// Command chervilvane is the command line tool of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/chervilvane/chervilvane/commander"
	"github.com/chervilvane/chervilvane/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	c := commander.New(commander.Config{
		In:      os.Stdin,
		Out:     os.Stdout,
		Err:     os.Stderr,
		Getenv:  os.Getenv,
		Version: version(),
		Certs:   addCertsFlags,
		Platform: &commander.Format{
			MaxBytes:   platform.MaxConfigBytes,
			Recognizes: platform.IsConfig,
			Check:      platform.CheckConfig,
			Compare:    platform.CompareConfigs,
			Fetch:      platform.FetchConfig,
		},
	})
	status := c.Run(ctx, os.Args[1:])
	stop()
	os.Exit(int(status))
}

// version returns the module version of this build, followed by its revision if
// that is known.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
