// Package lease implements leases, which give one instance at a time the right
// to send orders to a shard of endpoints. A lease is one stored object that is
// changed by conditional updates.
//
// The clocks of instances are never compared. A holder counts the lease's
// duration from before it sent the write that renewed the lease; other
// instances count from after they first read that version. A holder that was
// paused may still send an order late. Each holder therefore has a fencing
// number, higher than that of its predecessor, with which engines can refuse
// late orders. What an engine did that ignores fencing numbers is detected and
// corrected by reading its state again.
//
// The package must not send orders itself. A Lease is not safe for concurrent
// use.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chervilpath/core/object"
)

const (
	leaseKind = "leases"

	// Duration is how long a lease is valid after it was renewed.
	Duration = 15 * time.Second

	// RenewInterval is the interval between renewals.
	RenewInterval = Duration / 3

	// SafetyMargin is the minimum time between the end of a holder's last order
	// and the end of its lease. Other instances add it to the time for which
	// they wait before they acquire the lease.
	SafetyMargin = time.Second
)

type (
	// record is the stored lease.
	record struct {
		Holder string `json:"holder"`
		// Fence is the fencing number, which grows with each new holder.
		Fence int64 `json:"fence"`
		// Nonce is unique to each write.
		Nonce string `json:"nonce"`
		// MaxOrderMs is the longest time that an order of the holder may take,
		// in milliseconds.
		MaxOrderMs int64 `json:"longestMs"`
	}

	// Lease is one instance's view of a lease. Use New to create one.
	Lease struct {
		store    object.Store
		name     string
		self     string
		maxOrder time.Duration
		newID    func() string

		// observed is the latest stored lease that this instance has read or
		// written, and version its version.
		observed record
		version  int64
		// observedAt is when this instance first read or wrote the version.
		observedAt time.Time
		// validUntil is when the lease expires if this instance holds it.
		validUntil time.Time
	}
)

// New returns a view of the named lease for the instance self, whose orders take
// at most maxOrder.
func New(store object.Store, name, self string, maxOrder time.Duration, newID func() string) *Lease {
	return &Lease{store: store, name: name, self: self, maxOrder: maxOrder, newID: newID}
}

// Holder returns the holder that was last observed, or "" if there is none.
func (l *Lease) Holder() string { return l.observed.Holder }

// Fence returns the fencing number that was last observed.
func (l *Lease) Fence() int64 { return l.observed.Fence }

// MayOrder reports whether this instance may now send an order that takes up to
// the maximum given to New, and returns the order's fencing number. It must be
// called for each order, just before the order is sent.
func (l *Lease) MayOrder(now time.Time) (fence int64, ok bool) {
	if l.observed.Holder != l.self || !now.Add(l.maxOrder+SafetyMargin).Before(l.validUntil) {
		return 0, false
	}
	return l.observed.Fence, true
}

// RenewOrAcquire renews the lease if this instance holds it, and acquires it if it
// is available. In any other case it only reads the lease. It reports whether
// this instance became the holder. now returns the current time, which advances
// during the calls to the store.
func (l *Lease) RenewOrAcquire(ctx context.Context, now func() time.Time) (acquired bool, err error) {
	if err := l.refresh(ctx, now); err != nil {
		return false, err
	}
	if l.observed.Holder == l.self {
		return false, l.write(ctx, now, record{Holder: l.self, Fence: l.observed.Fence})
	}
	if !l.available(now()) {
		return false, nil
	}
	err = l.write(ctx, now, record{Holder: l.self, Fence: l.observed.Fence + 1})
	return err == nil && l.observed.Holder == l.self, err
}

// Release releases the lease if this instance holds it, so that another instance
// can acquire it at once. No order may be in flight.
func (l *Lease) Release(ctx context.Context, now func() time.Time) error {
	l.validUntil = time.Time{}
	if l.observed.Holder != l.self {
		return nil
	}
	return l.write(ctx, now, record{Fence: l.observed.Fence})
}

// available reports whether the lease can be acquired: it has no holder, or its
// version has not changed for the duration of a lease, the holder's longest
// order and the safety margin together.
func (l *Lease) available(now time.Time) bool {
	if l.observed.Holder == "" {
		return true
	}
	maxOrder := time.Duration(l.observed.MaxOrderMs) * time.Millisecond
	return now.Sub(l.observedAt) > Duration+maxOrder+SafetyMargin
}

// refresh reads the lease. It ignores versions that are not newer than the one
// already observed.
func (l *Lease) refresh(ctx context.Context, now func() time.Time) error {
	obj, err := l.store.Get(ctx, leaseKind, l.name)
	if errors.Is(err, object.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("reading lease %q: %w", l.name, err)
	}
	if obj.Version <= l.version {
		return nil
	}
	var r record
	if err := json.Unmarshal(obj.Data, &r); err != nil {
		return fmt.Errorf("decoding lease %q: %w", l.name, err)
	}
	l.observe(r, obj.Version, now())
	return nil
}

// observe records a version of the lease. If this instance is not the holder, its
// right to send orders ends.
func (l *Lease) observe(r record, version int64, at time.Time) {
	if r.Holder != l.self {
		l.validUntil = time.Time{}
	}
	l.observed, l.version, l.observedAt = r, version, at
}

// write replaces the version that was last observed. The duration of the lease
// counts from before the write was sent. A write that is not confirmed is read
// back, and only its nonce shows that it took effect.
func (l *Lease) write(ctx context.Context, now func() time.Time, r record) error {
	r.Nonce = l.newID()
	r.MaxOrderMs = l.maxOrder.Milliseconds()
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encoding lease %q: %w", l.name, err)
	}
	sent := now()
	version, err := l.store.Put(ctx, object.Object{Kind: leaseKind, Name: l.name, Version: l.version, Data: data})
	if err == nil {
		l.observe(r, version, now())
		l.extend(r, sent)
		return nil
	}
	if !errors.Is(err, object.ErrUncertain) && !errors.Is(err, object.ErrConflict) {
		return fmt.Errorf("writing lease %q: %w", l.name, err)
	}
	if refreshErr := l.refresh(ctx, now); refreshErr != nil {
		return refreshErr
	}
	if l.observed.Nonce == r.Nonce {
		l.extend(r, sent)
	}
	return nil
}

// extend sets the expiry of the lease after a write that was sent at the given
// time, unless the write released the lease.
func (l *Lease) extend(r record, sent time.Time) {
	if r.Holder == l.self {
		l.validUntil = sent.Add(Duration)
	}
}
