// Package standplatform stands in for the platform: its object API and its list
// of instances.
//
// It makes faults possible and counts calls. It is for tests, demos and
// development; the serving instances must not use it.
package standplatform

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chervilpath/core/object"
)

type (
	// Faults are the switches of an object store.
	Faults struct {
		// Down makes every call fail without effect.
		Down bool `json:"down"`
		// DelayMs holds each call for this many milliseconds.
		DelayMs int `json:"delayMs"`
		// LoseAnswers is the number of next writes that take effect but get no
		// answer.
		LoseAnswers int `json:"loseAnswers"`
		// Stale makes reads return the version before the newest.
		Stale bool `json:"stale"`
		// Damage makes reads of this kind return bytes with one changed.
		Damage string `json:"damage"`
	}

	// Counts are the calls that a store has had.
	Counts struct {
		Reads   int64 `json:"reads"`
		Writes  int64 `json:"writes"`
		Watches int64 `json:"watches"`
		Refused int64 `json:"refused"`
	}

	// Objects is a store with versions, conditional updates and watches. Use
	// NewObjects. It is safe for concurrent use.
	Objects struct {
		mu      sync.Mutex
		objects map[string][]object.Object
		version int64
		faults  Faults
		counts  Counts
		changed chan struct{}
		reads   *rate.Limiter
		writes  *rate.Limiter
		now     func() time.Time
	}
)

const (
	readsPerSecond  = 2000
	writesPerSecond = 500
)

// NewObjects returns an empty store with the platform's rates.
func NewObjects(now func() time.Time) *Objects {
	return &Objects{
		objects: make(map[string][]object.Object),
		changed: make(chan struct{}),
		reads:   rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes:  rate.NewLimiter(writesPerSecond, writesPerSecond),
		now:     now,
	}
}

// SetFaults replaces the switches.
func (o *Objects) SetFaults(f Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
	close(o.changed)
	o.changed = make(chan struct{})
}

// Counts returns the calls so far.
func (o *Objects) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// Store returns the store as seen without a network between.
func (o *Objects) Store() object.Store {
	return object.Store{Get: o.Get, Put: o.Put, Delete: o.Delete, List: o.List, Watch: o.Watch}
}

func key(kind, name string) string { return kind + "/" + name }

// admit counts a call and fails it if the store is down or over its rate.
func (o *Objects) admit(ctx context.Context, limiter *rate.Limiter, count *int64) error {
	o.mu.Lock()
	faults := o.faults
	*count++
	if faults.Down || !limiter.AllowN(o.now(), 1) {
		o.counts.Refused++
		o.mu.Unlock()
		return object.ErrUnavailable
	}
	o.mu.Unlock()
	if faults.DelayMs == 0 {
		return nil
	}
	t := time.NewTimer(time.Duration(faults.DelayMs) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return object.ErrUnavailable
	}
}

// countRead counts a read of the list of instances.
func (o *Objects) countRead() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Reads++
}

// Get returns an object.
func (o *Objects) Get(ctx context.Context, kind, name string) (object.Object, error) {
	if err := o.admit(ctx, o.reads, &o.counts.Reads); err != nil {
		return object.Object{}, fmt.Errorf("getting %s/%s: %w", kind, name, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.newest(key(kind, name))
	if !ok {
		return object.Object{}, fmt.Errorf("getting %s/%s: %w", kind, name, object.ErrNotFound)
	}
	return o.damaged(obj), nil
}

// newest returns the version that a read sees. The caller holds mu.
func (o *Objects) newest(k string) (object.Object, bool) {
	versions := o.objects[k]
	if len(versions) == 0 {
		return object.Object{}, false
	}
	if o.faults.Stale && len(versions) > 1 {
		return versions[len(versions)-2], true
	}
	return versions[len(versions)-1], true
}

func (o *Objects) damaged(obj object.Object) object.Object {
	if o.faults.Damage == obj.Kind && len(obj.Data) > 0 {
		obj.Data = slices.Clone(obj.Data)
		obj.Data[len(obj.Data)/2] ^= 0x20
	}
	return obj
}

// Put writes an object on its condition.
func (o *Objects) Put(ctx context.Context, obj object.Object) (int64, error) {
	if len(obj.Data) > object.MaxBytes {
		return 0, fmt.Errorf("putting %s/%s: %d bytes are more than a value holds: %w", obj.Kind, obj.Name, len(obj.Data), object.ErrUnavailable)
	}
	if err := o.admit(ctx, o.writes, &o.counts.Writes); err != nil {
		return 0, fmt.Errorf("putting %s/%s: %w", obj.Kind, obj.Name, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	k := key(obj.Kind, obj.Name)
	have := object.Absent
	if versions := o.objects[k]; len(versions) > 0 {
		have = versions[len(versions)-1].Version
	}
	if have != obj.Version {
		return 0, fmt.Errorf("putting %s/%s over version %d: %w", obj.Kind, obj.Name, obj.Version, object.ErrConflict)
	}
	o.version++
	obj.Version = o.version
	o.objects[k] = append(o.objects[k], obj)
	if n := len(o.objects[k]); n > 2 {
		o.objects[k] = slices.Clone(o.objects[k][n-2:])
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return obj.Version, o.lose(obj)
}

// lose reports a write whose answer does not arrive. The caller holds mu.
func (o *Objects) lose(obj object.Object) error {
	if o.faults.LoseAnswers == 0 {
		return nil
	}
	o.faults.LoseAnswers--
	return fmt.Errorf("putting %s/%s: %w", obj.Kind, obj.Name, object.ErrUncertain)
}

// Delete removes an object on its condition.
func (o *Objects) Delete(ctx context.Context, kind, name string, version int64) error {
	if err := o.admit(ctx, o.writes, &o.counts.Writes); err != nil {
		return fmt.Errorf("deleting %s/%s: %w", kind, name, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	versions := o.objects[key(kind, name)]
	if len(versions) == 0 {
		return fmt.Errorf("deleting %s/%s: %w", kind, name, object.ErrNotFound)
	}
	if versions[len(versions)-1].Version != version {
		return fmt.Errorf("deleting %s/%s: %w", kind, name, object.ErrConflict)
	}
	delete(o.objects, key(kind, name))
	return nil
}

// List returns the objects of a kind whose names begin with prefix.
func (o *Objects) List(ctx context.Context, kind, prefix string) ([]object.Object, error) {
	if err := o.admit(ctx, o.reads, &o.counts.Reads); err != nil {
		return nil, fmt.Errorf("listing %s/%s: %w", kind, prefix, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []object.Object
	for k := range o.objects {
		if strings.HasPrefix(k, key(kind, prefix)) {
			if obj, ok := o.newest(k); ok {
				out = append(out, o.damaged(obj))
			}
		}
	}
	slices.SortFunc(out, func(a, b object.Object) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Watch waits for a version above after.
func (o *Objects) Watch(ctx context.Context, kind, name string, after int64) (object.Object, error) {
	if err := o.admit(ctx, o.reads, &o.counts.Watches); err != nil {
		return object.Object{}, fmt.Errorf("watching %s/%s: %w", kind, name, err)
	}
	for {
		o.mu.Lock()
		obj, ok := o.newest(key(kind, name))
		down, changed := o.faults.Down, o.changed
		obj = o.damaged(obj)
		o.mu.Unlock()
		if down {
			return object.Object{}, fmt.Errorf("watching %s/%s: %w", kind, name, object.ErrUnavailable)
		}
		if ok && obj.Version > after {
			return obj, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return object.Object{}, fmt.Errorf("watching %s/%s: %w", kind, name, object.ErrUnchanged)
		}
	}
}
