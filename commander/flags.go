package commander

import (
	"flag"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/fetcher"
)

// DefaultAddress is the address of a daemon that was started with -dev.
const DefaultAddress = "127.0.0.1:7400"

// Environment variables.
const (
	envAddress = "CHERVILVANE_ADDRESS"
	envKey     = "CHERVILVANE_KEY"
)

func (c *Commander) flagSet(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(c.config.Err)
	return f
}

// target holds the flags for the instances to send requests to and the key to
// use.
type target struct {
	commander *Commander
	address   string
	key       string
}

// register adds the flags. The flag of the key has no default value: the help
// text would print it.
func (t *target) register(f *flag.FlagSet) {
	f.StringVar(&t.address, "address", "", "addresses of instances, tried in turn, separated by commas (default "+DefaultAddress+")")
	f.StringVar(&t.key, "key", "", "key token; better given as "+envKey+", which other users of the machine can't see")
}

func (t *target) fetcher() (*fetcher.Fetcher, error) {
	address := firstNonEmpty(t.address, t.commander.config.Getenv(envAddress), DefaultAddress)
	var addresses []string
	for a := range strings.SplitSeq(address, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	f, err := fetcher.New(fetcher.Config{
		Addresses: addresses,
		Key:       firstNonEmpty(t.key, t.commander.config.Getenv(envKey)),
		Backoff:   t.commander.config.Backoff,
	})
	if err != nil {
		return nil, Usagef("-address: %v", err)
	}
	return f, nil
}

func firstNonEmpty(texts ...string) string {
	for _, s := range texts {
		if s != "" {
			return s
		}
	}
	return ""
}

// parseArgs parses args, in which flags may precede, separate and follow the
// arguments, and returns the arguments. It returns a usage error unless there is
// one for each name.
func parseArgs(f *flag.FlagSet, args []string, names ...string) ([]string, error) {
	var arguments []string
	for len(args) > 0 {
		arguments = append(arguments, args[0])
		if err := f.Parse(args[1:]); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, Usagef("%v", err)
		}
		args = f.Args()
	}
	if len(arguments) != len(names) {
		want := "no argument"
		if len(names) > 0 {
			want = strings.Join(names, " ")
		}
		return nil, Usagef("%s takes %s; got %d arguments", f.Name(), want, len(arguments))
	}
	return arguments, nil
}

// requireNoArgs parses the flags in args and returns a usage error if there are
// arguments.
func requireNoArgs(f *flag.FlagSet, args []string) error {
	_, err := parseArgs(f, args)
	return err
}
