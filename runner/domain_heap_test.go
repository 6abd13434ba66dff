package runner

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/platform"
)

// TestHeapGrowsOnlyWithinALimit guards against a process that runs out of memory: the heap may grow
// further only where the collector has a limit, and entries, which have little memory, keep the
// usual growth.
func TestHeapGrowsOnlyWithinALimit(t *testing.T) {
	const usual = 100
	for name, c := range map[string]struct {
		settings    platform.Settings
		wantPercent int
		wantLimit   int64
	}{
		"an entry":             {platform.Settings{MemoryLimit: 1000}, usual, 700},
		"a core":               {platform.Settings{MemoryLimit: 1000, DataFolder: "d"}, leaderGCPercent, 700},
		"a core without limit": {platform.Settings{DataFolder: "d"}, usual, math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			formerPercent, formerLimit := debug.SetGCPercent(usual), debug.SetMemoryLimit(math.MaxInt64)
			limitHeap(c.settings)
			percent, limit := debug.SetGCPercent(formerPercent), debug.SetMemoryLimit(formerLimit)
			is := is.New(t)
			is.Equal(percent, c.wantPercent)
			is.Equal(limit, c.wantLimit)
		})
	}
}
