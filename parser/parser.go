package parser

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/decoder"
)

// Bounds of the numbers in the operator's text.
const (
	MaxShare   = 1_000_000
	MaxTasks   = 100_000
	MaxWaiting = 1_000_000
	MaxWeight  = 1000
	// MaxDataBytes bounds the Data of a workload.
	MaxDataBytes = 64 << 10
	// DefaultMaxWaiting is the MaxWaiting of a queue that doesn't set it.
	DefaultMaxWaiting = 1000
)

// Parse parses and checks the operator's text. It uses file, the name of the
// text's file, in findings only. The Config is valid only if there are no
// findings.
func Parse(file string, text []byte) (Config, []decoder.Finding) {
	r, findings := read(file, text)
	r.check()
	if list := findings.List(); len(list) > 0 {
		return Config{}, list
	}
	return r.config, nil
}

// check makes the checks that need the whole text.
func (r *reader) check() {
	r.checkDemands()
	r.checkDependencies()
}

// read reads the text. It leaves out the checks that need the whole text.
func read(file string, text []byte) (*reader, *decoder.Findings) {
	root, findings := decoder.Read(file, text)
	r := &reader{zones: names{}, teams: names{}, queues: names{}, workloads: names{}}
	root.Object(decoder.Fields{
		"AvailabilityZones": r.readZones,
		"Teams":             r.readTeams,
		"Queues":            r.readQueues,
		"Services":          r.readServices,
		"Batches":           r.readBatches,
		"Jobs":              r.readJobs,
		"Weights":           r.readWeights,
	}, "AvailabilityZones")
	return r, findings
}

// reader fills the configuration from the text. It collects the demands and
// dependencies, which can be checked only after the whole text has been read.
type reader struct {
	config                          Config
	zones, teams, queues, workloads names
	demands                         []demand
	dependencies                    []dependency
}

// names maps each name of a namespace to the value that defines it.
type names map[string]decoder.Value

// readUnique reads and adds a name. It rejects a name that n already contains.
func (n names) readUnique(v decoder.Value) string {
	name := v.Name()
	if name == "" {
		return ""
	}
	if firstValue, taken := n[name]; taken {
		v.Reject("the name %s is taken by %s in line %d", name, firstValue.Path(), firstValue.Line())
		return name
	}
	n[name] = v
	return name
}

// rejectMissing records the finding that v refers to a name that n doesn't
// contain.
func (n names) rejectMissing(v decoder.Value, kind, name string) {
	v.RejectName(name, maps.Keys(n), "no %s is named %s", kind, name)
}

func (r *reader) readZones(v decoder.Value) {
	v.List(func(v decoder.Value) {
		var z AvailabilityZone
		v.Object(decoder.Fields{
			"Name": func(v decoder.Value) { setName(&z.Name, r.zones.readUnique(v)) },
			"Lost": func(v decoder.Value) { z.Lost = v.Bool() },
		}, "Name")
		r.config.AvailabilityZones = append(r.config.AvailabilityZones, z)
	})
	isAvailable := func(z AvailabilityZone) bool { return !z.Lost }
	if !slices.ContainsFunc(r.config.AvailabilityZones, isAvailable) {
		v.Reject("no availability zone is left to run work in; at least one must be listed without Lost")
	}
}

func (r *reader) readWeights(v decoder.Value) {
	w := &r.config.Weights
	weight := func(dst *int) func(decoder.Value) {
		return func(v decoder.Value) { *dst = int(v.Integer(0, MaxWeight)) }
	}
	v.Object(decoder.Fields{
		"Waiting": weight(&w.Waiting),
		"Packing": weight(&w.Packing),
		"Share":   weight(&w.Share),
	})
}

// setName converts a name to the type of dst and stores it there.
func setName[T ~string](dst *T, name string) {
	*dst = T(name)
}
