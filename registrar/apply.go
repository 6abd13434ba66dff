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

// apply applies one command to the state. The caller must hold r.mu.
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
		return r.acquireAllotment(c)
	case ReleaseAllotment:
		return r.releaseAllotment(c)
	case AcceptRequest:
		return r.acceptRequest(c)
	case RecordIntent:
		return r.recordIntent(c)
	case RetractIntent:
		return r.retractIntent(c)
	case EndRequest:
		return r.endRequest(c)
	case CancelRequest:
		return r.cancelRequest(c)
	default:
		panic("registrar: unhandled command type")
	}
}

func (r *Registrar) putConfig(c PutConfig) Result {
	r.advanceTime(c.At)
	sum := sha256.Sum256(c.Text)
	if answer, ok := r.previousAnswer(c.ID, sum[:]); ok {
		return answer
	}
	result := r.compareAndSet(c)
	if c.ID != "" {
		r.state.Answered = append(r.state.Answered, configAnswer{ID: c.ID, TextSum: sum[:], Result: results.Marshal(result)})
		if excess := len(r.state.Answered) - maxConfigAnswers; excess > 0 {
			r.state.Answered = r.state.Answered[excess:]
		}
	}
	return result
}

// previousAnswer returns the answer that a PutConfig with the same ID got
// before. It rejects an ID that is used again with another text. The empty ID
// matches nothing.
func (r *Registrar) previousAnswer(id string, sum []byte) (Result, bool) {
	for _, a := range r.state.Answered {
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

// compareAndSet replaces the configuration if c.Base is the current version.
// The text was validated before it was proposed. It must not be validated
// again here: copies on instances that run different versions of the program,
// with different checks, would diverge.
func (r *Registrar) compareAndSet(c PutConfig) Result {
	if c.Base != r.state.Version {
		return ConfigConflict{Version: r.state.Version, Operator: r.state.Operator}
	}
	r.state.Version++
	r.state.Text = c.Text
	r.state.Operator = c.Operator
	r.state.History = append(r.state.History, HistoryEntry{Version: r.state.Version, Operator: c.Operator, At: c.At})
	if excess := len(r.state.History) - maxHistoryEntries; excess > 0 {
		r.state.History = r.state.History[excess:]
	}
	config := parser.ParseLenient(c.Text)
	before := r.workloads
	r.config, r.workloads = config, config.WorkloadKeys()
	r.expireRemovedWorkloads(before)
	r.setLimits(config)
	return ConfigAccepted{Version: r.state.Version}
}

// setLimits sets the team limits and the zones of a new configuration in the
// fleet quota.
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
	r.state.Fleet.Configure(limits, live, lost)
}

func (r *Registrar) grantKey(c GrantKey) Result {
	r.advanceTime(c.At)
	k := authenticator.Key{ID: c.Key, Hash: c.Hash, Account: c.Account, Team: c.Team, ChangedAt: c.At}
	if err := r.state.Ring.Grant(k); err != nil {
		return Rejected{Reason: dispatcher.ReasonKeyRefused, Detail: err.Error()}
	}
	return KeyGranted{}
}

func (r *Registrar) withdrawKey(c WithdrawKey) Result {
	r.advanceTime(c.At)
	r.state.Ring.Withdraw(c.Key, c.At)
	return KeyWithdrawn{}
}

func (r *Registrar) takeZone(c TakeZone) Result {
	r.advanceTime(c.At)
	z := r.state.Zones[c.AvailabilityZone]
	if z.Epoch != c.Prior {
		return Fenced{Epoch: z.Epoch, Holder: z.Holder}
	}
	z = Zone{Epoch: z.Epoch + 1, Holder: c.Instance}
	r.state.Zones[c.AvailabilityZone] = z
	return ZoneTaken{Epoch: z.Epoch}
}

// checkEpoch returns a Fenced result and true if epoch is not the zone's current
// one: the sender isn't the zone's scheduler any more.
func (r *Registrar) checkEpoch(az unit.AvailabilityZone, epoch unit.Epoch) (Result, bool) {
	z := r.state.Zones[az]
	return Fenced{Epoch: z.Epoch, Holder: z.Holder}, z.Epoch != epoch
}

func (r *Registrar) acquireAllotment(c AcquireAllotment) Result {
	if fenced, stale := r.checkEpoch(c.AvailabilityZone, c.Epoch); stale {
		return fenced
	}
	amount := r.state.Fleet.Acquire(c.AvailabilityZone, c.Team, c.Want)
	return Allotted{Amount: amount, Change: r.state.Fleet.Revision(c.AvailabilityZone, c.Team)}
}

func (r *Registrar) releaseAllotment(c ReleaseAllotment) Result {
	if fenced, stale := r.checkEpoch(c.AvailabilityZone, c.Epoch); stale {
		return fenced
	}
	amount := r.state.Fleet.ReleaseIfUnchanged(c.AvailabilityZone, c.Team, c.Amount, c.Change)
	return Allotted{Amount: amount, Change: r.state.Fleet.Revision(c.AvailabilityZone, c.Team)}
}

func (r *Registrar) acceptRequest(c AcceptRequest) Result {
	r.advanceTime(c.At)
	rec, known := r.state.Records[c.Request.ID]
	if !known {
		rec = Record{Request: c.Request, AvailabilityZone: c.AvailabilityZone, At: c.At}
	}
	if rec.Open() && rec.AvailabilityZone != c.AvailabilityZone && r.isLost(rec.AvailabilityZone) {
		delete(r.open[rec.AvailabilityZone], rec.Request.ID)
		rec.AvailabilityZone = c.AvailabilityZone
	}
	rec.Accepted = true
	r.putRecord(rec)
	return RequestRecorded{Record: rec}
}

// isLost reports whether the configuration declares a zone lost. An open
// request of such a zone moves to the zone that accepts it again.
func (r *Registrar) isLost(az unit.AvailabilityZone) bool {
	for _, z := range r.config.AvailabilityZones {
		if z.Name == az {
			return z.Lost
		}
	}
	return false
}

func (r *Registrar) recordIntent(c RecordIntent) Result {
	r.advanceTime(c.At)
	if fenced, stale := r.checkEpoch(c.AvailabilityZone, c.Epoch); stale {
		return fenced
	}
	rec, known := r.state.Records[c.Request.ID]
	if !known {
		rec = Record{Request: c.Request, AvailabilityZone: c.AvailabilityZone, At: c.At}
	}
	if !mayRecordIntent(rec, c) {
		return RequestRecorded{Record: rec}
	}
	rec.Intent = Intent{Task: c.Task, Upstream: c.Upstream, Epoch: c.Epoch}
	r.putRecord(rec)
	return RequestRecorded{Record: rec, Granted: true}
}

// mayRecordIntent reports whether a start of the request may be recorded. The
// request must be open, not cancelled and belong to the sender's zone. It must
// also have no intent, or have the same one (the command was resent), or be
// repeatable.
func mayRecordIntent(rec Record, c RecordIntent) bool {
	if !rec.Open() || rec.Cancelled || rec.AvailabilityZone != c.AvailabilityZone {
		return false
	}
	return rec.Intent.Task == "" || rec.Intent.Task == c.Task || rec.Request.Repeatable
}

func (r *Registrar) retractIntent(c RetractIntent) Result {
	if fenced, stale := r.checkEpoch(c.AvailabilityZone, c.Epoch); stale {
		return fenced
	}
	rec := r.state.Records[c.Request]
	if rec.Intent.Task == c.Task && rec.Open() {
		rec.Intent = Intent{}
		r.putRecord(rec)
	}
	return RequestRecorded{Record: rec}
}

func (r *Registrar) endRequest(c EndRequest) Result {
	r.advanceTime(c.At)
	rec, known := r.state.Records[c.Request]
	if !known {
		return Rejected{Reason: dispatcher.ReasonBadRequest, Detail: "no such request is registered"}
	}
	if isOutcome[dispatcher.NotRun](c.Outcome) && rec.Intent.Task != "" {
		return Rejected{Reason: dispatcher.ReasonBadRequest, Detail: "an upstream may have been asked to run the request"}
	}
	if rec.Open() {
		if !r.isRetained(c.Request) {
			r.state.Ended = append(r.state.Ended, c.Request)
		}
		rec.Outcome, rec.At = c.Outcome, c.At
		// The request's data isn't needed any more: a resend gets the outcome.
		rec.Request.Data = nil
	} else if isOutcome[dispatcher.Unknown](rec.Outcome) && isOutcome[dispatcher.Done](c.Outcome) {
		rec.Outcome = c.Outcome
	}
	r.putRecord(rec)
	return RequestRecorded{Record: rec}
}

// isOutcome reports whether an encoded outcome decodes to the given type.
func isOutcome[Type dispatcher.Outcome](encoded []byte) bool {
	outcome, err := dispatcher.UnmarshalOutcome(encoded)
	_, ok := outcome.(Type)
	return err == nil && ok
}

func (r *Registrar) cancelRequest(c CancelRequest) Result {
	r.advanceTime(c.At)
	rec, known := r.state.Records[c.Request]
	if !known {
		return Rejected{Reason: dispatcher.ReasonBadRequest, Detail: "no such request is registered"}
	}
	rec.Cancelled = true
	r.putRecord(rec)
	return RequestRecorded{Record: rec}
}

// isRetained reports whether the ended record of a request must be kept because
// the configuration still contains the request's workload. Without the record
// the workload would run again.
func (r *Registrar) isRetained(id unit.Request) bool {
	key, isWorkload := parser.WorkloadKeyOf(id)
	return isWorkload && r.workloads[key]
}

// expireRemovedWorkloads adds to Ended the ended requests of workloads that a new
// configuration has removed; before holds the workloads of the previous one.
// advanceTime deletes their records after EndedRetention.
func (r *Registrar) expireRemovedWorkloads(before map[parser.WorkloadKey]bool) {
	var ids []unit.Request
	for id, rec := range r.state.Records {
		key, isWorkload := parser.WorkloadKeyOf(id)
		if isWorkload && before[key] && !r.workloads[key] && !rec.Open() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	r.state.Ended = append(r.state.Ended, ids...)
}

// advanceTime moves the state's time forward to at and deletes the records of
// requests that ended EndedRetention ago or earlier.
func (r *Registrar) advanceTime(at clock.Millis) {
	r.state.Time = max(r.state.Time, at)
	for len(r.state.Ended) > 0 {
		id := r.state.Ended[0]
		if r.state.Records[id].At+EndedRetention > r.state.Time {
			return
		}
		r.state.Ended = r.state.Ended[1:]
		// A later configuration may contain the workload again.
		if !r.isRetained(id) {
			delete(r.state.Records, id)
		}
	}
}
