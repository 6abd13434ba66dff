package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/unit"
)

// status has the fields of an instance's status that the tables show.
type status struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Version          unit.Version
	LogLeader        unit.Instance
	LogFreshMillis   clock.Millis
	Zones            []zoneStatus
	Scheduler        schedulerStatus
}

type zoneStatus struct {
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Holder           unit.Instance
	Lost             bool
}

type schedulerStatus struct {
	Holding bool
	Epoch   unit.Epoch
	scheduler.Status
}

func (c *Commander) statusCommand() *ffcli.Command {
	return c.operatorCommand("status", "Print the state of an instance and its zone", func(ctx context.Context, client *operator.Client, o *output) error {
		raw, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if o.isJSON() {
			return o.print(raw, nil)
		}
		var s status
		if err := json.Unmarshal(raw, &s); err != nil {
			return errors.Wrap(err, "the status can't be shown as a table; use -o json")
		}
		s.print(o.commander.config.Out)
		return nil
	})
}

func (s status) print(w io.Writer) {
	fmt.Fprintf(w, "instance %s in availability zone %s, configuration version %d\n", s.Instance, s.AvailabilityZone, s.Version)
	fmt.Fprintf(w, "log: leader %s, copy %s old\n\n", firstNonEmpty(string(s.LogLeader), "unknown"), decoder.FormatDuration(s.LogFreshMillis))
	writeTable(w, []any{"ZONE", "EPOCH", "SCHEDULER"}, func(row func(...any)) {
		for _, z := range s.Zones {
			holder := string(z.Holder)
			if z.Lost {
				holder = "declared lost"
			}
			row(z.AvailabilityZone, z.Epoch, holder)
		}
	})
	if !s.Scheduler.Holding {
		fmt.Fprintln(w, "\nanother instance schedules this zone")
		return
	}
	s.Scheduler.print(w)
}

func (s schedulerStatus) print(w io.Writer) {
	running := 0
	for _, u := range s.Upstreams {
		running += u.Tasks
	}
	fmt.Fprintf(w, "\nscheduler at epoch %d: %d upstreams, %d tasks running, %d waiting\n", s.Epoch, len(s.Upstreams), running, s.Waiting)
	if len(s.Upstreams) > 0 {
		writeTable(w, []any{"UPSTREAM", "RACK", "STATE", "TASKS", "CPU", "MEMORY", "SLOTS"}, func(row func(...any)) {
			for _, u := range s.Upstreams {
				row(u.ID, u.Rack, u.State, u.Tasks,
					decoder.FormatCPU(u.Used.CPU)+"/"+decoder.FormatCPU(u.Holds.CPU),
					decoder.FormatMemory(u.Used.Memory)+"/"+decoder.FormatMemory(u.Holds.Memory),
					fmt.Sprintf("%d/%d", u.Used.Slots, u.Holds.Slots))
			}
		})
	}
	if len(s.First) > 0 {
		writeTable(w, []any{"WAITING TASK", "TEAM", "WHY"}, func(row func(...any)) {
			for _, t := range s.First {
				row(t.Task, t.Team, formatRefusal(t.Why))
			}
		})
	}
}
