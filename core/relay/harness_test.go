package relay

import (
	"context"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/fleet"
	"chervilpath/core/quarantine"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

// systemClock is the time of a synctest bubble.
var systemClock = stage.Clock{
	Now:       time.Now,
	AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
}

// newTracker returns a tracker without evidence.
func newTracker() *quarantine.Tracker { return quarantine.New("test") }

// newDeps returns dependencies for requests by a table at the servers of a view, until ctx
// is done. Retries are allowed, and neither stages nor sends are set.
func newDeps(ctx context.Context, table *route.Table, view *fleet.View) Deps {
	return Deps{
		Clock: systemClock, AwaitReady: func(context.Context) bool { return true }, ConfigFresh: func() bool { return true },
		Table: func() *route.Table { return table }, Random: func() float64 { return 0 }, Log: func(Decision) {},
		Shutdown: func() Shutdown { return Shutdown{} }, ShutdownCtx: ctx, RecordCall: func(string) {},
		Servers: view.Snapshot, ResultZone: func(string) string { return "" }, FreeResults: func(string, []string) {},
		AllowRetry: func(string) bool { return true },
		Quarantine: newTracker(), QuarantineChanged: func() {},
		Settle: func(string, string, string, balance.Outcome) {}, Suspect: func(string, string, string) {},
	}
}
