package planner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

// TestAcquisitionTime guards the largest gangs against coming first only when it is too late
// for them, and other steps against a change of their order.
func TestAcquisitionTime(t *testing.T) {
	for name, c := range map[string]struct {
		step keeper.Step
		want clock.Millis
	}{
		"a gang of mean size":     {step: keeper.Step{Gang: true, Count: 10}},
		"a gang that isn't large": {step: keeper.Step{Gang: true, Count: 10 * largeGangFactor}},
		"a large gang":            {step: keeper.Step{Gang: true, Count: 10*largeGangFactor + 5}, want: 5 * taskAcquisitionTime},
		"many independent tasks":  {step: keeper.Step{Count: 100}},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Planner{meanGangSize: 10}
			is.New(t).Equal(p.acquisitionTime(&step{spec: &c.step}), c.want)
		})
	}
}
