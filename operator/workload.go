package operator

import (
	"strconv"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/unit"
)

// workLine describes the progress of a batch or job of the configuration in the
// response. Services have no line, since they never end; the scheduler's part of
// the status shows their running tasks.
type workLine struct {
	Work unit.Workload
	Kind string
	// Pieces is the number of the workload's tasks; Done and Failed are the
	// numbers of those that have ended.
	Pieces int
	Done   int
	Failed int
	// Reason, Detail and Remedy describe the first failure.
	Reason dispatcher.Reason
	Detail string
	Remedy string
}

// workLines returns a line for each batch and job of a configuration.
func (s *Server) workLines(c parser.Config) []workLine {
	var lines []workLine
	for _, b := range c.Batches {
		lines = append(lines, s.workLine(b.Name, "Batch", b.Key(), b.Count))
	}
	for _, j := range c.Jobs {
		lines = append(lines, s.workLine(j.Name, "Job", j.Key(), 1))
	}
	return lines
}

func (s *Server) workLine(name unit.Workload, kind string, key parser.WorkloadKey, tasks int) workLine {
	l := workLine{Work: name, Kind: kind, Pieces: tasks}
	for i := range tasks {
		record, known := s.config.State.Record(key.RequestID(strconv.Itoa(i)))
		if !known || record.Open() {
			continue
		}
		outcome, err := dispatcher.UnmarshalOutcome(record.Outcome)
		if err != nil {
			continue
		}
		l.addOutcome(outcome)
	}
	return l
}

func (l *workLine) addOutcome(o dispatcher.Outcome) {
	switch o := o.(type) {
	case dispatcher.Done:
		if !o.Failed {
			l.Done++
			return
		}
		l.addFailure(dispatcher.Refusal{Reason: "Failed", Detail: string(o.Answer), Remedy: "mend the work and change its definition"})
	case dispatcher.NotRun:
		l.addFailure(o.Refusal)
	case dispatcher.Unknown:
		l.addFailure(o.Refusal)
	}
}

func (l *workLine) addFailure(r dispatcher.Refusal) {
	l.Failed++
	if l.Reason == "" {
		l.Reason, l.Detail, l.Remedy = r.Reason, r.Detail, r.Remedy
	}
}
