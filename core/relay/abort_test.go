package relay

import (
	"context"
	"fmt"
	"testing"

	"chervilpath/core/fault"
)

// Guards against ends without a complete response whose cause cannot be told apart.
func TestCauseOfAbort(t *testing.T) {
	for want, err := range map[AbortCause]error{
		CallerLeft:     fault.Errorf(fault.Cancelled, "the caller disconnected"),
		DeadlinePassed: fault.Errorf(fault.AnswerIncomplete, "the stream broke: %w", context.DeadlineExceeded),
		ServerFailed:   fault.Errorf(fault.AnswerIncomplete, "the stream broke: unexpected EOF"),
		NoServer:       fault.Errorf(fault.EndpointFailed, "%w", fault.Errorf(fault.EndpointUnavailable, "service %q: %w", "llm", errNoEngine)),
		ShutDown:       fault.Errorf(fault.EndpointFailed, "%w", errShuttingDown),
		OtherCause:     fmt.Errorf("unexpected"),
	} {
		if got := CauseOfAbort(err, false); got != want {
			t.Errorf("%v: cause %q, want %q", err, got, want)
		}
	}
	broken := fault.Errorf(fault.AnswerIncomplete, "the stream broke: %w", context.Canceled)
	if got := CauseOfAbort(broken, true); got != ShutDown {
		t.Errorf("%v at the end of a shutdown: cause %q, want %q", broken, got, ShutDown)
	}
}
