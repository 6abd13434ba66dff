package loader

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
)

// DefaultTiming is the timing of an instance whose settings name none.
var DefaultTiming = Timing{
	Heartbeat:    100 * clock.Millisecond,
	Election:     clock.Second,
	ZoneLease:    2 * clock.Second,
	TaskLease:    10 * clock.Second,
	KeyFreshness: 3 * clock.Second,
	Drain:        20 * clock.Second,
}

// DefaultLevel is the level of the structured log when the settings name none.
const DefaultLevel = "Info"

// Load reads the settings of a file. The error says that the file couldn't be
// read; the Settings are valid only without an error and without findings.
func Load(path string) (Settings, []decoder.Finding, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "reading the settings")
	}
	if !info.Mode().IsRegular() || info.Size() > decoder.MaxBytes {
		return Settings{}, nil, errors.Newf("reading the settings: %s isn't a regular file of at most %d bytes", path, decoder.MaxBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "reading the settings")
	}
	s, findings := Parse(path, text)
	return s, findings, nil
}

// Parse checks the text of a settings file and fills in the defaults. file is
// used in findings only. The Settings are valid only if there are no findings.
func Parse(file string, text []byte) (Settings, []decoder.Finding) {
	root, found := decoder.Read(file, text)
	r := &reader{
		settings:  Settings{Log: Log{Level: DefaultLevel}, Timing: DefaultTiming},
		root:      root,
		instances: map[string]decoder.Value{},
		addresses: map[string]decoder.Value{},
	}
	r.read()
	if list := found.List(); len(list) > 0 {
		return Settings{}, list
	}
	return r.settings, nil
}
