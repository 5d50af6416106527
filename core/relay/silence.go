package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"chervilpath/core/stage"
)

const (
	// A server whose stream may go on elsewhere is suspected, and gets fewer requests,
	// after a silence of minSuspectTime or suspectGapFactor times the target gap between
	// events, whichever is longer.
	minSuspectTime   = 900 * time.Millisecond
	suspectGapFactor = 3

	// Before the first event a server is suspected after firstEventSuspectFactor times
	// the target latency of the route, but at least minFirstEventSuspectTime.
	firstEventSuspectFactor  = 1.0
	minFirstEventSuspectTime = 1500 * time.Millisecond

	// maxSoundSilence is how long a sound server may be silent. After that the stream
	// goes on at another server if there is one.
	maxSoundSilence = 2 * time.Second

	// resumeReserve is the fraction of the time for which a caller waits for an event
	// that is reserved for going on at another server.
	resumeReserve = 0.25

	// replaceInterval is the time between two tries to find another server for a stream
	// whose server is silent or has broken off.
	replaceInterval = 250 * time.Millisecond

	// A timer that fires later than stallTolerance shows that the process has stood still.
	// What a server sent meanwhile gets as long to be read before its silence counts.
	stallTolerance = 100 * time.Millisecond
)

type (
	// silenceLimits are how long a server may be silent before it is suspected, and
	// before its stream goes on at another server.
	silenceLimits struct{ suspect, replace time.Duration }

	// silenceWatch measures for how long the server of an attempt completes no event.
	// Time in which the caller is written to, or the process stands still, does not count.
	// Silence alone never ends an attempt: it is cancelled only once another one is sure to
	// follow.
	silenceWatch struct {
		clock stage.Clock
		// betweenEvents applies from the first event on.
		betweenEvents silenceLimits
		// suspect reports the server.
		suspect func(silent time.Duration)
		// prepare gets another attempt ready, unless ctx ends before. anyEvent is set if
		// the watched one has completed an event. commit reports whether the other one
		// may be made, and discard gives it up.
		prepare func(ctx context.Context, anyEvent bool, silent time.Duration) (*nextAttempt, bool)
		commit  func() bool
		discard func(*nextAttempt)
		// cancel ends the watched attempt.
		cancel func()

		mu     sync.Mutex
		limits silenceLimits
		// silent is the length of the silence up to waitingSince, which is zero while
		// nothing is expected from the server.
		silent       time.Duration
		waitingSince time.Time
		events       int
		suspected    bool
		// replacing is set while another attempt is being prepared, which
		// stopReplacing ends.
		replacing     bool
		stopReplacing context.CancelFunc
		stopTimer     func() bool
		// due is when the timer was to fire.
		due   time.Time
		next  *nextAttempt
		ended bool
	}

	// silentReader is the body of a watched response.
	silentReader struct {
		io.ReadCloser
		watch *silenceWatch
	}
)

// limitsBetweenEvents returns the limits for a stream whose caller waits eventTimeout for
// each event.
func limitsBetweenEvents(targetGap, eventTimeout time.Duration) silenceLimits {
	suspect := max(minSuspectTime, suspectGapFactor*targetGap)
	return silenceLimits{suspect: suspect, replace: max(suspect, min(maxSoundSilence, resumeBy(eventTimeout)))}
}

// limitsBeforeFirstEvent returns the limits for an attempt whose first event takes the
// given time at a sound server, and for which the caller waits for remaining.
func limitsBeforeFirstEvent(targetLatency, firstEvent, remaining time.Duration) silenceLimits {
	suspect := max(minFirstEventSuspectTime, time.Duration(firstEventSuspectFactor*float64(targetLatency)))
	return silenceLimits{suspect: suspect, replace: max(suspect, min(firstEvent+maxSoundSilence, resumeBy(remaining)))}
}

// resumeBy returns the part of the time until a caller gives up after which a stream has
// to go on at another server.
func resumeBy(remaining time.Duration) time.Duration {
	return time.Duration((1 - resumeReserve) * float64(remaining))
}

// Read implements io.Reader.
func (r silentReader) Read(p []byte) (int, error) {
	r.watch.wait()
	defer r.watch.pause()
	return r.ReadCloser.Read(p)
}

// wait starts to count silence.
func (w *silenceWatch) wait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = w.clock.Now()
	w.arm()
}

// pause stops counting silence, without an end of it.
func (w *silenceWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waitingSince.IsZero() {
		w.silent += w.clock.Now().Sub(w.waitingSince)
		w.waitingSince = time.Time{}
	}
	w.disarm()
}

// progress ends a silence, since the server has completed an event.
func (w *silenceWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent, w.suspected = 0, false
	w.events++
	w.limits = w.betweenEvents
	if w.stopReplacing != nil {
		w.stopReplacing()
	}
}

// anyEvent reports whether the server has completed an event.
func (w *silenceWatch) anyEvent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events > 0
}

// end stops the watch and returns the attempt that follows the watched one, or nil.
func (w *silenceWatch) end() *nextAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.disarm()
	if w.stopReplacing != nil {
		w.stopReplacing()
	}
	next := w.next
	w.next = nil
	return next
}

// arm sets the timer for what is due next. The caller holds mu.
func (w *silenceWatch) arm() {
	if w.ended || w.replacing || w.waitingSince.IsZero() {
		return
	}
	w.disarm()
	silent := w.silentAt(w.clock.Now())
	d := replaceInterval
	switch {
	case !w.suspected:
		d = w.limits.suspect - silent
	case silent < w.limits.replace:
		d = w.limits.replace - silent
	}
	w.armAfter(max(0, d))
}

func (w *silenceWatch) armAfter(d time.Duration) {
	w.due = w.clock.Now().Add(d)
	w.stopTimer = w.clock.AfterFunc(d, w.check)
}

func (w *silenceWatch) disarm() {
	if w.stopTimer != nil {
		w.stopTimer()
		w.stopTimer = nil
	}
}

func (w *silenceWatch) silentAt(now time.Time) time.Duration {
	if w.waitingSince.IsZero() {
		return w.silent
	}
	return w.silent + now.Sub(w.waitingSince)
}

// check reports the server or replaces the attempt if the silence has become too long.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.replacing || w.waitingSince.IsZero() {
		return
	}
	now := w.clock.Now()
	if late := now.Sub(w.due); late > stallTolerance {
		w.waitingSince = w.waitingSince.Add(late)
		w.armAfter(stallTolerance)
		return
	}
	silent := w.silentAt(now)
	if !w.suspected && silent >= w.limits.suspect {
		w.suspected = true
		w.suspect(silent)
	}
	if silent >= w.limits.replace {
		w.replace(silent)
	}
	w.arm()
}

// replace prepares another attempt and cancels the watched one, unless an event comes
// before. The caller holds mu, which is released meanwhile.
func (w *silenceWatch) replace(silent time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	events := w.events
	w.replacing, w.stopReplacing = true, stop
	w.mu.Unlock()
	next, ok := w.prepare(ctx, events > 0, silent)
	w.mu.Lock()
	w.replacing, w.stopReplacing = false, nil
	if !ok {
		return
	}
	// Without a wait for the server, what it has sent is being written to the caller.
	if w.ended || w.events != events || w.waitingSince.IsZero() || !w.commit() {
		w.mu.Unlock()
		w.discard(next)
		w.mu.Lock()
		return
	}
	w.next = next
	w.ended = true
	w.cancel()
}
