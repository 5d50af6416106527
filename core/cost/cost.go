// Package cost accounts for what the calls of each organisation cost at each
// stage, and writes the account to the platform's store in windows of time.
//
// A window is stored as one or more objects. The name of each consists of the
// start of the window, the incarnation of the instance and the numbers of the
// window and the object, and it is created only if it does not exist, so that a
// retried write cannot count a cost twice; compare the unique key by consumer
// and event in "Do Not Audit Across Owners by Writing Across Databases"
// (UltiCode). A crash loses at most the open window and the closed one that is
// not yet stored. The package must not set prices or refuse requests.
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
	// costKind is the kind of the objects that hold windows.
	costKind = "costs"

	// maxLinesPerObject keeps an object below object.MaxBytes.
	maxLinesPerObject = 4000

	// nameTimeLayout is the layout of the time with which object names begin.
	// Read selects windows by a prefix of it.
	nameTimeLayout = "20060102T150405"
)

type (
	// Line is the cost of one organisation's calls at one stage, for one class
	// of cost.
	Line struct {
		Organisation string `json:"organisation"`
		Stage        string `json:"stage"`
		// Class is the name of a pipeline.CostClass.
		Class string `json:"waste"`
		Calls int64  `json:"calls"`
		// UnknownCalls counts the calls whose cost the endpoint did not report.
		UnknownCalls int64 `json:"unknown,omitempty"`
		// Units is the amount of work, in the stage's unit such as tokens or
		// images.
		Units float64 `json:"units"`
		// Cost is in millionths of the operator's currency.
		Cost   float64 `json:"cost"`
		BusyMs float64 `json:"busyMs"`
	}

	// Window holds the costs that one instance recorded in a period of time.
	Window struct {
		Instance string    `json:"instance"`
		From     time.Time `json:"from"`
		To       time.Time `json:"to"`
		Lines    []Line    `json:"lines"`
	}

	// Ledger collects charges until they are stored. Use New to make one. It is
	// safe for concurrent use.
	Ledger struct {
		instance    string
		incarnation string

		mu        sync.Mutex
		openLines map[lineKey]*Line
		openedAt  time.Time
		// pending holds the objects of the last closed window that are not known
		// to be stored. They do not change, so that each can be written again.
		pending []object.Object
		// sequence is the number of the open window.
		sequence int
		// lostLines counts the lines that could not be encoded.
		lostLines int64
	}

	lineKey struct {
		organisation, stage string
		class               pipeline.CostClass
	}
)

// New returns an empty ledger whose first window opens now.
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

// Lines returns a copy of the open window's lines, sorted by organisation, stage
// and class.
func (l *Ledger) Lines() []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sortedLines()
}

// Pending returns the number of objects that are not yet stored and the age of
// the open window.
func (l *Ledger) Pending(now time.Time) (objects int, openFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending), now.Sub(l.openedAt)
}

// Flush closes the open window and stores it. If objects of an earlier window
// are still pending, it stores just these and leaves the open window to the next
// call, so that an outage takes no more memory than one further line for each
// organisation, stage and class.
func (l *Ledger) Flush(ctx context.Context, now time.Time, store object.Store) error {
	for _, obj := range l.closeWindow(now) {
		_, err := store.Put(ctx, obj)
		// A conflict means that an earlier attempt has created the object.
		if err != nil && !errors.Is(err, object.ErrConflict) {
			return fmt.Errorf("storing cost window %s: %w", obj.Name, err)
		}
		l.markStored(obj.Name)
	}
	return nil
}

// closeWindow moves the open window's lines to pending objects, unless some are
// pending already, and returns the pending objects.
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

// sortedLines returns a copy of the open lines. The caller holds mu.
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

// Read returns the stored windows that began on the given day in UTC or, if hour
// is not negative, in that hour of the day. If some cannot be decoded, it returns the
// others with an error.
func Read(ctx context.Context, store object.Store, day time.Time, hour int) ([]Window, error) {
	prefix := day.UTC().Format("20060102T")
	if hour >= 0 {
		prefix += fmt.Sprintf("%02d", hour)
	}
	objs, err := store.List(ctx, costKind, prefix)
	if err != nil {
		return nil, fmt.Errorf("listing cost windows: %w", err)
	}
	out := make([]Window, 0, len(objs))
	var errs []error
	for _, obj := range objs {
		var w Window
		if err := json.Unmarshal(obj.Data, &w); err != nil {
			errs = append(errs, fmt.Errorf("decoding cost window %s: %w", obj.Name, err))
			continue
		}
		out = append(out, w)
	}
	return out, errors.Join(errs...)
}

// ByHour returns one window for each hour in UTC, ordered by time, with the sums
// of the windows that began in it.
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

// Sum returns the sums of the windows' lines by organisation, stage and class.
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
