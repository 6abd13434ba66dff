package planner

import "fmt"

// Describe tells what the planner knows of the live runs, for the messages of
// failed tests.
func (p *Planner) Describe() string {
	text := ""
	for _, r := range p.runs {
		text += fmt.Sprintf("%+v\n", *r)
	}
	for _, h := range p.byID {
		text += fmt.Sprintf("%s life %d claimed %t failing %t expires %d lapse %d runs %v\n", h.ID, h.Incarnation, h.claimed, h.failing, h.expires, h.lapseAt, h.SortedRuns())
	}
	return text
}

// MaxBacklog is the bound on the jobs that haven't ended, in bytes.
const MaxBacklog = maxBacklog
