package parser

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// WorkloadKey identifies one definition of a workload by the workload's name and
// a hash of the definition's fields. A changed definition is a new workload: it
// runs from the start, and the tasks of the old key are stopped.
type WorkloadKey string

// newWorkloadKey returns the key of a definition, which is a Service, Batch or
// Job. The hash covers the fields under their Go names.
func newWorkloadKey(name unit.Workload, definition any) WorkloadKey {
	var fields any
	if err := encoder.Unmarshal(encoder.Marshal(definition), &fields); err != nil {
		panic(err)
	}
	return WorkloadKey(fmt.Sprintf("%s@%016x", name, xxhash.Sum64(encoder.Marshal(withoutZeros(fields)))))
}

// withoutZeros removes zero fields from a decoded definition. A field that a
// later version of the program adds then doesn't change the keys of texts that
// don't set it. Otherwise an upgrade would restart all workloads.
func withoutZeros(v any) any {
	fields, isObject := v.(map[any]any)
	if !isObject {
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

// workloadRequestPrefix is the prefix of the ids of requests that are part of a
// workload. The id of a caller's request begins with the account, which may be
// "work" too, but contains no "@" after it.
const workloadRequestPrefix = "work/"

// RequestID returns the request id of one part of the workload, such as a task.
func (k WorkloadKey) RequestID(part string) unit.Request {
	return unit.Request(workloadRequestPrefix + string(k) + "/" + part)
}

// WorkloadKeyOf returns the key of the workload that a request is part of; ok is
// false for a caller's request.
func WorkloadKeyOf(id unit.Request) (k WorkloadKey, ok bool) {
	rest, hasPrefix := strings.CutPrefix(string(id), workloadRequestPrefix)
	key, _, hasPart := strings.Cut(rest, "/")
	return WorkloadKey(key), hasPrefix && hasPart && strings.Contains(key, "@")
}

// Key returns the service's key. It doesn't depend on Count, so a service can be
// scaled without a restart.
func (s Service) Key() WorkloadKey {
	s.Count = 0
	return newWorkloadKey(s.Name, s)
}

// Key returns the batch's key. It doesn't depend on Count, so tasks can be added
// without a restart.
func (b Batch) Key() WorkloadKey {
	b.Count = 0
	return newWorkloadKey(b.Name, b)
}

// Key returns the job's key.
func (j Job) Key() WorkloadKey { return newWorkloadKey(j.Name, j) }

// WorkloadKeys returns the keys of all workloads.
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

// LiveZones returns the zones that aren't declared lost, in the order of the
// text.
func (c Config) LiveZones() []unit.AvailabilityZone {
	var live []unit.AvailabilityZone
	for _, z := range c.AvailabilityZones {
		if !z.Lost {
			live = append(live, z.Name)
		}
	}
	return live
}

// LiveHomeZone returns the home of a request that is part of a workload, among
// the zones that aren't declared lost. It returns false if there are none.
// Unlike the home of a caller's request, this home changes when its zone is
// declared lost, since no caller resends the request.
func (c Config) LiveHomeZone(id string) (unit.AvailabilityZone, bool) {
	return rendezvous(c.LiveZones(), id)
}

// ServiceTasksIn returns the number of the service's tasks that run in a zone.
// Tasks are spread evenly over the live zones. If their number isn't divisible,
// the zones with one more task differ between services.
func (c Config) ServiceTasksIn(s Service, az unit.AvailabilityZone) int {
	live := c.LiveZones()
	for i, name := range live {
		if name != az {
			continue
		}
		offset := int(xxhash.Sum64String(string(s.Name)) % uint64(len(live)))
		tasks := s.Count / len(live)
		if (i+offset)%len(live) < s.Count%len(live) {
			tasks++
		}
		return tasks
	}
	return 0
}
