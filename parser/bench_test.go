package parser

import (
	"fmt"
	"strings"
	"testing"
)

// renderSample returns a valid text with the given number of teams, each with
// three queues, two services and two batches.
func renderSample(teams int) []byte {
	var b strings.Builder
	b.WriteString("AvailabilityZones:\n")
	for i := range 15 {
		fmt.Fprintf(&b, "  - Name: zone-%d\n", i)
	}
	writeList := func(name string, perTeam int, item string) {
		fmt.Fprintf(&b, "%s:\n", name)
		for i := range teams * perTeam {
			fmt.Fprintf(&b, item, i, i/perTeam)
		}
	}
	writeList("Teams", 1, "  - Name: team-%d\n    Share: 1%d\n    Limit: {CPU: 2000, Memory: 8TB, Slots: 1000}\n")
	writeList("Queues", 3, "  - Name: queue-%d\n    Team: team-%d\n    Class: Deferred\n    Need: {CPU: 100m, Memory: 64MB}\n    RunTime: 30s\n")
	writeList("Services", 2, "  - Name: service-%d\n    Team: team-%d\n    Count: 30\n    Need: {CPU: 0.5, Memory: 1GB}\n")
	writeList("Batches", 2, "  - Name: batch-%d\n    Team: team-%d\n    Count: 300\n    After: [service-1]\n    Need: {CPU: 2, Memory: 4GB}\n")
	return []byte(b.String())
}

// BenchmarkParse parses texts with 35, 70 and 140 teams. Every instance parses
// each accepted configuration.
func BenchmarkParse(b *testing.B) {
	for _, teams := range []int{35, 70, 140} {
		text := renderSample(teams)
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, findings := Parse("t", text); len(findings) > 0 {
					b.Fatal(findings[0])
				}
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
		})
	}
}
