package parser_test

import (
	"fmt"

	"github.com/chervilvane/chervilvane/parser"
)

// Parse reports all mistakes of a text at once, each with its position.
func ExampleParse() {
	_, findings := parser.Parse("text.yaml", []byte(`AvailabilityZones:
  - Name: a
Teams:
  - {Name: booking, Share: 3, Limit: {CPU: 200}}
Queues:
  - {Name: holds, Team: bookings, Need: {Memory: 64mb}}
`))
	for _, f := range findings {
		fmt.Println(f)
	}
	// Output:
	// text.yaml:6:25: Queues[0].Team: no team is named bookings; did you mean booking?
	// text.yaml:6:50: Queues[0].Need.Memory: the value is "64mb", whose unit is unknown; want a size like 64MB; units are B, KB, MB, GB, TB, KiB, MiB, GiB, TiB; did you mean MB?
}
