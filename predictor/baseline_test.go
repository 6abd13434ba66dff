package predictor_test

import (
	"math"

	"github.com/chervilvane/chervilvane/clock"
)

// baseline is the planner's former forecast, with which the predictor is compared: a
// regression of the logarithms for a queue, without a spread.
type baseline struct {
	n, meanX, meanY, varX, covXY float64
}

func (f *baseline) add(estimate, took clock.Millis) {
	x, y := math.Log(float64(estimate)), math.Log(float64(took))
	f.n++
	dx := x - f.meanX
	f.meanX += dx / f.n
	f.meanY += (y - f.meanY) / f.n
	f.varX += dx * (x - f.meanX)
	f.covXY += dx * (y - f.meanY)
}

func (f *baseline) predict(estimate clock.Millis) clock.Millis {
	if f.n < 1 {
		return estimate
	}
	slope := min(max((f.covXY+20)/(f.varX+20), 0), 1)
	x := math.Log(float64(estimate))
	weight := f.n / (f.n + 1)
	return clock.Millis(math.Exp(weight*(f.meanY+slope*(x-f.meanX)) + (1-weight)*x))
}
