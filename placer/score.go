package placer

// Scorer chooses among the upstreams that a batch task fits on. The set is
// closed: FirstFit.
type Scorer interface{ scorer() }

// FirstFit takes the first in the order of announcement; it is the baseline.
type FirstFit struct{}

func (FirstFit) scorer() {}
