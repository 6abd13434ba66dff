package parser

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// WorkloadKey names one definition of a piece of work: its name and a digest of all its
// fields. A changed definition is other work: it runs anew, and what ran under
// the old key is ended.
type WorkloadKey string

func keyOf(name unit.Workload, definition any) WorkloadKey {
	var fields any
	if err := encoder.Unmarshal(encoder.Marshal(definition), &fields); err != nil {
		panic(err)
	}
	return WorkloadKey(fmt.Sprintf("%s@%016x", name, xxhash.Sum64(encoder.Marshal(withoutZeros(fields)))))
}

// withoutZeros drops the fields that aren't set. A field that a later version
// of the program adds then leaves the keys of older texts as they are;
// otherwise an upgrade would run all work anew.
func withoutZeros(v any) any {
	fields, is := v.(map[any]any)
	if !is {
		return v
	}
	for name, value := range fields {
		value = withoutZeros(value)
		fields[name] = value
		if isZero(value) {
			delete(fields, name)
		}
	}
	return fields
}

func isZero(v any) bool {
	if v == nil {
		return true
	}
	r := reflect.ValueOf(v)
	if r.Kind() == reflect.Map || r.Kind() == reflect.Slice {
		return r.Len() == 0
	}
	return r.IsZero()
}

// requestPrefix starts the ids of requests that are pieces of the text's work.
// A caller's id is scoped by its account and can't hold an "@" after it.
const requestPrefix = "work/"

// RequestID returns the id of one piece of the work.
func (k WorkloadKey) RequestID(piece string) unit.Request {
	return unit.Request(requestPrefix + string(k) + "/" + piece)
}

// WorkloadKeyOf returns the key of the work that a request is a piece of; ok is false
// for a caller's request.
func WorkloadKeyOf(id unit.Request) (k WorkloadKey, ok bool) {
	rest, isWork := strings.CutPrefix(string(id), requestPrefix)
	name, _, hasPiece := strings.Cut(rest, "/")
	return WorkloadKey(name), isWork && hasPiece && strings.Contains(name, "@")
}

// Key returns the service's key. Count is left out, so that a service is scaled
// without a restart.
func (s Service) Key() WorkloadKey {
	s.Count = 0
	return keyOf(s.Name, s)
}

// Key returns the batch work's key. Count is left out, so that tasks can be
// added.
func (b Batch) Key() WorkloadKey {
	b.Count = 0
	return keyOf(b.Name, b)
}

// Key returns the job's key.
func (j Job) Key() WorkloadKey { return keyOf(j.Name, j) }

// WorkloadKeys returns the keys of all work of the text.
func (c Config) WorkloadKeys() map[WorkloadKey]bool {
	keys := map[WorkloadKey]bool{}
	for _, s := range c.Services {
		keys[s.Key()] = true
	}
	for _, b := range c.Batches {
		keys[b.Key()] = true
	}
	for _, j := range c.Jobs {
		keys[j.Key()] = true
	}
	return keys
}

// LiveZones returns the zones that aren't declared lost, in the text's order.
func (c Config) LiveZones() []unit.AvailabilityZone {
	var live []unit.AvailabilityZone
	for _, z := range c.AvailabilityZones {
		if !z.Lost {
			live = append(live, z.Name)
		}
	}
	return live
}

// LiveHomeZone returns the home of a piece of the text's work among the zones that
// aren't declared lost. Unlike a caller's request it moves when its zone is
// lost, since nobody resends it.
func (c Config) LiveHomeZone(id string) (unit.AvailabilityZone, bool) {
	return rendezvous(c.LiveZones(), id)
}

// ServiceTasksIn returns how many of a service's tasks run in a zone: an even
// part, where the zones that get one more differ between services.
func (c Config) ServiceTasksIn(s Service, az unit.AvailabilityZone) int {
	live := c.LiveZones()
	for i, name := range live {
		if name != az {
			continue
		}
		shift := int(xxhash.Sum64String(string(s.Name)) % uint64(len(live)))
		part := s.Count / len(live)
		if (i+shift)%len(live) < s.Count%len(live) {
			part++
		}
		return part
	}
	return 0
}
