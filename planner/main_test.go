package planner_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result. To
// use new seeds:
//
//	go test ./planner -run Property -args -fresh
func TestMain(m *testing.M) {
	fresh := flag.Bool("fresh", false, "draw new seeds")
	flag.Parse()
	if !*fresh {
		for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
