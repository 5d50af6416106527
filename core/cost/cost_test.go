package cost_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilpath/core/cost"
	"chervilpath/core/pipeline"
	"chervilpath/platform/stand"
)

var (
	ctx   = context.Background()
	start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
)

func newCharge(org string, units float64) pipeline.Charge {
	return pipeline.Charge{Organisation: org, Stage: "generate", Units: units, UnitsKnown: true, Cost: 2 * units, Busy: time.Second}
}

func storedTotal(t *testing.T, store *stand.Store) (units float64, calls int64) {
	t.Helper()
	windows, err := cost.Read(ctx, store.Objects(), start, -1)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range cost.Sum(windows) {
		units += line.Units
		calls += line.Calls
	}
	return units, calls
}

// TestRetriedFlushStoresChargesOnce checks that no charge is lost or counted
// twice if writes take effect but their responses are lost, so that the ledger
// writes the same objects again.
func TestRetriedFlushStoresChargesOnce(t *testing.T) {
	store := stand.New(func() time.Time { return start })
	l := cost.New(start, "entry-1", "i1")
	for i := range 5 {
		l.Record(newCharge("roofs", 10))
		if i%2 == 0 {
			store.SetFaults(stand.Faults{LoseAnswers: 1})
		}
		_ = l.Flush(ctx, start.Add(time.Duration(i+1)*time.Second), store.Objects())
	}
	if err := l.Flush(ctx, start.Add(time.Minute), store.Objects()); err != nil {
		t.Fatal(err)
	}
	if err := l.Flush(ctx, start.Add(2*time.Minute), store.Objects()); err != nil {
		t.Fatal(err)
	}
	if units, calls := storedTotal(t, store); units != 50 || calls != 5 {
		t.Errorf("the store has %v units of %d calls, want 50 units of 5 calls", units, calls)
	}
}

func TestOutageKeepsChargesInBoundedMemory(t *testing.T) {
	store := stand.New(func() time.Time { return start })
	store.SetFaults(stand.Faults{Down: true})
	l := cost.New(start, "entry-1", "i1")
	for hour := range 5 {
		for i := range 1000 {
			l.Record(newCharge(fmt.Sprint("o", i%10), 1))
		}
		if err := l.Flush(ctx, start.Add(time.Duration(hour)*time.Hour), store.Objects()); err == nil {
			t.Fatal("Flush() in an outage succeeded")
		}
	}
	if n, _ := l.Pending(start); n != 1 || len(l.Lines()) != 10 {
		t.Errorf("%d objects are pending and %d lines open, want 1 and 10", n, len(l.Lines()))
	}
	store.SetFaults(stand.Faults{})
	for range 2 {
		if err := l.Flush(ctx, start.Add(6*time.Hour), store.Objects()); err != nil {
			t.Fatal(err)
		}
	}
	if units, _ := storedTotal(t, store); units != 5000 {
		t.Errorf("the store has %v units, want 5000", units)
	}
}

func TestLargeWindowIsSplitIntoObjects(t *testing.T) {
	store := stand.New(func() time.Time { return start })
	l := cost.New(start, "entry-1", "i1")
	for i := range 30000 {
		l.Record(newCharge(fmt.Sprint("organisation-", i), 1))
	}
	if err := l.Flush(ctx, start.Add(time.Minute), store.Objects()); err != nil {
		t.Fatal(err)
	}
	if units, _ := storedTotal(t, store); units != 30000 {
		t.Errorf("the store has %v units, want 30000", units)
	}
}

func TestClassesAndUnknownCostsAreSeparate(t *testing.T) {
	l := cost.New(start, "entry-1", "i1")
	l.Record(newCharge("roofs", 3))
	l.Record(pipeline.Charge{Organisation: "roofs", Stage: "generate", Class: pipeline.Failed})
	lines := l.Lines()
	if len(lines) != 2 || lines[0].Class != "failed" || lines[0].UnknownCalls != 1 || lines[1].Units != 3 {
		t.Errorf("Lines() = %+v, want one failed line of unknown cost and one of 3 units", lines)
	}
}

func TestByHourSumsWindowsOfEachHour(t *testing.T) {
	store := stand.New(func() time.Time { return start })
	l := cost.New(start, "entry-1", "i1")
	for i := range 6 {
		l.Record(newCharge("roofs", 10))
		if err := l.Flush(ctx, start.Add(time.Duration(i+1)*20*time.Minute), store.Objects()); err != nil {
			t.Fatal(err)
		}
	}
	windows, err := cost.Read(ctx, store.Objects(), start, -1)
	if err != nil {
		t.Fatal(err)
	}
	hours := cost.ByHour(windows)
	if len(hours) != 2 || !hours[0].From.Equal(start) || hours[0].Lines[0].Units != 30 || hours[1].Lines[0].Units != 30 {
		t.Errorf("ByHour() = %+v, want two hours of 30 units each", hours)
	}
}

// Guards against a report of costs that has none because one stored window cannot be read.
func TestUnreadableWindowHidesNoOthers(t *testing.T) {
	store := stand.New(func() time.Time { return start })
	l := cost.New(start, "entry-1", "i1")
	l.Record(newCharge("roofs", 10))
	if err := l.Flush(ctx, start.Add(time.Minute), store.Objects()); err != nil {
		t.Fatal(err)
	}
	store.PutRaw("costs", start.Format("20060102T")+"08odd", []byte(`["odd"]`))
	windows, err := cost.Read(ctx, store.Objects(), start, -1)
	if len(windows) != 1 || windows[0].Lines[0].Units != 10 {
		t.Errorf("windows %+v, want the sound one", windows)
	}
	if err == nil {
		t.Error("no error tells of the window that cannot be read")
	}
}
