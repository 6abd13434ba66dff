package parser

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

func TestMain(m *testing.M) {
	// A fixed seed makes each run draw the same values.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestParseReturnsRenderedConfig renders random valid configurations as text
// and checks that Parse returns them unchanged.
func TestParseReturnsRenderedConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		want := drawConfig(t)
		got, findings := Parse("t", []byte(render(reflect.ValueOf(want))))
		is.Equal(len(findings), 0)
		is.Equal(got, want)
	})
}

var (
	namesGen = rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z][a-z0-9-]{0,8}`), 1, 6, rapid.ID[string])
	dataGen  = rapid.StringMatching(`[ -~]{0,12}`)
	boolGen  = rapid.Bool()
)

// largestLimit is the largest limit that a text can set; every need that
// drawNeed returns is below it.
var largestLimit = unit.Resources{CPU: decoder.MaxCPU, Memory: decoder.MaxMemory, Accelerators: decoder.MaxCount, Slots: decoder.MaxCount, Connections: decoder.MaxCount}

func drawNeed(t *rapid.T) unit.Resources {
	return unit.Resources{
		CPU:          unit.MilliCPU(rapid.Int64Range(0, 10_000).Draw(t, "cpu")),
		Memory:       unit.Bytes(rapid.Int64Range(0, 1<<35).Draw(t, "memory")),
		Accelerators: unit.Count(rapid.Int64Range(0, 9).Draw(t, "accelerators")),
		Slots:        unit.Count(rapid.Int64Range(1, 9).Draw(t, "slots")),
		Connections:  unit.Count(rapid.Int64Range(0, 99).Draw(t, "connections")),
	}
}

func drawConfig(t *rapid.T) Config {
	var c Config
	for i, name := range namesGen.Draw(t, "zones") {
		c.AvailabilityZones = append(c.AvailabilityZones, AvailabilityZone{unit.AvailabilityZone(name), i > 0 && boolGen.Draw(t, "lost")})
	}
	teams := namesGen.Draw(t, "teams")
	for _, name := range teams {
		c.Teams = append(c.Teams, Team{unit.Team(name), rapid.IntRange(1, MaxShare).Draw(t, "share"), largestLimit})
	}
	team := func() unit.Team { return unit.Team(rapid.SampledFrom(teams).Draw(t, "team")) }
	runTime := func() clock.Millis { return clock.Millis(rapid.Int64Range(1, int64(MaxRunTime)).Draw(t, "time")) }
	count := func() int { return rapid.IntRange(1, MaxTasks).Draw(t, "count") }
	for _, name := range namesGen.Draw(t, "queues") {
		class := rapid.SampledFrom([]Class{Interactive{}, Deferred{}, Deferred{Checkpoints: true}, AllAtOnce{Tasks: 4}}).Draw(t, "class")
		_, deferred := class.(Deferred)
		c.Queues = append(c.Queues, Queue{
			unit.Queue(name), team(), rapid.SampledFrom([]Access{Open{}, Keyed{}}).Draw(t, "access"), class,
			!deferred && boolGen.Draw(t, "urgent"), drawNeed(t), runTime(), rapid.IntRange(1, MaxWaiting).Draw(t, "waiting"),
		})
	}
	var earlier []unit.Workload
	for i, name := range namesGen.Draw(t, "workloads") {
		var after []unit.Workload
		after = append(after, earlier[:rapid.IntRange(0, len(earlier)).Draw(t, "after")]...)
		earlier = append(earlier, unit.Workload(name))
		switch i % 3 {
		case 0:
			c.Services = append(c.Services, Service{unit.Workload(name), team(), count(), drawNeed(t), after, dataGen.Draw(t, "data")})
		case 1:
			c.Batches = append(c.Batches, Batch{unit.Workload(name), team(), count(), drawNeed(t), runTime(), after, boolGen.Draw(t, "r"), boolGen.Draw(t, "c"), dataGen.Draw(t, "data")})
		default:
			c.Jobs = append(c.Jobs, Job{unit.Workload(name), team(), count(), drawNeed(t), runTime(), after, boolGen.Draw(t, "r"), boolGen.Draw(t, "u"), dataGen.Draw(t, "data")})
		}
	}
	c.Weights = Weights{rapid.IntRange(0, MaxWeight).Draw(t, "w"), 1, 0}
	return c
}

// render formats a value in the notation of the operator's text, as YAML in
// flow style.
func render(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case Access:
		return strings.TrimPrefix(fmt.Sprintf("%T", x), "parser.")
	case Class:
		// In the text, the fields of a class are fields of the queue.
		parts := append([]string{strings.TrimPrefix(fmt.Sprintf("%T", x), "parser.")}, renderFields(v.Elem())...)
		return strings.Join(parts, ", ")
	case unit.MilliCPU:
		return decoder.FormatCPU(x)
	case unit.Bytes:
		return decoder.FormatMemory(x)
	case clock.Millis:
		return decoder.FormatDuration(x)
	}
	switch v.Kind() {
	case reflect.Struct:
		return "{" + strings.Join(renderFields(v), ", ") + "}"
	case reflect.Slice:
		var parts []string
		for i := range v.Len() {
			parts = append(parts, render(v.Index(i)))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case reflect.String:
		return strconv.Quote(v.String())
	default:
		return fmt.Sprint(v.Interface())
	}
}

func renderFields(v reflect.Value) []string {
	var parts []string
	for i := range v.NumField() {
		parts = append(parts, v.Type().Field(i).Name+": "+render(v.Field(i)))
	}
	return parts
}
