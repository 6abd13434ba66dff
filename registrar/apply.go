package registrar

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/unit"
)

// apply changes the state by one command. The caller holds the lock.
func (r *Registrar) apply(c Command) Result {
	switch c := c.(type) {
	case PutConfig:
		return r.putConfig(c)
	case GrantKey:
		return r.grantKey(c)
	case WithdrawKey:
		return r.withdrawKey(c)
	case TakeZone:
		return r.takeZone(c)
	case AcquireAllotment:
		return r.acquire(c)
	case ReleaseAllotment:
		return r.release(c)
	case AcceptRequest:
		return r.accept(c)
	case RecordIntent:
		return r.intend(c)
	case RetractIntent:
		return r.refuse(c)
	case EndRequest:
		return r.end(c)
	case CancelRequest:
		return r.cancel(c)
	default:
		panic("registrar: command without a case")
	}
}

func (r *Registrar) putConfig(c PutConfig) Result {
	r.tick(c.At)
	sum := sha256.Sum256(c.Text)
	if first, ok := r.answerTo(c.ID, sum[:]); ok {
		return first
	}
	result := r.compareAndSet(c)
	if c.ID != "" {
		r.st.Answered = append(r.st.Answered, answered{ID: c.ID, TextSum: sum[:], Result: results.Marshal(result)})
		if excess := len(r.st.Answered) - maxAnswered; excess > 0 {
			r.st.Answered = r.st.Answered[excess:]
		}
	}
	return result
}

// answerTo returns the first answer to a resent PutConfig.
func (r *Registrar) answerTo(id string, sum []byte) (Result, bool) {
	for _, a := range r.st.Answered {
		if a.ID != id || id == "" {
			continue
		}
		if !bytes.Equal(a.TextSum, sum) {
			return Rejected{Reason: dispatcher.ReasonBadRequest, Detail: "this id was used before with another text"}, true
		}
		result, err := DecodeResult(a.Result)
		if err != nil {
			panic(err)
		}
		return result, true
	}
	return nil, false
}

// compareAndSet puts a text in force. The text was checked before it was
// proposed; a check here would let the copies of instances part that run
// versions of the program with different checks.
func (r *Registrar) compareAndSet(c PutConfig) Result {
	if c.Base != r.st.Version {
		return ConfigConflict{Version: r.st.Version, Operator: r.st.Operator}
	}
	r.st.Version++
	r.st.Text = c.Text
	r.st.Operator = c.Operator
	r.st.History = append(r.st.History, HistoryEntry{Version: r.st.Version, Operator: c.Operator, At: c.At})
	if excess := len(r.st.History) - maxHistory; excess > 0 {
		r.st.History = r.st.History[excess:]
	}
	config := parser.ParseLenient(c.Text)
	before := r.works
	r.config, r.works = config, config.WorkloadKeys()
	r.letGo(before)
	r.setLimits(config)
	return ConfigAccepted{Version: r.st.Version}
}

// setLimits hands the limits of a new configuration to the fleet's limiter.
func (r *Registrar) setLimits(config parser.Config) {
	limits := map[unit.Team]unit.Resources{}
	for _, t := range config.Teams {
		limits[t.Name] = t.Limit
	}
	var live, lost []unit.AvailabilityZone
	for _, z := range config.AvailabilityZones {
		if z.Lost {
			lost = append(lost, z.Name)
		} else {
			live = append(live, z.Name)
		}
	}
	r.st.Fleet.Configure(limits, live, lost)
}

func (r *Registrar) grantKey(c GrantKey) Result {
	r.tick(c.At)
	k := authenticator.Key{ID: c.Key, Hash: c.Hash, Account: c.Account, Team: c.Team, ChangedAt: c.At}
	if err := r.st.Ring.Grant(k); err != nil {
		return Rejected{Reason: dispatcher.ReasonKeyRefused, Detail: err.Error()}
	}
	return KeyGranted{}
}

func (r *Registrar) withdrawKey(c WithdrawKey) Result {
	r.tick(c.At)
	r.st.Ring.Withdraw(c.Key, c.At)
	return KeyWithdrawn{}
}

func (r *Registrar) takeZone(c TakeZone) Result {
	r.tick(c.At)
	z := r.st.Zones[c.AvailabilityZone]
	if z.Epoch != c.Prior {
		return Fenced{Epoch: z.Epoch, Holder: z.Holder}
	}
	z = Zone{Epoch: z.Epoch + 1, Holder: c.Instance}
	r.st.Zones[c.AvailabilityZone] = z
	return ZoneTaken{Epoch: z.Epoch}
}

// fence returns a Fenced result for a sender that isn't the zone's scheduler
// any more.
func (r *Registrar) fence(az unit.AvailabilityZone, e unit.Epoch) (Result, bool) {
	z := r.st.Zones[az]
	return Fenced{Epoch: z.Epoch, Holder: z.Holder}, z.Epoch != e
}

func (r *Registrar) acquire(c AcquireAllotment) Result {
	if fenced, is := r.fence(c.AvailabilityZone, c.Epoch); is {
		return fenced
	}
	amount := r.st.Fleet.Acquire(c.AvailabilityZone, c.Team, c.Want)
	return Allotted{Amount: amount, Change: r.st.Fleet.Revision(c.AvailabilityZone, c.Team)}
}

func (r *Registrar) release(c ReleaseAllotment) Result {
	if fenced, is := r.fence(c.AvailabilityZone, c.Epoch); is {
		return fenced
	}
	amount := r.st.Fleet.ReleaseIfUnchanged(c.AvailabilityZone, c.Team, c.Amount, c.Change)
	return Allotted{Amount: amount, Change: r.st.Fleet.Revision(c.AvailabilityZone, c.Team)}
}

func (r *Registrar) accept(c AcceptRequest) Result {
	r.tick(c.At)
	rec, known := r.st.Records[c.Request.ID]
	if !known {
		rec = Record{Request: c.Request, AvailabilityZone: c.AvailabilityZone, At: c.At}
	}
	if rec.Open() && rec.AvailabilityZone != c.AvailabilityZone && r.isLost(rec.AvailabilityZone) {
		delete(r.open[rec.AvailabilityZone], rec.Request.ID)
		rec.AvailabilityZone = c.AvailabilityZone
	}
	rec.Accepted = true
	r.put(rec)
	return RequestRecorded{Record: rec}
}

// isLost reports whether the operators declared a zone lost. An accepted
// request of such a zone moves to the zone that accepts it again.
func (r *Registrar) isLost(az unit.AvailabilityZone) bool {
	for _, z := range r.config.AvailabilityZones {
		if z.Name == az {
			return z.Lost
		}
	}
	return false
}

func (r *Registrar) intend(c RecordIntent) Result {
	r.tick(c.At)
	if fenced, is := r.fence(c.AvailabilityZone, c.Epoch); is {
		return fenced
	}
	rec, known := r.st.Records[c.Request.ID]
	if !known {
		rec = Record{Request: c.Request, AvailabilityZone: c.AvailabilityZone, At: c.At}
	}
	if !mayIntend(rec, c) {
		return RequestRecorded{Record: rec}
	}
	rec.Intent = Intent{Task: c.Task, Upstream: c.Upstream, Epoch: c.Epoch}
	r.put(rec)
	return RequestRecorded{Record: rec, Granted: true}
}

// mayIntend reports whether a start of the request may be recorded: it is
// open, at home in the sender's zone, and either has no intent, or the same
// one (a resent command), or may be run again.
func mayIntend(rec Record, c RecordIntent) bool {
	if !rec.Open() || rec.Cancelled || rec.AvailabilityZone != c.AvailabilityZone {
		return false
	}
	return rec.Intent.Task == "" || rec.Intent.Task == c.Task || rec.Request.Repeatable
}

func (r *Registrar) refuse(c RetractIntent) Result {
	if fenced, is := r.fence(c.AvailabilityZone, c.Epoch); is {
		return fenced
	}
	rec := r.st.Records[c.Request]
	if rec.Intent.Task == c.Task && rec.Open() {
		rec.Intent = Intent{}
		r.put(rec)
	}
	return RequestRecorded{Record: rec}
}

func (r *Registrar) end(c EndRequest) Result {
	r.tick(c.At)
	rec, known := r.st.Records[c.Request]
	if !known {
		return Rejected{Reason: dispatcher.ReasonBadRequest, Detail: "no such request is registered"}
	}
	if is[dispatcher.NotRun](c.Outcome) && rec.Intent.Task != "" {
		return Rejected{Reason: dispatcher.ReasonBadRequest, Detail: "an upstream may have been asked to run the request"}
	}
	if rec.Open() {
		if !r.keeps(c.Request) {
			r.st.Ended = append(r.st.Ended, c.Request)
		}
		rec.Outcome, rec.At = c.Outcome, c.At
		// What was sent isn't needed any more; a resend gets the outcome.
		rec.Request.Data = nil
	} else if is[dispatcher.Unknown](rec.Outcome) && is[dispatcher.Done](c.Outcome) {
		rec.Outcome = c.Outcome
	}
	r.put(rec)
	return RequestRecorded{Record: rec}
}

// is reports whether an encoded outcome is of a type.
func is[Type dispatcher.Outcome](outcome []byte) bool {
	o, err := dispatcher.UnmarshalOutcome(outcome)
	_, of := o.(Type)
	return err == nil && of
}

func (r *Registrar) cancel(c CancelRequest) Result {
	r.tick(c.At)
	rec, known := r.st.Records[c.Request]
	if !known {
		return Rejected{Reason: dispatcher.ReasonBadRequest, Detail: "no such request is registered"}
	}
	rec.Cancelled = true
	r.put(rec)
	return RequestRecorded{Record: rec}
}

// keeps reports whether the end of a request is kept for as long as the text
// has its work: without it the work would run again.
func (r *Registrar) keeps(id unit.Request) bool {
	key, isWork := parser.WorkloadKeyOf(id)
	return isWork && r.works[key]
}

// letGo lists the ended pieces of work that the text had before and hasn't any
// more among those that are forgotten in time.
func (r *Registrar) letGo(before map[parser.WorkloadKey]bool) {
	var ids []unit.Request
	for id, rec := range r.st.Records {
		key, isWork := parser.WorkloadKeyOf(id)
		if isWork && before[key] && !r.works[key] && !rec.Open() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	r.st.Ended = append(r.st.Ended, ids...)
}

// tick moves the state's time forward and forgets what ended long ago.
func (r *Registrar) tick(at clock.Millis) {
	r.st.Time = max(r.st.Time, at)
	for len(r.st.Ended) > 0 {
		id := r.st.Ended[0]
		if r.st.Records[id].At+KeepEnded > r.st.Time {
			return
		}
		r.st.Ended = r.st.Ended[1:]
		// The text may have the work again.
		if !r.keeps(id) {
			delete(r.st.Records, id)
		}
	}
}
