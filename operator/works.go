package operator

import (
	"strconv"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/unit"
)

// workLine tells how far a batch work or a job of the text has come. Services
// have no end; the scheduler's part of the status shows what runs of them.
type workLine struct {
	Work   unit.Workload
	Kind   string
	Pieces int
	Done   int
	Failed int
	// Reason, Detail and Remedy are those of the first failure.
	Reason dispatcher.Reason
	Detail string
	Remedy string
}

// works returns a line for each batch work and job of the text.
func (s *Server) works(c parser.Config) []workLine {
	var lines []workLine
	for _, b := range c.Batches {
		lines = append(lines, s.work(b.Name, "Batch", b.Key(), b.Count))
	}
	for _, j := range c.Jobs {
		lines = append(lines, s.work(j.Name, "Job", j.Key(), 1))
	}
	return lines
}

func (s *Server) work(name unit.Workload, kind string, key parser.WorkloadKey, pieces int) workLine {
	l := workLine{Work: name, Kind: kind, Pieces: pieces}
	for i := range pieces {
		rec, known := s.c.State.Record(key.RequestID(strconv.Itoa(i)))
		if !known || rec.Open() {
			continue
		}
		outcome, err := dispatcher.UnmarshalOutcome(rec.Outcome)
		if err != nil {
			continue
		}
		l.count(outcome)
	}
	return l
}

func (l *workLine) count(o dispatcher.Outcome) {
	switch o := o.(type) {
	case dispatcher.Done:
		if !o.Failed {
			l.Done++
			return
		}
		l.fail(dispatcher.Refusal{Reason: "Failed", Detail: string(o.Answer), Remedy: "mend the work and change its definition"})
	case dispatcher.NotRun:
		l.fail(o.Refusal)
	case dispatcher.Unknown:
		l.fail(o.Refusal)
	}
}

func (l *workLine) fail(r dispatcher.Refusal) {
	l.Failed++
	if l.Reason == "" {
		l.Reason, l.Detail, l.Remedy = r.Reason, r.Detail, r.Remedy
	}
}
