package relay

import (
	"context"
	"sync"
	"time"
)

// silenceWatch cancels an attempt whose server is silent for too long, if the
// request may run elsewhere.
type silenceWatch struct {
	run    *run
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	stopFn func() bool
	closed bool
}

func (u *run) watchSilence(cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{run: u, cancel: cancel}
	limit := silence(u.route.GapAim)
	if u.stream.events == 0 {
		limit = max(minFirst, time.Duration(firstSilence*float64(u.route.Aim)))
	}
	w.arm(limit)
	return w
}

// seen notes that something came.
func (w *silenceWatch) seen() { w.arm(silence(w.run.route.GapAim)) }

func (w *silenceWatch) arm(limit time.Duration) {
	u := w.run
	if !u.route.MayRepeat() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if w.stopFn != nil {
		w.stopFn()
	}
	w.stopFn = u.relay.deps.Clock.AfterFunc(limit, func() {
		if u.sends+1 < u.route.MaxAttempts {
			w.cancel(errStalled)
		}
	})
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.stopFn != nil {
		w.stopFn()
	}
}
