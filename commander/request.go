package commander

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilvane/chervilvane/caller"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// submitFlags are the flags of the command submit.
type submitFlags struct {
	queue      string
	data       string
	file       string
	id         string
	repeatable bool
	async      bool
	timeout    time.Duration
}

func (c *Commander) submitCommand() *ffcli.Command {
	o, t, s := &output{commander: c}, &target{commander: c}, &submitFlags{}
	flags := c.flagSet("submit")
	o.register(flags)
	t.register(flags)
	flags.StringVar(&s.queue, "queue", "", "queue that takes the request")
	flags.StringVar(&s.data, "data", "", "data of the request")
	flags.StringVar(&s.file, "file", "", "file with the data of the request, - for standard input")
	flags.StringVar(&s.id, "id", "", "id of the request, to resend one whose answer was lost (default a new id)")
	flags.BoolVar(&s.repeatable, "repeatable", false, "the work may be run again after an attempt whose end isn't known")
	flags.BoolVar(&s.async, "async", false, "return once the request is accepted; fetch its result later")
	flags.DurationVar(&s.timeout, "timeout", caller.DefaultTimeout.Duration(), "deadline of the request")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "chervilvane submit -queue QUEUE [-data DATA] [flags]",
		ShortHelp:  "Submit a request and print its answer",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := requireNoArgs(flags, args); err != nil {
				return err
			}
			if err := requireFlags(flags, "queue"); err != nil {
				return err
			}
			return c.submit(ctx, o, t, s)
		},
	}
}

func (c *Commander) submit(ctx context.Context, o *output, t *target, s *submitFlags) error {
	if s.timeout <= 0 || clock.FromDuration(s.timeout) > caller.MaxTimeout {
		return Usagef("-timeout must be above 0 and at most %v", caller.MaxTimeout.Duration())
	}
	data, err := c.requestData(s)
	if err != nil {
		return err
	}
	return t.withCallerClient(func(client *caller.Client) error {
		id, reply, err := client.Submit(ctx, caller.ClientRequest{
			Queue: unit.Queue(s.queue), ID: s.id, Data: data, Repeatable: s.repeatable,
			Timeout: clock.FromDuration(s.timeout), Async: s.async,
		})
		if err != nil {
			return err
		}
		return o.printReply(id, reply)
	})
}

func (c *Commander) requestData(s *submitFlags) ([]byte, error) {
	if s.file == "" {
		return checkDataSize([]byte(s.data))
	}
	if s.data != "" {
		return nil, Usagef("give -data or -file, not both")
	}
	in := c.config.In
	if s.file != "-" {
		file, err := os.Open(s.file)
		if err != nil {
			return nil, Usagef("%v", err)
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, caller.MaxDataBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading the data")
	}
	return checkDataSize(data)
}

func checkDataSize(data []byte) ([]byte, error) {
	if len(data) > caller.MaxDataBytes {
		return nil, Usagef("the data is larger than a request may be (%d bytes)", caller.MaxDataBytes)
	}
	return data, nil
}

// withCallerClient calls f with a caller's client for the target.
func (t *target) withCallerClient(f func(*caller.Client) error) error {
	fetcher, err := t.fetcher()
	if err != nil {
		return err
	}
	defer fetcher.Close()
	return f(caller.NewClient(fetcher))
}

// requestFunc sends a call about the request with an id and prints the reply.
type requestFunc func(ctx context.Context, client *caller.Client, o *output, id string) error

func (c *Commander) resultCommand() *ffcli.Command {
	return c.requestCommand("result", "Print what became of a request", func(ctx context.Context, client *caller.Client, o *output, id string) error {
		reply, err := client.Result(ctx, id)
		if err != nil {
			return err
		}
		return o.printReply(id, reply)
	})
}

func (c *Commander) cancelCommand() *ffcli.Command {
	return c.requestCommand("cancel", "Ask for the end of a request", func(ctx context.Context, client *caller.Client, o *output, id string) error {
		reply, err := client.Cancel(ctx, id)
		if err != nil {
			return err
		}
		err = o.printReply(id, reply)
		if isCancelled(reply) {
			return nil
		}
		return err
	})
}

// isCancelled reports whether a cancellation was accepted: the request is still
// pending or won't run.
func isCancelled(reply caller.Reply) bool {
	switch r := reply.(type) {
	case caller.Pending:
		return true
	case caller.Resolved:
		_, notRun := r.Outcome.(dispatcher.NotRun)
		return notRun
	default:
		return false
	}
}

func (c *Commander) requestCommand(name, help string, request requestFunc) *ffcli.Command {
	o, t := &output{commander: c}, &target{commander: c}
	flags := c.flagSet(name)
	o.register(flags)
	t.register(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "chervilvane " + name + " [flags] ID",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			ids, err := parseArgs(flags, args, "ID")
			if err != nil {
				return err
			}
			return t.withCallerClient(func(client *caller.Client) error { return request(ctx, client, o, ids[0]) })
		},
	}
}
