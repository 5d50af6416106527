package relay

import (
	"errors"
	"fmt"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/quarantine"
)

const (
	// goneOnTime is the time from the beginning of an answer after which another event
	// shows that its engine bears the prompt.
	goneOnTime = 500 * time.Millisecond

	// reasonSuspected is why a request is not repeated after its answer broke off.
	reasonSuspected = "engines may have crashed because of the prompt"
)

var errSuspected = errors.New(reasonSuspected)

// evidence records what one attempt shows of the parts of its prompt.
type evidence struct {
	exec    *execution
	attempt quarantine.Attempt
	// begunAt is when the answer began.
	begunAt time.Time
	wentOn  bool
}

// newEvidence returns the evidence of an attempt that is sent now.
func (e *execution) newEvidence(s fleet.Server) *evidence {
	return &evidence{exec: e, attempt: quarantine.Attempt{Server: s, Parts: e.req.SharedParts, SentAt: e.now()}}
}

// answered records that the engine answered, and whether it began to run the request.
func (v *evidence) answered(answered, begun bool) {
	if !answered {
		return
	}
	now := v.exec.now()
	v.exec.relay.deps.Quarantine.Answered(now, v.attempt.Server.Incarnation(), v.attempt.SentAt)
	if begun {
		v.attempt.Begun, v.begunAt = true, now
	}
}

// progress records events of the answer.
func (v *evidence) progress(events int) {
	if events > 0 && v.exec.now().Sub(v.begunAt) >= goneOnTime {
		v.markWentOn()
	}
}

// complete records the end of the answer. An answer that ends with its connection may have
// been cut by a crash.
func (v *evidence) complete(endsWithConnection bool) {
	if !endsWithConnection {
		v.markWentOn()
	}
}

func (v *evidence) markWentOn() {
	if v.wentOn || len(v.attempt.Parts) == 0 {
		return
	}
	v.wentOn = true
	v.exec.relay.deps.Quarantine.WentOn(v.exec.now(), v.attempt)
	v.notify()
}

// notify wakes what shares the evidence, if it has changed.
func (v *evidence) notify() {
	if v.exec.relay.deps.Quarantine.Changed() {
		v.exec.relay.deps.QuarantineChanged()
	}
}

// broke records that the engine broke the answer off.
func (v *evidence) broke() {
	if v.wentOn || len(v.attempt.Parts) == 0 {
		return
	}
	v.exec.relay.deps.Quarantine.Broke(v.exec.now(), v.attempt)
	v.notify()
}

// checkQuarantine returns an error if the request must not be sent because of its prompt.
func (e *execution) checkQuarantine() error {
	v := e.relay.deps.Quarantine.Check(e.now(), e.service, e.req.SharedParts, e.trial)
	if v.Standing < quarantine.TrialDue {
		return nil
	}
	return e.quarantineError(v.Part, v.RetryAfter)
}

// beginTrial makes the request, before it is placed, one that tries a part, if a trial is
// due. The instance that places it decides.
func (e *execution) beginTrial() {
	v := e.relay.deps.Quarantine.Check(e.now(), e.service, e.req.SharedParts, "")
	if v.Standing == quarantine.TrialDue && e.sends == 0 {
		e.trial = v.Part
	}
}

// isSuspected reports whether the request must not be repeated because of its prompt.
func (e *execution) isSuspected() bool {
	return e.trial != "" || e.relay.deps.Quarantine.Check(e.now(), e.service, e.req.SharedParts, "").Standing != quarantine.Unsuspected
}

// quarantineError returns the error for a request with a part that is held back. Callers are
// told when to come back only if they wait that long.
func (e *execution) quarantineError(part string, retryAfter time.Duration) error {
	e.log("quarantine", fmt.Sprintf("part %s of the prompt is held back", part), "")
	err := fault.Errorf(fault.Quarantined, "part %s of the prompt has crashed engines of service %q", part, e.service)
	if e.sends > 0 || e.stream.started {
		return fault.Errorf(fault.EndpointFailed, "%w", err).WithRan(fault.RanUnknown)
	}
	if retryAfter > e.remaining() {
		retryAfter = 0
	}
	return &Refusal{Fault: err, RetryAfter: retryAfter}
}
