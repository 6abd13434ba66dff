package commander

import (
	"fmt"
	"io"

	"github.com/chervilvane/chervilvane/caller"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
)

// printReply prints the reply about a request. In text format, only the answer
// goes to standard output, unchanged; the rest is printed as notes.
func (o *output) printReply(id string, reply caller.Reply) error {
	switch r := reply.(type) {
	case caller.Accepted:
		return o.print(struct{ ID, Outcome string }{id, "Accepted"}, func(w io.Writer) {
			fmt.Fprintln(w, id)
			o.printNote("accepted; fetch the result with: chervilvane result %s", id)
		})
	case caller.Pending:
		return o.printRefusal(id, "Pending", r.Cause)
	case caller.Resolved:
		return o.printOutcome(id, r.Outcome)
	default:
		panic("commander: unknown type of reply")
	}
}

func (o *output) printOutcome(id string, outcome dispatcher.Outcome) error {
	switch d := outcome.(type) {
	case dispatcher.Done:
		return o.printDone(id, d)
	case dispatcher.NotRun:
		return o.printRefusal(id, "NotRun", d.Refusal)
	case dispatcher.Unknown:
		return o.printRefusal(id, "Unknown", d.Refusal)
	default:
		panic("commander: unknown type of outcome")
	}
}

func (o *output) printDone(id string, d dispatcher.Done) error {
	err := o.print(struct {
		ID      string
		Outcome string
		Answer  []byte
		Failed  bool
	}{id, "Done", d.Answer, d.Failed}, func(w io.Writer) {
		fmt.Fprintf(w, "%s\n", d.Answer)
	})
	if err != nil || !d.Failed {
		return err
	}
	o.printNote("request %s ran and failed", id)
	return &exitError{StatusNotDone}
}

func (o *output) printRefusal(id, outcome string, r dispatcher.Refusal) error {
	if !o.isJSON() {
		o.printNote("request %s: %s: %s", id, outcome, formatRefusal(r))
		return &exitError{StatusNotDone}
	}
	err := o.print(struct {
		ID               string
		Outcome          string
		Reason           dispatcher.Reason
		Detail           string
		Remedy           string
		RetryAfterMillis clock.Millis
	}{id, outcome, r.Reason, r.Detail, r.Remedy, r.RetryAfter}, nil)
	if err != nil {
		return err
	}
	return &exitError{StatusNotDone}
}
