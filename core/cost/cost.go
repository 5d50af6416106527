// Package cost owns the account of what each organisation's calls cost, by
// stage, and the windows in which it reaches the platform's store.
//
// A window is one or more objects, named by time, incarnation and number and
// created only if absent, so that a repeated write is the same record; compare
// the unique key by consumer and event in "Do Not Audit Across Owners by
// Writing Across Databases" (UltiCode). A crash loses at most the window that
// is open and the one that waits to be written. The package must not price or
// refuse anything.
package cost

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"chervilpath/core/object"
	"chervilpath/core/pipeline"
)

const (
	costKind = "costs"

	// maxLinesPerObject keeps an object below the largest value of the platform.
	maxLinesPerObject = 4000

	nameTimeLayout = "20060102T150405"
)

type (
	// Line is the cost of one organisation at one stage.
	Line struct {
		Organisation string `json:"organisation"`
		Stage        string `json:"stage"`
		// Class is the class of the cost; see pipeline.Waste.
		Class string `json:"waste"`
		Calls int64  `json:"calls"`
		// UnknownCalls counts the calls whose endpoint did not say what they cost.
		UnknownCalls int64   `json:"unknown,omitempty"`
		Units        float64 `json:"units"`
		// Cost is in millionths of the operator's currency.
		Cost   float64 `json:"cost"`
		BusyMs float64 `json:"busyMs"`
	}

	// Window is the lines of one instance for a time.
	Window struct {
		Instance string    `json:"instance"`
		From     time.Time `json:"from"`
		To       time.Time `json:"to"`
		Lines    []Line    `json:"lines"`
	}

	// Ledger collects charges. Use New. It is safe for concurrent use.
	Ledger struct {
		instance    string
		incarnation string

		mu        sync.Mutex
		openLines map[lineKey]*Line
		openedAt  time.Time
		// pending is the closed window that is not known to be stored. Its
		// objects do not change, so that each can be written again.
		pending   []object.Object
		sequence  int
		lostLines int64
	}

	lineKey struct {
		organisation, stage string
		class               pipeline.CostClass
	}
)

// New returns an empty ledger.
func New(now time.Time, instance, incarnation string) *Ledger {
	return &Ledger{instance: instance, incarnation: incarnation, openLines: make(map[lineKey]*Line), openedAt: now}
}

// Record adds the cost of one call.
func (l *Ledger) Record(c pipeline.Charge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lineKey{c.Organisation, c.Stage, c.Class}
	line, ok := l.openLines[key]
	if !ok {
		line = &Line{Organisation: c.Organisation, Stage: c.Stage, Class: c.Class.String()}
		l.openLines[key] = line
	}
	line.Calls++
	if !c.UnitsKnown {
		line.UnknownCalls++
	}
	line.Units += c.Units
	line.Cost += c.Cost
	line.BusyMs += float64(c.Busy) / float64(time.Millisecond)
}

// Lines returns a copy of the open window's lines, in order.
func (l *Ledger) Lines() []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sortedLines()
}

// Pending returns the number of objects that wait to be stored and the age of
// the open window.
func (l *Ledger) Pending(now time.Time) (objects int, openFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending), now.Sub(l.openedAt)
}

// Flush stores what was charged so far. While an earlier window is not stored,
// charges stay in the open one, so that an outage needs no more memory than one
// line for each organisation, stage and class.
func (l *Ledger) Flush(ctx context.Context, now time.Time, store object.Store) error {
	for _, obj := range l.closeWindow(now) {
		_, err := store.Put(ctx, obj)
		if err != nil && !errors.Is(err, object.ErrConflict) {
			return fmt.Errorf("storing the costs of window %s: %w", obj.Name, err)
		}
		l.markStored(obj.Name)
	}
	return nil
}

// closeWindow makes the open window a waiting one if none waits, and returns
// what waits.
func (l *Ledger) closeWindow(now time.Time) []object.Object {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > 0 || len(l.openLines) == 0 {
		return slices.Clone(l.pending)
	}
	for part, lines := range slices.Collect(slices.Chunk(l.sortedLines(), maxLinesPerObject)) {
		data, err := json.Marshal(Window{Instance: l.instance, From: l.openedAt.UTC(), To: now.UTC(), Lines: lines})
		if err != nil {
			l.lostLines += int64(len(lines))
			continue
		}
		name := fmt.Sprintf("%s.%s.%06d.%02d", l.openedAt.UTC().Format(nameTimeLayout), l.incarnation, l.sequence, part)
		l.pending = append(l.pending, object.Object{Kind: costKind, Name: name, Version: object.Absent, Data: data})
	}
	l.sequence++
	l.openLines = make(map[lineKey]*Line)
	l.openedAt = now
	return slices.Clone(l.pending)
}

func (l *Ledger) markStored(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.DeleteFunc(l.pending, func(o object.Object) bool { return o.Name == name })
}

func (l *Ledger) sortedLines() []Line {
	out := make([]Line, 0, len(l.openLines))
	for _, line := range l.openLines {
		out = append(out, *line)
	}
	slices.SortFunc(out, compareLines)
	return out
}

func compareLines(a, b Line) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Class, b.Class))
}

// Read returns the stored windows that began on the given day or, if hour is
// not negative, in that hour of it.
func Read(ctx context.Context, store object.Store, day time.Time, hour int) ([]Window, error) {
	prefix := day.UTC().Format("20060102T")
	if hour >= 0 {
		prefix += fmt.Sprintf("%02d", hour)
	}
	objs, err := store.List(ctx, costKind, prefix)
	if err != nil {
		return nil, fmt.Errorf("reading costs: %w", err)
	}
	out := make([]Window, 0, len(objs))
	for _, obj := range objs {
		var w Window
		if err := json.Unmarshal(obj.Data, &w); err != nil {
			return nil, fmt.Errorf("decoding costs %s: %w", obj.Name, err)
		}
		out = append(out, w)
	}
	return out, nil
}

// ByHour puts windows together by the hour in UTC in which they began, in order.
func ByHour(windows []Window) []Window {
	byHour := make(map[time.Time][]Window)
	for _, w := range windows {
		hour := w.From.UTC().Truncate(time.Hour)
		byHour[hour] = append(byHour[hour], w)
	}
	out := make([]Window, 0, len(byHour))
	for hour, hourWindows := range byHour {
		out = append(out, Window{From: hour, To: hour.Add(time.Hour), Lines: Sum(hourWindows)})
	}
	slices.SortFunc(out, func(a, b Window) int { return a.From.Compare(b.From) })
	return out
}

// Sum adds lines up by organisation, stage and class.
func Sum(windows []Window) []Line {
	totals := make(map[[3]string]*Line)
	for _, w := range windows {
		for _, line := range w.Lines {
			key := [3]string{line.Organisation, line.Stage, line.Class}
			total, ok := totals[key]
			if !ok {
				total = &Line{Organisation: line.Organisation, Stage: line.Stage, Class: line.Class}
				totals[key] = total
			}
			total.Calls += line.Calls
			total.UnknownCalls += line.UnknownCalls
			total.Units += line.Units
			total.Cost += line.Cost
			total.BusyMs += line.BusyMs
		}
	}
	out := make([]Line, 0, len(totals))
	for _, line := range totals {
		out = append(out, *line)
	}
	slices.SortFunc(out, compareLines)
	return out
}
