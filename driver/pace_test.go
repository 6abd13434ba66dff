package driver

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
)

func TestPollIntervalGrowsWithLag(t *testing.T) {
	for name, c := range map[string]struct {
		waits []clock.Millis
		want  clock.Millis
	}{
		"in time":       {[]clock.Millis{0, 0, 0}, minPollInterval},
		"a little late": {[]clock.Millis{10}, minPollInterval + 100},
		"far behind":    {[]clock.Millis{400}, maxPollInterval},
		"behind once":   {append([]clock.Millis{40}, make([]clock.Millis, 200)...), minPollInterval},
		"early":         {[]clock.Millis{-3}, minPollInterval},
	} {
		t.Run(name, func(t *testing.T) {
			var l lag
			for _, wait := range c.waits {
				l.observe(wait)
			}
			is.New(t).Equal(l.pollInterval(), c.want)
		})
	}
}
