package parser

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/decoder"
)

// Bounds on the numbers of a text.
const (
	MaxShare   = 1_000_000
	MaxTasks   = 100_000
	MaxWaiting = 1_000_000
	MaxWeight  = 1000
	// MaxData bounds the Data of a work, in bytes.
	MaxData = 64 << 10
	// DefaultMaxWaiting is the MaxWaiting of a queue that names none.
	DefaultMaxWaiting = 1000
)

// Parse checks an operator's text. file is used in findings only. The Config
// is valid only if there are no findings.
func Parse(file string, text []byte) (Config, []decoder.Finding) {
	r, found := read(file, text)
	r.checkDemands()
	r.checkOrder()
	if list := found.List(); len(list) > 0 {
		return Config{}, list
	}
	return r.config, nil
}

func read(file string, text []byte) (*reader, *decoder.Findings) {
	root, found := decoder.Read(file, text)
	r := &reader{zones: names{}, teams: names{}, queues: names{}, works: names{}}
	root.Object(decoder.Fields{
		"AvailabilityZones": r.readZones,
		"Teams":             r.readTeams,
		"Queues":            r.readQueues,
		"Services":          r.readServices,
		"Batches":           r.readBatches,
		"Jobs":              r.readJobs,
		"Weights":           r.readWeights,
	}, "AvailabilityZones")
	return r, found
}

// reader walks a text. It fills the configuration and notes what can be judged
// only once the whole text has been read.
type reader struct {
	config                      Config
	zones, teams, queues, works names
	demands                     []demand
	edges                       []edge
}

// names holds the place of each name of one namespace.
type names map[string]decoder.Value

// read reads a name and rejects one that is taken.
func (n names) read(v decoder.Value) string {
	name := v.Name()
	if name == "" {
		return ""
	}
	if first, taken := n[name]; taken {
		v.Reject("the name %s is taken by %s in line %d", name, first.Path(), first.Line())
		return name
	}
	n[name] = v
	return name
}

// rejectMissing records that a name isn't in the namespace.
func (n names) rejectMissing(v decoder.Value, kind, name string) {
	v.RejectName(name, maps.Keys(n), "no %s is named %s", kind, name)
}

func (r *reader) readZones(v decoder.Value) {
	v.List(func(v decoder.Value) {
		var z AvailabilityZone
		v.Object(decoder.Fields{
			"Name": func(v decoder.Value) { setName(&z.Name, r.zones.read(v)) },
			"Lost": func(v decoder.Value) { z.Lost = v.Bool() },
		}, "Name")
		r.config.AvailabilityZones = append(r.config.AvailabilityZones, z)
	})
	left := func(z AvailabilityZone) bool { return !z.Lost }
	if !slices.ContainsFunc(r.config.AvailabilityZones, left) {
		v.Reject("no availability zone is left to run work in; at least one must be listed without Lost")
	}
}

func (r *reader) readWeights(v decoder.Value) {
	w := &r.config.Weights
	weight := func(into *int) func(decoder.Value) {
		return func(v decoder.Value) { *into = int(v.Integer(0, MaxWeight)) }
	}
	v.Object(decoder.Fields{
		"Waiting": weight(&w.Waiting),
		"Packing": weight(&w.Packing),
		"Share":   weight(&w.Share),
	})
}

// setName stores a name as the id type of its field.
func setName[T ~string](into *T, name string) {
	*into = T(name)
}
