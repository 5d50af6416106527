package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"chervilpath/core/fault"
)

// Serve serves an attempt received from a caller, at this instance if it owns
// the key and else at the owner. If it returns an error, nothing is known of the
// request except what the error states.
func (c *Coordinator) Serve(ctx context.Context, a Attempt) (Outcome, error) {
	if err := CheckKey(a.Key); err != nil {
		return Outcome{}, err
	}
	t, isTicket, err := c.issuer.parse(a.Key)
	if err != nil {
		return Outcome{}, err
	}
	if !isTicket {
		return c.serveCallerKey(ctx, a)
	}
	if t.Organisation != a.Organisation {
		return Outcome{}, fault.Errorf(fault.BadRequest, "the ticket belongs to another organisation; get one with your own key")
	}
	if c.owns(t.Owner) {
		return c.serveTicket(ctx, t, a)
	}
	return c.forward(ctx, t.Owner, a)
}

// ServePeer serves an attempt that a peer forwarded. It never forwards the
// attempt any further.
func (c *Coordinator) ServePeer(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	if !c.owns(owner) {
		return Outcome{}, ErrOwnerGone
	}
	if a.QueryOnly {
		return c.queryLocal(ctx, owner, a)
	}
	t, isTicket, err := c.issuer.parse(a.Key)
	if err != nil {
		return Outcome{}, err
	}
	if isTicket {
		return c.serveTicket(ctx, t, a)
	}
	return c.serveClaimed(ctx, owner, a)
}

// owns reports whether this instance owns the keys of the given owner.
func (c *Coordinator) owns(o Owner) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.successors[o.Incarnation]; ok {
		return false
	}
	return o.Incarnation == c.cfg.Owner.Incarnation || c.adopted[o.Incarnation]
}

// serveTicket serves an attempt with a ticket that this instance owns. The
// request of an expired ticket is never started, so that its entry can be
// evicted.
func (c *Coordinator) serveTicket(ctx context.Context, t ticket, a Attempt) (Outcome, error) {
	if !c.deps.Now().Before(t.Expires) {
		return c.knownOutcome(ctx, t.Owner, a)
	}
	d, e, err := c.table.begin(c.deps.Now(), tableKey(a), bodyHash(a))
	if err != nil {
		return Outcome{}, err
	}
	if d == decideRun {
		c.start(ctx, e, a)
	}
	return c.await(ctx, e)
}

// serveCallerKey serves an attempt with a caller-supplied key. It binds the key
// to an owner before anything runs.
func (c *Coordinator) serveCallerKey(ctx context.Context, a Attempt) (Outcome, error) {
	d, e, err := c.table.begin(c.deps.Now(), tableKey(a), bodyHash(a))
	if err != nil {
		return Outcome{}, err
	}
	if d != decideRun {
		return c.await(ctx, e)
	}
	name := claimName(a.Organisation, a.Key)
	proposed := claim{Owner: c.cfg.Owner, Nonce: c.deps.NewID(), BodyHash: bodyHash(a), At: c.deps.Now()}
	current, err := bind(ctx, c.deps.Store, name, proposed)
	if err != nil {
		// The write may have taken effect or may do so later. This instance
		// then owns the key and knows that it has not started the request.
		c.addUnconfirmed(name, proposed.Nonce)
		c.table.cancel(e, unknownOutcome("the store did not answer"))
		return Outcome{}, err
	}
	// A claim of this instance may come from an earlier attempt whose write was
	// not confirmed, or from one that ran and was evicted. Only its nonce tells
	// them apart.
	unconfirmed := c.takeUnconfirmed(name, current.Nonce)
	if (current.Nonce == proposed.Nonce || unconfirmed) && current.BodyHash == proposed.BodyHash {
		c.start(ctx, e, a)
		return c.await(ctx, e)
	}
	c.table.cancel(e, unknownOutcome("another attempt owns the key"))
	if current.BodyHash != proposed.BodyHash {
		return Outcome{}, errKeyReused()
	}
	if c.owns(current.Owner) {
		return c.knownOutcome(ctx, current.Owner, a)
	}
	return c.forward(ctx, current.Owner, a)
}

// serveClaimed serves a forwarded attempt with a caller-supplied key that a
// claim binds to this instance, or to an owner whose keys it adopted.
func (c *Coordinator) serveClaimed(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	if e, err := c.table.lookupEntry(tableKey(a), bodyHash(a)); e != nil || err != nil {
		if err != nil {
			return Outcome{}, err
		}
		return c.await(ctx, e)
	}
	name := claimName(a.Organisation, a.Key)
	current, err := readClaim(ctx, c.deps.Store, name)
	if err != nil || !c.takeUnconfirmed(name, current.Nonce) {
		return c.knownOutcome(ctx, owner, a)
	}
	d, e, err := c.table.begin(c.deps.Now(), tableKey(a), bodyHash(a))
	if err != nil {
		return Outcome{}, err
	}
	if d == decideRun {
		c.start(ctx, e, a)
	}
	return c.await(ctx, e)
}

// addUnconfirmed records that the write of a claim was not confirmed and that
// its request was not started.
func (c *Coordinator) addUnconfirmed(name, nonce string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unconfirmed) >= maxUnconfirmed {
		clear(c.unconfirmed)
	}
	c.unconfirmed[name] = append(c.unconfirmed[name], nonce)
}

// takeUnconfirmed reports whether the claim in force is one that this instance
// wrote without confirmation, so that its request was not started. It reports
// this only once, and drops the key's other unconfirmed writes: a claim that
// exists does not change.
func (c *Coordinator) takeUnconfirmed(name, nonce string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := slices.Contains(c.unconfirmed[name], nonce)
	delete(c.unconfirmed, name)
	return ok
}

func errKeyReused() error {
	return fault.Errorf(fault.KeyReused, "the key was used with another body; send each request with a key of its own")
}

// start runs the request independently of the attempt that started it: the
// caller may disconnect, and another attempt may wait for the outcome.
func (c *Coordinator) start(ctx context.Context, e *entry, a Attempt) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Deadline.Sub(c.deps.Now()))
	c.deps.Go(func() {
		defer cancel()
		o := c.deps.Run(runCtx, a)
		c.table.complete(c.deps.Now(), e, o)
	})
}

// await waits until a request has ended and returns its outcome. If ctx ends
// first, the outcome is unknown for now.
func (c *Coordinator) await(ctx context.Context, e *entry) (Outcome, error) {
	select {
	case <-e.done:
		return c.table.outcome(e), nil
	default:
	}
	select {
	case <-e.done:
		return c.table.outcome(e), nil
	case <-ctx.Done():
		return unknownOutcome("the request is still running; ask for its outcome later"), nil
	}
}

// tableKey returns the table's key for an attempt. It includes the organisation,
// so that organisations cannot use each other's keys.
func tableKey(a Attempt) string { return a.Organisation + "/" + a.Key }

// bodyHash returns the hash of an attempt's kind and body. It includes the kind
// because a key belongs to one request.
func bodyHash(a Attempt) string {
	sum := sha256.Sum256(append([]byte(a.Kind+"\x00"), a.Body...))
	return hex.EncodeToString(sum[:])
}

func unknownOutcome(message string) Outcome {
	return Outcome{
		State: Unknown, Error: fault.OutcomeUnknown.String(), Message: message,
		Ran: fault.RanUnknown.String(),
	}
}

// RequestID returns the request ID under which the request with a key runs. It is
// the same for every attempt, so that an endpoint can recognise a request that it
// has already received, and it does not reveal the key.
func RequestID(organisation, key string) string {
	return "once-" + claimName(organisation, key)[:24]
}
