package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/quarantine"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

// part is a part of a stream that comes after a pause. A part with an error ends the
// stream.
type part struct {
	pause time.Duration
	text  string
	err   error
}

// timedBody yields parts after their pauses, counted from the start of the stream, and
// then ends.
type timedBody struct {
	ctx   context.Context
	due   time.Time
	parts []part
}

func (b *timedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	next := b.parts[0]
	select {
	case <-time.After(time.Until(b.due.Add(next.pause))):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	b.due = b.due.Add(next.pause)
	b.parts = b.parts[1:]
	return copy(p, next.text), next.err
}

func (b *timedBody) Close() error { return nil }

// streamTest serves one resumable stream by engines of the service llm. The nth attempt
// is answered with the nth of parts.
type streamTest struct {
	engines int
	parts   [][]part
	// allowRetry and placeable may be nil.
	allowRetry func() bool
	placeable  func() bool
	// writePause is how long the caller takes for each write.
	writePause time.Duration
	// stagePause is how long the stages take, if there are any.
	stagePause time.Duration
	// full is the number of the attempt that a full engine refuses, and refusedRun that of
	// the run of the stages that is refused; 0 stands for none.
	full, refusedRun int
	// After excludeAfter, all engines want no requests for excludeFor.
	excludeAfter, excludeFor time.Duration
	// sharedParts are those of the prompt, and tracker holds the evidence against them; it
	// may be nil. staged, if set, is called when the stages have run.
	sharedParts []string
	tracker     *quarantine.Tracker
	staged      func()
	// endsWithConnection is set if the answers have neither a length nor chunks.
	endsWithConnection bool
	// cold holds the IDs of the engines that are cold, and admit says whether a request may
	// be sent to one of them. sentTo holds the engines of the attempts.
	cold   []string
	admit  func(server string) Permission
	sentTo []string

	// mu guards what the functions of Deps count.
	mu                sync.Mutex
	received          strings.Builder
	headWritten       bool
	attempts, retries int
	suspected         int
	placed            map[string]string
	stageRuns         int
	held              int
	started           bool
	err               error
	took              time.Duration
}

func (st *streamTest) serve(t interface{ Fatal(...any) }, ctx context.Context) {
	rt := route.Route{
		Name: "brief", Host: "h", Prefix: "/", Kind: route.Streaming, Resumable: true, MaxAttempts: 3, TargetLatency: time.Second, TargetGap: 300 * time.Millisecond,
		Timeout: 20 * time.Second, Public: true, Targets: []route.Target{{Service: "llm", Weight: 1}},
	}
	services := []route.Service{{Name: "llm", Engine: &route.EngineConfig{Slots: 8}}}
	var pieces []int
	if st.stagePause > 0 {
		rt.Stages = []route.Stage{{Service: "photos"}}
		services = append(services, route.Service{Name: "photos", Pieces: &route.PieceConfig{MaxBatch: 1, CallTime: st.stagePause}})
		pieces = []int{1}
	}
	table, err := route.New(1, []route.Route{rt}, services, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	var servers []fleet.Server
	for i := range st.engines {
		s := fleet.Server{ID: fmt.Sprint("e-", i), Service: "llm", Address: fmt.Sprint("a:", i+1)}
		if slices.Contains(st.cold, s.ID) {
			s.Cold = time.Hour
		}
		servers = append(servers, s)
	}
	view.Replace(time.Now(), servers, 1)
	st.placed = make(map[string]string)
	deps := newDeps(ctx, table, view)
	deps.Servers = func() *fleet.Snapshot {
		st.mu.Lock()
		defer st.mu.Unlock()
		return view.Snapshot()
	}
	deps.RunStage = func(ctx context.Context, job StageJob) ([]string, error) {
		select {
		case <-time.After(st.stagePause):
		case <-ctx.Done():
			return nil, fault.Errorf(fault.Cancelled, "the stage was cancelled")
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		st.stageRuns++
		if st.stageRuns == st.refusedRun {
			return nil, fault.Errorf(fault.Overloaded, "the stage is full")
		}
		st.held++
		if st.staged != nil {
			st.staged()
		}
		return []string{fmt.Sprint("result-", st.stageRuns)}, nil
	}
	deps.FreeResults = func(_ string, handles []string) {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.held -= len(handles)
	}
	deps.AllowRetry = func(string) bool {
		if st.allowRetry != nil && !st.allowRetry() {
			return false
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		st.retries++
		return true
	}
	deps.Place = func(_ context.Context, _ string, q engine.Query) (string, error) {
		if len(q.Exclude) > 0 && st.placeable != nil && !st.placeable() {
			return "", nil
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		for _, s := range servers {
			if !slices.Contains(q.Exclude, s.ID) {
				st.placed[q.RequestID] = s.ID
				return s.ID, nil
			}
		}
		return "", nil
	}
	deps.Settle = func(_, request, server string, _ balance.Outcome) {
		st.mu.Lock()
		defer st.mu.Unlock()
		if st.placed[request] == server {
			delete(st.placed, request)
		}
	}
	deps.Suspect = func(string, string, string) {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.suspected++
	}
	deps.ColdLimited = func(string) bool { return st.admit != nil }
	deps.Admit = func(_ context.Context, _ string, s fleet.Server, _ string) Permission { return st.admit(s.ID) }
	deps.Send = func(ctx context.Context, a Attempt) (*Response, error) {
		st.attempts++
		st.sentTo = append(st.sentTo, a.Server.ID)
		if st.attempts == st.full {
			return &Response{Status: http.StatusServiceUnavailable, NotRun: true, Full: true, Body: http.NoBody}, nil
		}
		if st.attempts > len(st.parts) {
			return nil, &SendError{Err: io.ErrUnexpectedEOF}
		}
		return &Response{Status: http.StatusOK, EventStream: true, EndsWithConnection: st.endsWithConnection, Body: &timedBody{ctx: ctx, due: time.Now(), parts: st.parts[st.attempts-1]}}, nil
	}

	if st.tracker != nil {
		deps.Quarantine = st.tracker
	}
	time.AfterFunc(st.excludeAfter, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		for _, s := range servers {
			view.Exclude(s.Incarnation(), time.Now().Add(st.excludeFor))
		}
	})
	start := time.Now()
	req := &Request{ID: "r", Host: "h", Path: "/x", Timeout: 20 * time.Second, Arrived: start, Pieces: pieces, SharedParts: st.sharedParts}
	st.started, st.err = New(deps).Serve(ctx, req, ResponseWriter{
		Respond:     func(int, map[string][]string, []byte) {},
		WriteHeader: func(int, map[string][]string) { st.headWritten = true },
		Write: func(p []byte) error {
			time.Sleep(st.writePause)
			st.received.Write(p)
			return nil
		},
	})
	st.took = time.Since(start)
	// What is being prepared when a request ends is given up after it.
	synctest.Wait()
}

// event returns the nth event of a stream after a pause.
func event(n int, pause time.Duration) part {
	return part{pause: pause, text: fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)}
}

// events returns the text of the events from first to last.
func events(first, last int) string {
	var out bytes.Buffer
	for n := first; n <= last; n++ {
		out.WriteString(event(n, 0).text)
	}
	return out.String()
}

// check fails the test if the caller did not get all events, or something is left that
// has to be released.
func (st *streamTest) check(t *testing.T, last, attempts int) {
	t.Helper()
	if st.err != nil || st.received.String() != events(1, last) {
		t.Errorf("received %q after %v, error %v, want events 1 to %d", st.received.String(), st.took, st.err, last)
	}
	if st.attempts != attempts {
		t.Errorf("%d attempts, want %d", st.attempts, attempts)
	}
	if len(st.placed) > 0 || st.held > 0 {
		t.Errorf("placements %v and %d results are not released", st.placed, st.held)
	}
}

// longSilence is within what a sound server may do, and long after a stream is suspected.
const longSilence = 1800 * time.Millisecond

// Guards against a stream that is ended because its server is silent for a while, when
// the retry budget is used up or no other engine is free.
func TestSilenceOfSoundServerEndsNoStream(t *testing.T) {
	no := func() bool { return false }
	for name, st := range map[string]*streamTest{
		"retry budget used up":      {engines: 2, allowRetry: no},
		"no other engine":           {engines: 1},
		"no other engine is free":   {engines: 2, placeable: no},
		"budget and another engine": {engines: 2},
	} {
		for where, parts := range map[string][]part{
			"between events":         {event(1, 0), event(2, longSilence), event(3, 0)},
			"before the first event": {event(1, longSilence), event(2, 0), event(3, 0)},
			"within an event":        {event(1, 0), {text: "id: 2\nda"}, {pause: longSilence, text: "ta: 2\n\n"}, event(3, 0)},
			"before the end":         {event(1, 0), event(2, 0), event(3, 0), {pause: longSilence}},
		} {
			t.Run(name+"/"+where, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					st := &streamTest{engines: st.engines, allowRetry: st.allowRetry, placeable: st.placeable, parts: [][]part{parts}}
					st.serve(t, t.Context())
					st.check(t, 3, 1)
					if st.retries > 0 {
						t.Errorf("%d retries were taken from the budget", st.retries)
					}
					if st.suspected == 0 {
						t.Error("the silent engine was not reported")
					}
				})
			})
		}
	}
}

// Guards against a stream that is ended although its server goes on after a silence that
// is longer than what is expected of a sound one, because there is no place to go on.
func TestLongSilenceEndsNoStreamWithoutPlaceToGoOn(t *testing.T) {
	no := func() bool { return false }
	for name, st := range map[string]*streamTest{
		"no other engine":         {engines: 1},
		"no other engine is free": {engines: 2, placeable: no},
		"retry budget used up":    {engines: 2, allowRetry: no},
	} {
		for _, stages := range []time.Duration{0, 200 * time.Millisecond} {
			t.Run(name+"/stages of "+stages.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					st := &streamTest{engines: st.engines, placeable: st.placeable, allowRetry: st.allowRetry, stagePause: stages, parts: [][]part{{event(1, 0), event(2, 3500*time.Millisecond)}}}
					st.serve(t, t.Context())
					st.check(t, 2, 1)
				})
			})
		}
	}
}

// Guards against a caller who waits for a server that will not go on, while another one
// is free.
func TestStreamOfDeadServerGoesOnElsewhereInTime(t *testing.T) {
	for name, parts := range map[string][]part{
		"between events":         {event(1, 0), event(2, time.Hour)},
		"before the first event": {event(1, time.Hour)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rest := []part{event(1, 0), event(2, 0)}[len(parts)-1:]
				st := &streamTest{engines: 2, parts: [][]part{parts, rest}}
				st.serve(t, t.Context())
				st.check(t, 2, 2)
				if st.took > maxSoundSilence+time.Second {
					t.Errorf("the stream went on after %v", st.took)
				}
			})
		})
	}
}

// Guards against a stream that is ended because its caller reads slowly, as if the server
// were silent.
func TestSlowCallerDoesNotMakeServerSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, writePause: 3 * time.Second, parts: [][]part{{event(1, 0), event(2, 0), event(3, 0)}}}
		st.serve(t, t.Context())
		st.check(t, 3, 1)
		if st.suspected > 0 {
			t.Error("the engine was reported as silent")
		}
	})
}

// Guards against a stream in progress that is ended before its caller's deadline.
func TestStreamGoesOnUntilCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var parts []part
		for n := range 30 {
			parts = append(parts, event(n+1, 700*time.Millisecond))
		}
		st := &streamTest{engines: 1, parts: [][]part{parts}}
		st.serve(t, t.Context())
		if CauseOfAbort(st.err, false) != DeadlinePassed || st.took != 20*time.Second {
			t.Errorf("the stream ended after %v with error %v, want its deadline of 20s", st.took, st.err)
		}
	})
}

// Guards against a connection that is closed without an answer although nothing of the
// answer but its head has come, so that an error could be answered.
func TestFailureBeforeFirstEventIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 1, allowRetry: func() bool { return false }, parts: [][]part{{{err: io.ErrUnexpectedEOF}}}}
		st.serve(t, t.Context())
		if st.err == nil || st.started || st.headWritten {
			t.Errorf("error %v, started %v, head written %v, want an error before the response has started", st.err, st.started, st.headWritten)
		}
	})
}

// Guards against a stream that has begun and is cut because at the moment at which its
// server breaks off no other engine is free, or the retry budget is used up.
func TestBrokenStreamWaitsForPlaceToGoOn(t *testing.T) {
	broken := [][]part{{event(1, 0), {err: io.ErrUnexpectedEOF}}, {event(2, 0)}}
	for name, st := range map[string]*streamTest{
		"engine": {engines: 2, parts: broken},
		"budget": {engines: 2, parts: broken},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				free := time.Now().Add(time.Second)
				later := func() bool { return !time.Now().Before(free) }
				if name == "budget" {
					st.allowRetry = later
				} else {
					st.placeable = later
				}
				st.serve(t, t.Context())
				st.check(t, 2, 2)
			})
		})
	}
}

// Guards against a refusal where a request is moved from a silent engine to one that is full,
// although the silent engine may still answer.
func TestRequestReturnsFromAFullEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, full: 2, parts: [][]part{{event(1, time.Hour)}, nil, {event(1, 0), event(2, 0)}}}
		st.serve(t, t.Context())
		st.check(t, 2, 3)
	})
}

// Guards against a stream that has begun and is cut because its stages are refused once.
func TestBrokenStreamOutlivesARefusalOfItsStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, stagePause: 100 * time.Millisecond, refusedRun: 2, parts: [][]part{{event(1, 0), {err: io.ErrUnexpectedEOF}}, {event(2, 0)}}}
		st.serve(t, t.Context())
		st.check(t, 2, 2)
	})
}

// Guards against a silent but sound server that loses its stream while the stages run
// again for another engine.
func TestStagesRunBeforeSilentServerIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, stagePause: 600 * time.Millisecond, parts: [][]part{{event(1, 0), event(2, maxSoundSilence+300*time.Millisecond)}}}
		st.serve(t, t.Context())
		st.check(t, 2, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, stagePause: 600 * time.Millisecond, parts: [][]part{{event(1, 0), event(2, time.Hour)}, {event(2, 0)}}}
		st.serve(t, t.Context())
		st.check(t, 2, 2)
		if st.stageRuns != 2 {
			t.Errorf("the stages ran %d times, want twice", st.stageRuns)
		}
	})
}

// Guards against any order of silences, budgets and free engines in which a stream of a
// sound server is not whole, or something is not released.
func TestSoundStreamsAreWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(rt, "events")
		var parts []part
		for i := range n {
			pause := time.Duration(rapid.IntRange(0, 1900).Draw(rt, "pauseMs")) * time.Millisecond
			parts = append(parts, event(i+1, pause))
		}
		allowed, placeable := rapid.Bool().Draw(rt, "budget"), rapid.Bool().Draw(rt, "placeable")
		engines := rapid.IntRange(1, 3).Draw(rt, "engines")
		stages := time.Duration(rapid.SampledFrom([]int{0, 100}).Draw(rt, "stageMs")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			st := &streamTest{engines: engines, parts: [][]part{parts}, stagePause: stages, allowRetry: func() bool { return allowed }, placeable: func() bool { return placeable }}
			st.serve(t, t.Context())
			if st.err != nil || st.received.String() != events(1, n) || st.attempts != 1 || len(st.placed) > 0 || st.held > 0 {
				rt.Fatalf("received %q in %d attempts, error %v, placements %v, %d results held", st.received.String(), st.attempts, st.err, st.placed, st.held)
			}
		})
	})
}

// Guards against a stream that has begun and is cut because its server breaks off while
// all engines want no requests for a short time.
func TestBrokenStreamWaitsForUnwillingEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var parts []part
		for n := range 10 {
			parts = append(parts, event(n+1, 1500*time.Millisecond))
		}
		st := &streamTest{engines: 2, parts: [][]part{append(parts, part{err: io.ErrUnexpectedEOF}), {event(11, 0)}}}
		st.excludeAfter, st.excludeFor = 14*time.Second, 1500*time.Millisecond
		st.serve(t, t.Context())
		st.check(t, 11, 2)
	})
}

// Guards against a sound server that loses its stream while its event is being written to
// a slow caller.
func TestEventThatIsBeingWrittenEndsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowly := func() bool {
			time.Sleep(600 * time.Millisecond)
			return true
		}
		st := &streamTest{engines: 2, placeable: slowly, writePause: time.Second, parts: [][]part{{event(1, 0), event(2, 3300*time.Millisecond), event(3, 2*time.Second)}, {event(3, 0)}}}
		st.serve(t, t.Context())
		st.check(t, 3, 1)
		if st.retries > 0 {
			t.Errorf("%d retries were taken from the budget", st.retries)
		}
	})
}

// Guards against a sound server that loses its stream so late that no other one may end it
// before the caller's deadline.
func TestSilenceAtTheDeadlineEndsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var parts []part
		for n := range 12 {
			parts = append(parts, event(n+1, 1500*time.Millisecond))
		}
		parts[0].pause -= 20 * time.Millisecond
		st := &streamTest{engines: 2, parts: [][]part{append(parts, event(13, maxSoundSilence+10*time.Millisecond)), {event(13, time.Second)}}}
		st.serve(t, t.Context())
		st.check(t, 13, 1)
	})
}

// Guards against stages or waits that go on for a caller who left while another attempt was
// being prepared, and against another cause being recorded.
func TestCallerLeavesWhileAnotherAttemptIsPrepared(t *testing.T) {
	for name, parts := range map[string][]part{
		"silent server":                       {event(1, 0), event(2, time.Hour)},
		"broken stream, no engine":            {event(1, 0), {err: io.ErrUnexpectedEOF}},
		"broken stream, retry budget used up": {event(1, 0), {err: io.ErrUnexpectedEOF}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const leaves = 3500 * time.Millisecond
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(leaves, leave)
				st := &streamTest{engines: 2, stagePause: time.Second, parts: [][]part{parts}}
				no := func() bool { return false }
				switch name {
				case "broken stream, no engine":
					st.placeable = no
				case "broken stream, retry budget used up":
					st.allowRetry = no
				}
				st.serve(t, ctx)
				if st.took != leaves || st.attempts != 1 || CauseOfAbort(st.err, false) != CallerLeft {
					t.Errorf("ended after %v and %d attempts with %v (%s), want %v", st.took, st.attempts, st.err, CauseOfAbort(st.err, false), leaves)
				}
				time.Sleep(5 * time.Second)
				if st.stageRuns != 1 || st.held != 0 || len(st.placed) != 0 {
					t.Errorf("%d stage runs, %d results held, placements %v after the end", st.stageRuns, st.held, st.placed)
				}
			})
		})
	}
}

// Guards against stages that run again and again for a silent server whose stream cannot go
// on elsewhere, since the retry budget is used up.
func TestStagesDoNotRunAgainWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, allowRetry: func() bool { return false }, stagePause: 200 * time.Millisecond, parts: [][]part{{event(1, 0), event(2, 3900*time.Millisecond)}}}
		st.serve(t, t.Context())
		st.check(t, 2, 1)
		if st.stageRuns != 1 {
			t.Errorf("the stages ran %d times, want once", st.stageRuns)
		}
	})
}

// Guards against an answer with neither a length nor chunks that ends right after its head
// and is taken for complete.
func TestStreamThatEndsWithItsConnectionBeforeAnyEventIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, endsWithConnection: true, parts: [][]part{nil, {event(1, 0), event(2, 0)}}}
		st.serve(t, t.Context())
		st.check(t, 2, 2)
	})
}

// Guards against a sound server that is taken for silent, and a stream that is moved away from
// it: the process stood still while the server sent.
func TestStallOfTheProcessIsNoSilence(t *testing.T) {
	const limit, stall = time.Second, 700 * time.Millisecond
	now, due := time.Unix(1000, 0), time.Time{}
	var fire func()
	suspected, replaced := 0, 0
	w := &silenceWatch{
		clock: stage.Clock{Now: func() time.Time { return now }, AfterFunc: func(d time.Duration, f func()) func() bool {
			due, fire = now.Add(d), f
			return func() bool { return true }
		}},
		limits: silenceLimits{suspect: limit, replace: limit}, suspect: func(time.Duration) { suspected++ },
		prepare: func(context.Context, bool, time.Duration) (*nextAttempt, bool) { replaced++; return nil, false },
	}
	w.wait()
	now = due.Add(stall)
	fire()
	if suspected+replaced > 0 {
		t.Fatal("the server is suspected before what it sent could be read")
	}
	// Silence counts from then on.
	now = due
	fire()
	if suspected != 1 || replaced != 1 {
		t.Errorf("suspected %d times, replaced %d times, want once each", suspected, replaced)
	}
	if got := now.Sub(time.Unix(1000, 0)); got != limit+stall+stallTolerance {
		t.Errorf("suspected after %v", got)
	}
}
