package commander

import (
	"flag"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/fetcher"
)

// DefaultAddress is where a daemon that was started with -dev listens.
const DefaultAddress = "127.0.0.1:7400"

// Names in the environment.
const (
	envAddress = "CHERVILVANE_ADDRESS"
	envKey     = "CHERVILVANE_KEY"
)

func (c *Commander) flagSet(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(c.c.Err)
	return f
}

// target holds the flags that say which instances are asked, and as whom.
type target struct {
	c       *Commander
	address string
	key     string
}

// register adds the flags. The key has no default in the flag, so that the
// help text never prints it.
func (t *target) register(f *flag.FlagSet) {
	f.StringVar(&t.address, "address", "", "addresses of instances, tried in turn, separated by commas (default "+DefaultAddress+")")
	f.StringVar(&t.key, "key", "", "key token; better given as "+envKey+", which other users of the machine can't see")
}

func (t *target) fetcher() (*fetcher.Fetcher, error) {
	address := firstOf(t.address, t.c.c.Getenv(envAddress), DefaultAddress)
	var addresses []string
	for a := range strings.SplitSeq(address, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	f, err := fetcher.New(fetcher.Config{
		Addresses: addresses,
		Key:       firstOf(t.key, t.c.c.Getenv(envKey)),
		Backoff:   t.c.c.Backoff,
	})
	if err != nil {
		return nil, Usagef("-address: %v", err)
	}
	return f, nil
}

func firstOf(texts ...string) string {
	for _, s := range texts {
		if s != "" {
			return s
		}
	}
	return ""
}

// parseArgs takes the named arguments out of args, with flags before, between
// and after them.
func parseArgs(f *flag.FlagSet, args []string, names ...string) ([]string, error) {
	var found []string
	for len(args) > 0 {
		found = append(found, args[0])
		if err := f.Parse(args[1:]); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, Usagef("%v", err)
		}
		args = f.Args()
	}
	if len(found) != len(names) {
		want := "no argument"
		if len(names) > 0 {
			want = strings.Join(names, " ")
		}
		return nil, Usagef("%s takes %s; got %d arguments", f.Name(), want, len(found))
	}
	return found, nil
}

// wantArgs refuses arguments of a command that takes none.
func wantArgs(f *flag.FlagSet, args []string) error {
	_, err := parseArgs(f, args)
	return err
}
