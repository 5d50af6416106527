package relay

import (
	"context"
	"sync"
	"time"
)

// stallDetector cancels an attempt whose server sends no event for too long, if
// the request may run at another one.
type stallDetector struct {
	exec   *execution
	cancel context.CancelCauseFunc
	// mayResend is set if the request may be sent to another server.
	mayResend bool

	mu        sync.Mutex
	stopTimer func() bool
	stopped   bool
}

func (e *execution) newStallDetector(cancel context.CancelCauseFunc) *stallDetector {
	d := &stallDetector{exec: e, cancel: cancel, mayResend: e.route.MayRunAgain() && e.sends+1 < e.route.MaxAttempts}
	timeout := stallTimeout(e.route.TargetGap)
	if e.stream.eventCount == 0 {
		timeout = max(minFirstEventTimeout, time.Duration(firstEventTimeoutFactor*float64(e.route.TargetLatency)))
	}
	d.arm(timeout)
	return d
}

// reset restarts the timer after an event has come.
func (d *stallDetector) reset() { d.arm(stallTimeout(d.exec.route.TargetGap)) }

func (d *stallDetector) arm(timeout time.Duration) {
	if !d.mayResend {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	if d.stopTimer != nil {
		d.stopTimer()
	}
	d.stopTimer = d.exec.relay.deps.Clock.AfterFunc(timeout, func() { d.cancel(errStalled) })
}

func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.stopTimer != nil {
		d.stopTimer()
	}
}
