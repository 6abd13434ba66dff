package planner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
)

func TestPassPauseLimitsPlannerToAQuarterOfTheTime(t *testing.T) {
	for name, c := range map[string]struct{ took, want clock.Millis }{
		"short":    {0, 0},
		"long":     {10, 30},
		"too long": {500, maxPassPause},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(PassPause(c.took), c.want) })
	}
}
