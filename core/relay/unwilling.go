package relay

import (
	"context"
	"time"

	"chervilpath/core/fault"
)

// maxReturnSpread is the fraction of the time until the first server wants requests
// again by which what waits for it, or was refused until then, is spread.
const maxReturnSpread = 0.2

// awaitReturn waits while all servers of the service want no requests from this
// instance, if the first returns early enough for what is needed after that. If not,
// it refuses the request at once.
func (e *execution) awaitReturn(ctx context.Context, needed time.Duration) error {
	for {
		now := e.now()
		at := e.relay.deps.Servers().EarliestReturn(now, e.service)
		if at.IsZero() {
			return nil
		}
		wait, deadline := at.Sub(now), e.nextEventDeadline()
		if now.Add(wait + needed).After(deadline) {
			return e.refusal(fault.Errorf(fault.EndpointUnavailable, "all servers of service %q want no requests for %v", e.service, wait.Round(time.Millisecond)))
		}
		e.log("wait", "all servers want no requests for "+wait.Round(time.Millisecond).String(), "")
		spread := time.Duration(maxReturnSpread * e.relay.deps.Random() * float64(min(wait, deadline.Sub(at)-needed)))
		if err := e.sleep(ctx, wait+max(0, spread)); err != nil {
			return e.contextError(ctx)
		}
	}
}

// sleep waits for d or until ctx is done.
func (e *execution) sleep(ctx context.Context, d time.Duration) error {
	woken := make(chan struct{})
	stop := e.relay.deps.Clock.AfterFunc(d, func() { close(woken) })
	defer stop()
	select {
	case <-woken:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryAfterReturn returns the time after which a caller may retry because the first
// server of the service wants requests again, or 0 if they are not all unwilling.
func (e *execution) retryAfterReturn() time.Duration {
	now := e.now()
	at := e.relay.deps.Servers().EarliestReturn(now, e.service)
	if at.IsZero() {
		return 0
	}
	return time.Duration(float64(at.Sub(now)) * (1 + maxReturnSpread*e.relay.deps.Random()))
}
