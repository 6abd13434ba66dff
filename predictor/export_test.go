package predictor

// The bounds of the memory.
const (
	MaxQueues    = maxQueues
	MaxEffects   = maxEffects
	MaxSteps     = maxSteps
	MaxUpstreams = maxUpstreams
)

// Entries returns the numbers of entries in memory.
func (p *Predictor) Entries() (queues, effects, steps, upstreams int) {
	return p.queues.Len(), p.effects.Len(), p.steps.Len(), p.speeds.Len()
}
