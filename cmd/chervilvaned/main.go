// Command chervilvaned is the scheduler's daemon; each process runs one instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/chervilvane/chervilvane/runner"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := runner.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "chervilvaned:", err)
		os.Exit(runner.ExitStatus(err))
	}
}
