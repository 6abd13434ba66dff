package loader

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
)

// DefaultTiming is the timing of an instance whose settings set none.
var DefaultTiming = Timing{
	Heartbeat:    100 * clock.Millisecond,
	Election:     clock.Second,
	ZoneLease:    2 * clock.Second,
	TaskLease:    10 * clock.Second,
	KeyFreshness: 3 * clock.Second,
	Drain:        20 * clock.Second,
}

// DefaultLevel is the level of the structured log if the settings set none.
const DefaultLevel = "Info"

// Load reads and checks the settings file at path. It returns an error if the
// file can't be read, isn't regular or exceeds decoder.MaxFileBytes. The Settings
// are valid only if there is no error and there are no findings.
func Load(path string) (Settings, []decoder.Finding, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "reading the settings")
	}
	if !info.Mode().IsRegular() || info.Size() > decoder.MaxFileBytes {
		return Settings{}, nil, errors.Newf("reading the settings: %s isn't a regular file of at most %d bytes", path, decoder.MaxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "reading the settings")
	}
	s, findings := Parse(path, text)
	return s, findings, nil
}

// Parse parses and checks the text of a settings file and fills in defaults. It
// uses file, the name of the file, in findings only. The Settings are valid only
// if there are no findings.
func Parse(file string, text []byte) (Settings, []decoder.Finding) {
	root, findings := decoder.Read(file, text)
	r := &reader{
		settings:       Settings{Log: Log{Level: DefaultLevel}, Timing: DefaultTiming},
		root:           root,
		instanceValues: map[string]decoder.Value{},
		addressValues:  map[string]decoder.Value{},
	}
	r.read()
	if list := findings.List(); len(list) > 0 {
		return Settings{}, list
	}
	return r.settings, nil
}
