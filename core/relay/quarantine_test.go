package relay

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/quarantine"
)

// accuse reports the crashes of engines that had begun to answer a part, and returns after
// the time in which others may object.
func accuse(tr *quarantine.Tracker, part string, crashes int) {
	for i := range crashes {
		crashed := fleet.Server{ID: fmt.Sprint("crashed-", part, i), Service: "llm"}
		tr.Broke(time.Now(), quarantine.Attempt{Server: crashed, Parts: []string{part}, SentAt: time.Now(), Begun: true})
		time.Sleep(600 * time.Millisecond)
	}
}

// Guards against requests with a part that is held back which are sent, or have their
// stages run, and against an answer to them that is not true.
func TestHeldBackRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, stagePause: 100 * time.Millisecond, sharedParts: []string{"base", "bad"}, tracker: quarantine.New("a"), parts: [][]part{{event(1, 0)}}}
		accuse(st.tracker, "bad", 5)
		st.serve(t, t.Context())
		var refusal *Refusal
		if !errors.As(st.err, &refusal) || refusal.Fault.Kind() != fault.Quarantined || refusal.Fault.Ran() != fault.RanNo || refusal.RetryAfter != 0 {
			t.Errorf("error %v, want a refusal without a time to return", st.err)
		}
		if st.attempts+st.stageRuns > 0 || st.took > 0 || st.headWritten {
			t.Errorf("%d sends and %d runs of stages in %v, want none", st.attempts, st.stageRuns, st.took)
		}
	})
}

// Guards against requests that are sent although a part of their prompt was held back while
// their stages ran.
func TestRequestIsRefusedOnceItsPartIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, stagePause: 4 * time.Second, sharedParts: []string{"base", "bad"}, tracker: quarantine.New("a"), parts: [][]part{{event(1, 0)}}}
		st.staged = func() { accuse(st.tracker, "bad", 5) }
		st.serve(t, t.Context())
		if kind := fault.From(st.err).Kind(); kind != fault.Quarantined || st.attempts > 0 {
			t.Errorf("error %v after %d sends, want a refusal before the first", st.err, st.attempts)
		}
		if len(st.placed) > 0 || st.held > 0 {
			t.Errorf("placements %v and %d results are not released", st.placed, st.held)
		}
	})
}

// Guards against repeats of a request whose prompt may have crashed engines, by resumption,
// by another send or because its engine is silent.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	for name, parts := range map[string][]part{
		"broken before an event": {{err: io.ErrUnexpectedEOF}},
		"broken after an event":  {event(1, 0), {err: io.ErrUnexpectedEOF}},
		"silent":                 {event(1, 0), {pause: 3500 * time.Millisecond, err: io.ErrUnexpectedEOF}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := &streamTest{engines: 3, sharedParts: []string{"base", "bad"}, tracker: quarantine.New("a"), parts: [][]part{parts, {event(2, 0)}}}
				accuse(st.tracker, "bad", 2)
				st.serve(t, t.Context())
				if st.attempts != 1 || st.retries > 0 {
					t.Errorf("%d attempts and %d retries, want one attempt", st.attempts, st.retries)
				}
				if kind := fault.From(st.err).Kind(); kind != fault.EndpointFailed && kind != fault.AnswerIncomplete {
					t.Errorf("error %v, want one that says that the engine failed", st.err)
				}
			})
		})
	}
}

// Guards against sound streams that are no longer resumed, since engines crash at the same
// time for reasons of their own.
func TestBrokenStreamOfSoundPromptIsResumed(t *testing.T) {
	for name, first := range map[string][]part{
		"that had gone on":      {event(1, 0), event(2, time.Second), {err: io.ErrUnexpectedEOF}},
		"that had just begun":   {event(1, 0), event(2, 0), {err: io.ErrUnexpectedEOF}},
		"with the only crashes": {event(1, 0), event(2, 0), {err: io.ErrUnexpectedEOF}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := &streamTest{engines: 2, sharedParts: []string{"base", "org"}, tracker: quarantine.New("a"), parts: [][]part{first, {event(3, 0)}}}
				if name != "with the only crashes" {
					accuse(st.tracker, "bad", 5)
				}
				st.serve(t, t.Context())
				st.check(t, 3, 2)
			})
		})
	}
}

// Guards against a second and third trial by repeats of the request that tries a part.
func TestTrialIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 3, sharedParts: []string{"bad"}, tracker: quarantine.New("a"), parts: [][]part{{{err: io.ErrUnexpectedEOF}}}}
		accuse(st.tracker, "bad", 5)
		time.Sleep(5 * time.Minute)
		st.serve(t, t.Context())
		if st.attempts != 1 || st.retries > 0 {
			t.Errorf("%d attempts and %d retries, want one attempt", st.attempts, st.retries)
		}
	})
}

// Guards against an answer that may have been cut by a crash and clears the parts of its
// prompt.
func TestEndOfConnectionClearsNoPart(t *testing.T) {
	for endsWithConnection, want := range map[bool]quarantine.Standing{true: quarantine.Suspected, false: quarantine.Unsuspected} {
		synctest.Test(t, func(t *testing.T) {
			st := &streamTest{engines: 2, sharedParts: []string{"bad"}, endsWithConnection: endsWithConnection, tracker: quarantine.New("a"), parts: [][]part{{event(1, 0)}}}
			accuse(st.tracker, "bad", 2)
			st.serve(t, t.Context())
			time.Sleep(time.Second)
			if v := st.tracker.Check(time.Now(), "llm", st.sharedParts, ""); v.Standing != want {
				t.Errorf("ends with its connection %t: %+v, want standing %d", endsWithConnection, v, want)
			}
		})
	}
}
