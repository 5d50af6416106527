// Package lease owns the right to give orders to a shard of endpoints: one
// instance at a time holds it, by conditional updates of one object.
//
// Clocks of instances are never compared. A holder counts its time from before
// it sent the write that renewed the lease; another instance counts from after
// it first read that version. A holder that was paused may still send an order
// late, so each holder has a fencing number, and what engines that ignore it
// have done is found and put right by reading their state again. The package
// gives no orders itself, and a Lease is not safe for concurrent use.
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

	// Duration is how long a lease holds after it was renewed.
	Duration = 15 * time.Second

	// RenewInterval is the time between two renewals.
	RenewInterval = Duration / 3

	// SafetyMargin is kept between the end of a holder's last order and the end of
	// its lease, and added to the time that others wait.
	SafetyMargin = time.Second
)

type (
	// record is the stored lease.
	record struct {
		Holder string `json:"holder"`
		// Fence grows with each new holder.
		Fence int64 `json:"fence"`
		// Nonce is unique to a write.
		Nonce string `json:"nonce"`
		// Longest is the longest time that an order of the holder may take.
		MaxOrderMs int64 `json:"longestMs"`
	}

	// Lease is one instance's view of one lease. Use New.
	Lease struct {
		store    object.Store
		name     string
		self     string
		maxOrder time.Duration
		newID    func() string

		observed record
		version  int64
		// observedAt is when this instance first read the version.
		observedAt time.Time
		// validUntil is the end of the lease if this instance holds it.
		validUntil time.Time
	}
)

// New returns a view of the named lease for an instance whose orders take at
// most longest.
func New(store object.Store, name, self string, maxOrder time.Duration, newID func() string) *Lease {
	return &Lease{store: store, name: name, self: self, maxOrder: maxOrder, newID: newID}
}

// Holder returns the holder as it was last seen, or "".
func (l *Lease) Holder() string { return l.observed.Holder }

// Fence returns the fencing number that was last seen.
func (l *Lease) Fence() int64 { return l.observed.Fence }

// MayOrder reports whether an order that takes at most longest can be sent now,
// and its fencing number. It has to be asked for each order, at its time.
func (l *Lease) MayOrder(now time.Time) (fence int64, ok bool) {
	if l.observed.Holder != l.self || !now.Add(l.maxOrder+SafetyMargin).Before(l.validUntil) {
		return 0, false
	}
	return l.observed.Fence, true
}

// RenewOrAcquire renews the lease if this instance holds it, takes it if it is free or
// has run out, and else looks at it. It reports whether this instance became
// the holder. now returns the present time, which passes during the calls.
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

// Release gives the lease up, so that another instance can take it at once. No
// order may be in flight.
func (l *Lease) Release(ctx context.Context, now func() time.Time) error {
	l.validUntil = time.Time{}
	if l.observed.Holder != l.self {
		return nil
	}
	return l.write(ctx, now, record{Fence: l.observed.Fence})
}

// available reports whether the lease can be taken: nobody holds it, or its version
// has been unchanged for the whole time of a lease and of the longest order.
func (l *Lease) available(now time.Time) bool {
	if l.observed.Holder == "" {
		return true
	}
	maxOrder := time.Duration(l.observed.MaxOrderMs) * time.Millisecond
	return now.Sub(l.observedAt) > Duration+maxOrder+SafetyMargin
}

// refresh reads the lease. A version that is older than one already seen is ignored.
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

func (l *Lease) observe(r record, version int64, at time.Time) {
	if r.Holder != l.self {
		l.validUntil = time.Time{}
	}
	l.observed, l.version, l.observedAt = r, version, at
}

// write replaces the version that was seen. The lease counts from before the
// write was sent. A write without an answer is read back: only its nonce shows
// that it took effect.
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

func (l *Lease) extend(r record, sent time.Time) {
	if r.Holder == l.self {
		l.validUntil = sent.Add(Duration)
	}
}
