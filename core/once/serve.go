package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"chervilpath/core/fault"
)

// Serve answers an attempt that came from a caller: at the key's owner, here
// or at a peer. An error says that nothing is known of the request but for its
// own statement.
func (k *Keeper) Serve(ctx context.Context, a Attempt) (Outcome, error) {
	if err := CheckKey(a.Key); err != nil {
		return Outcome{}, err
	}
	t, isTicket, err := k.issuer.parse(a.Key)
	if err != nil {
		return Outcome{}, err
	}
	if !isTicket {
		return k.serveOwnKey(ctx, a)
	}
	if t.Organisation != a.Organisation {
		return Outcome{}, fault.Errorf(fault.BadRequest, "the ticket belongs to another organisation; get one with your own key")
	}
	if k.owns(t.Owner) {
		return k.serveTicket(ctx, t, a)
	}
	return k.forward(ctx, t.Owner, a)
}

// ServePeer answers an attempt that a peer forwarded. It never forwards again.
func (k *Keeper) ServePeer(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	if !k.owns(owner) {
		return Outcome{}, ErrOwnerGone
	}
	if a.AskOnly {
		return k.askHere(ctx, owner, a)
	}
	t, isTicket, err := k.issuer.parse(a.Key)
	if err != nil {
		return Outcome{}, err
	}
	if isTicket {
		return k.serveTicket(ctx, t, a)
	}
	return k.serveClaimed(ctx, owner, a)
}

// owns reports whether keys of the owner are decided here.
func (k *Keeper) owns(o Owner) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.moved[o.Incarnation]; ok {
		return false
	}
	return o.Incarnation == k.cfg.Owner.Incarnation || k.adopted[o.Incarnation]
}

// serveTicket decides on a ticket that is owned here. A ticket that has
// expired never starts, so that it can be forgotten.
func (k *Keeper) serveTicket(ctx context.Context, t ticket, a Attempt) (Outcome, error) {
	if !k.deps.Now().Before(t.Expires) {
		return k.known(ctx, t.Owner, a)
	}
	v, e, err := k.table.begin(k.deps.Now(), tableKey(a), bodyHash(a))
	if err != nil {
		return Outcome{}, err
	}
	if v == runIt {
		k.start(ctx, e, a)
	}
	return k.await(ctx, e)
}

// serveOwnKey binds the key to an owner before anything runs.
func (k *Keeper) serveOwnKey(ctx context.Context, a Attempt) (Outcome, error) {
	v, e, err := k.table.begin(k.deps.Now(), tableKey(a), bodyHash(a))
	if err != nil {
		return Outcome{}, err
	}
	if v != runIt {
		return k.await(ctx, e)
	}
	name := claimName(a.Organisation, a.Key)
	want := claim{Owner: k.cfg.Owner, Nonce: k.deps.NewID(), BodyHash: bodyHash(a), At: k.deps.Now()}
	held, err := bind(ctx, k.deps.Store, name, want)
	if err != nil {
		// The write may have taken effect, also later. This instance then owns
		// the key and knows that it has not started the request.
		k.noteUnanswered(name, want.Nonce)
		k.table.cancel(e, unknown("the store did not answer"))
		return Outcome{}, err
	}
	// A claim of this instance may be of an earlier attempt whose write got no
	// answer, or of one that ran and was forgotten. Only its nonce tells.
	unanswered := k.takeUnanswered(name, held.Nonce)
	if (held.Nonce == want.Nonce || unanswered) && held.BodyHash == want.BodyHash {
		k.start(ctx, e, a)
		return k.await(ctx, e)
	}
	k.table.cancel(e, unknown("another attempt owns the key"))
	if held.BodyHash != want.BodyHash {
		return Outcome{}, reused()
	}
	if k.owns(held.Owner) {
		return k.known(ctx, held.Owner, a)
	}
	return k.forward(ctx, held.Owner, a)
}

// serveClaimed decides on a key that a claim binds to an owner decided here.
func (k *Keeper) serveClaimed(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	if e, err := k.table.find(tableKey(a), bodyHash(a)); e != nil || err != nil {
		if err != nil {
			return Outcome{}, err
		}
		return k.await(ctx, e)
	}
	name := claimName(a.Organisation, a.Key)
	held, err := readClaim(ctx, k.deps.Store, name)
	if err != nil || !k.takeUnanswered(name, held.Nonce) {
		return k.known(ctx, owner, a)
	}
	v, e, err := k.table.begin(k.deps.Now(), tableKey(a), bodyHash(a))
	if err != nil {
		return Outcome{}, err
	}
	if v == runIt {
		k.start(ctx, e, a)
	}
	return k.await(ctx, e)
}

func (k *Keeper) noteUnanswered(name, nonce string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unanswered) >= maxUnanswered {
		clear(k.unanswered)
	}
	k.unanswered[name] = append(k.unanswered[name], nonce)
}

// takeUnanswered reports whether the claim that holds is one of this instance
// that got no answer, so that its request was not started. It reports so only
// once, and forgets the other writes: a claim that exists does not change.
func (k *Keeper) takeUnanswered(name, nonce string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok := slices.Contains(k.unanswered[name], nonce)
	delete(k.unanswered, name)
	return ok
}

func reused() error {
	return fault.Errorf(fault.KeyReused, "the key was used with another body; send each request with a key of its own")
}

// start runs the request apart from the attempt that brought it: its caller
// may go away, and a second attempt may wait for it.
func (k *Keeper) start(ctx context.Context, e *entry, a Attempt) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Deadline.Sub(k.deps.Now()))
	k.deps.Go(func() {
		defer cancel()
		o := k.deps.Run(runCtx, a)
		k.table.end(k.deps.Now(), e, o)
	})
}

// await waits for the end of a request. If the attempt ends first, the outcome
// is not known yet.
func (k *Keeper) await(ctx context.Context, e *entry) (Outcome, error) {
	select {
	case <-e.ended:
		return k.table.outcome(e), nil
	default:
	}
	select {
	case <-e.ended:
		return k.table.outcome(e), nil
	case <-ctx.Done():
		return unknown("the request still runs; ask for its outcome later"), nil
	}
}

// tableKey keeps the keys of organisations apart.
func tableKey(a Attempt) string { return a.Organisation + "/" + a.Key }

// bodyHash covers the kind too: a key belongs to one request.
func bodyHash(a Attempt) string {
	sum := sha256.Sum256(append([]byte(a.Kind+"\x00"), a.Body...))
	return hex.EncodeToString(sum[:])
}

func unknown(message string) Outcome {
	return Outcome{
		State: Unknown, Error: fault.OutcomeUnknown.String(), Message: message,
		Ran: fault.RanUnknown.String(),
	}
}

// RequestID returns the id under which a request with a key runs. It is the
// same for every attempt, so that an endpoint can tell by itself that it has
// seen the request, and it does not show the key.
func RequestID(organisation, key string) string {
	return "once-" + claimName(organisation, key)[:24]
}
