// Command standin runs a stand-in upstream as a separate process, for tests and
// trials. On SIGTERM or SIGINT it takes no more tasks, waits for the running
// ones and ends. It logs a line for each task that it starts and for each that
// ends.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/tracer"
	"github.com/chervilvane/chervilvane/unit"
	"github.com/chervilvane/chervilvane/worker"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	log := logger.New(loader.Log{}, os.Stdout)
	err := run(ctx, os.Args[1:], log)
	stop()
	if err != nil {
		log.WithError(err).Error("the stand-in upstream failed")
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, log logrus.FieldLogger) error {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	id := flags.String("id", "standin", "name of the upstream")
	zone := flags.String("zone", "", "availability zone")
	rack := flags.String("rack", "", "rack")
	listen := flags.String("listen", "127.0.0.1:0", "address of the HTTP interface, IP:PORT")
	entries := flags.String("entries", "", "API addresses of entry instances, IP:PORT, separated by commas")
	cores := flags.Int64("cores", 32, "processor cores")
	memory := flags.Int64("memory", 128, "memory in GB")
	accelerators := flags.Int64("accelerators", 0, "accelerators")
	slots := flags.Int64("slots", 8, "slots")
	connections := flags.Int64("connections", 64, "connections")
	spans := flags.String("trace", "", "file for spans")
	if err := ff.Parse(flags, args); err != nil {
		return errors.Wrap(err, "flags")
	}
	provider, shutdown, err := tracer.New(loader.Trace{File: *spans}, unit.Instance(*id))
	if err != nil {
		return err
	}
	w := worker.New(worker.Config{
		ID:               unit.Upstream(*id),
		AvailabilityZone: unit.AvailabilityZone(*zone),
		Rack:             unit.Rack(*rack),
		ListenAddress:    *listen,
		EntryAddresses:   strings.Split(*entries, ","),
		Capacity: unit.Resources{
			CPU:          unit.MilliCPU(*cores) * unit.Core,
			Memory:       unit.Bytes(*memory) * unit.Gigabyte,
			Accelerators: unit.Count(*accelerators),
			Slots:        unit.Count(*slots),
			Connections:  unit.Count(*connections),
		},
		Logger: log,
		Tracer: provider.Tracer("standin"),
	})
	err = w.Run(ctx)
	return errors.CombineErrors(err, shutdown(context.WithoutCancel(ctx)))
}
