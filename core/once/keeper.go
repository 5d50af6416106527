package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/object"
)

type (
	// Attempt is one attempt of a caller at a request that is not idempotent.
	Attempt struct {
		Organisation string
		Kind         string
		Key          string
		Body         []byte
		Deadline     time.Time
		// AskOnly asks for the outcome without running anything.
		AskOnly bool
	}

	// Seams are what a Keeper uses of the world around it.
	Seams struct {
		Now   func() time.Time
		NewID func() string
		Store object.Store
		// Run takes the request through its pipeline. The context does not end
		// when the caller goes away.
		Run func(ctx context.Context, a Attempt) Outcome
		// Go runs f apart from its caller.
		Go func(f func())
		// Forward sends the attempt to the key's owner. The error is
		// ErrOwnerGone if the owner's incarnation does not answer.
		Forward func(ctx context.Context, owner Owner, a Attempt) (Outcome, error)
	}

	// Config bounds a Keeper.
	Config struct {
		Owner  Owner
		Secret []byte
		// TicketLife is how long a ticket can be used.
		TicketLife time.Duration
		// Remember is how long an outcome is held in memory.
		Remember time.Duration
		// Limit is the most keys held in memory.
		Limit int
	}

	// Keeper answers attempts. Use New. It is safe for concurrent use.
	Keeper struct {
		cfg    Config
		seams  Seams
		issuer *Issuer
		table  *Table

		mu      sync.Mutex
		adopted map[string]bool
		moved   map[string]Owner
		// unanswered holds the claims whose writes got no answer and whose
		// requests were not started, by claim name.
		unanswered map[string]bool
		number     int
	}
)

const (
	// maxUnanswered bounds the claims without an answer that are held. Beyond
	// it they are forgotten and their keys have an unknown outcome.
	maxUnanswered = 10_000

	// maxRun is the longest deadline of a request.
	maxRun = 10 * time.Minute

	// maxMoves bounds how often keys are followed from one owner to the next.
	maxMoves = 16

	// askLimit bounds a question for an outcome.
	askLimit = 2 * time.Second
)

// ErrOwnerGone means that a key's owner does not answer.
var ErrOwnerGone = errors.New("the key's owner does not answer")

// New returns a keeper that owns no keys yet. Outcomes are held for at least as
// long as a ticket can be used and a request can run: a ticket whose outcome
// was forgotten too early would run again.
func New(cfg Config, seams Seams) *Keeper {
	cfg.Remember = max(cfg.Remember, cfg.TicketLife+maxRun)
	return &Keeper{
		cfg:        cfg,
		seams:      seams,
		issuer:     NewIssuer(cfg.Secret),
		table:      NewTable(cfg.Remember, cfg.Limit),
		adopted:    make(map[string]bool),
		moved:      make(map[string]Owner),
		unanswered: make(map[string]bool),
	}
}

// Table returns the keys that this instance owns.
func (k *Keeper) Table() *Table { return k.table }

// Issue returns a ticket for an organisation and the time at which it expires.
// It needs no store.
func (k *Keeper) Issue(organisation string) (string, time.Time, error) {
	expires := k.seams.Now().Add(k.cfg.TicketLife).UTC().Truncate(time.Second)
	t := ticket{Owner: k.cfg.Owner, ID: k.seams.NewID(), Organisation: organisation, Expires: expires}
	text, err := k.issuer.issue(t)
	return text, expires, err
}

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
	if !k.seams.Now().Before(t.Expires) {
		return k.known(ctx, t.Owner, a)
	}
	v, e, err := k.table.begin(k.seams.Now(), tableKey(a), bodyHash(a))
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
	v, e, err := k.table.begin(k.seams.Now(), tableKey(a), bodyHash(a))
	if err != nil {
		return Outcome{}, err
	}
	if v != runIt {
		return k.await(ctx, e)
	}
	name := claimName(a.Organisation, a.Key)
	want := claim{Owner: k.cfg.Owner, Nonce: k.seams.NewID(), BodyHash: bodyHash(a), At: k.seams.Now()}
	held, err := bind(ctx, k.seams.Store, name, want)
	if err != nil {
		// The write may have taken effect, also later. This instance then owns
		// the key and knows that it has not started the request.
		k.noteUnanswered(name)
		k.table.cancel(e, unknown("the store did not answer"))
		return Outcome{}, err
	}
	mine := held.Owner == want.Owner
	if mine && (held.Nonce == want.Nonce || k.takeUnanswered(name)) && held.BodyHash == want.BodyHash {
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
	if owner.Incarnation != k.cfg.Owner.Incarnation || !k.takeUnanswered(claimName(a.Organisation, a.Key)) {
		return k.known(ctx, owner, a)
	}
	v, e, err := k.table.begin(k.seams.Now(), tableKey(a), bodyHash(a))
	if err != nil {
		return Outcome{}, err
	}
	if v == runIt {
		k.start(ctx, e, a)
	}
	return k.await(ctx, e)
}

func (k *Keeper) noteUnanswered(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unanswered) >= maxUnanswered {
		clear(k.unanswered)
	}
	k.unanswered[name] = true
}

// takeUnanswered reports whether a claim of this instance had no answer before
// and its request was not started. It reports so only once.
func (k *Keeper) takeUnanswered(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok := k.unanswered[name]
	delete(k.unanswered, name)
	return ok
}

func reused() error {
	return fault.Errorf(fault.KeyReused, "the key was used with another body; send each request with a key of its own")
}

// start runs the request apart from the attempt that brought it: its caller
// may go away, and a second attempt may wait for it.
func (k *Keeper) start(ctx context.Context, e *entry, a Attempt) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Deadline.Sub(k.seams.Now()))
	k.seams.Go(func() {
		defer cancel()
		o := k.seams.Run(runCtx, a)
		k.table.end(k.seams.Now(), e, o)
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

// forward sends an attempt to the owner, or to the one that took over its keys,
// also if it handed them on in turn. If none answers, what the owner stored
// decides.
func (k *Keeper) forward(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	at := owner
	for range maxMoves {
		if !k.hasMoved(at) {
			o, err := k.seams.Forward(ctx, Owner{Incarnation: owner.Incarnation, Address: at.Address}, a)
			if err == nil || !errors.Is(err, ErrOwnerGone) {
				return o, err
			}
		}
		if k.owns(owner) {
			return k.ServePeer(ctx, owner, a)
		}
		to, ok := k.successor(ctx, at)
		if !ok {
			break
		}
		at = to
	}
	return k.known(ctx, owner, a)
}

// known answers from memory or from what the owner stored, without running.
func (k *Keeper) known(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	if o, ok := k.table.look(tableKey(a)); ok {
		return o, nil
	}
	r, err := recorded(ctx, k.seams.Store, owner, tableKey(a))
	if err != nil {
		return unknown("the instance that owned the key is gone and left no record"), nil
	}
	if len(a.Body) > 0 && r.BodyHash != bodyHash(a) {
		return Outcome{}, reused()
	}
	return r.Outcome, nil
}

// Ask returns what is known of a key without running anything. Its owner is
// asked if it lives.
func (k *Keeper) Ask(ctx context.Context, organisation, key string) (Outcome, error) {
	a := Attempt{Organisation: organisation, Key: key, Deadline: k.seams.Now().Add(askLimit), AskOnly: true}
	t, isTicket, err := k.issuer.parse(key)
	if err != nil {
		return Outcome{}, err
	}
	owner := t.Owner
	if !isTicket {
		if o, ok := k.table.look(tableKey(a)); ok {
			return o, nil
		}
		c, err := readClaim(ctx, k.seams.Store, claimName(organisation, key))
		switch {
		case errors.Is(err, object.ErrNotFound):
			return Outcome{}, unused()
		case err != nil:
			return Outcome{}, fault.Errorf(fault.StoreUnavailable, "reading the claim of the key: %w", err)
		}
		owner = c.Owner
	}
	if k.owns(owner) {
		return k.askHere(ctx, owner, a)
	}
	return k.forward(ctx, owner, a)
}

// askHere answers for keys that are decided here. A key of which nothing is
// held may still come, so nothing is said of whether it ran.
func (k *Keeper) askHere(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	o, err := k.known(ctx, owner, a)
	t, isTicket, _ := k.issuer.parse(a.Key)
	if err == nil && o.State == Unknown && isTicket && k.seams.Now().Before(t.Expires) {
		if _, held := k.table.look(tableKey(a)); !held {
			return Outcome{}, unused()
		}
	}
	return o, err
}

func unused() error {
	return fault.Errorf(fault.NotFound, "no request with this key has come yet").WithRan(fault.RanUnknown)
}

// Flush stores outcomes that ended, so that they can be asked for after this
// instance is gone. It returns the number of records written.
func (k *Keeper) Flush(ctx context.Context) (int, error) {
	records := k.table.Unflushed(maxFlush)
	if len(records) == 0 {
		return 0, nil
	}
	k.mu.Lock()
	number := k.number
	k.mu.Unlock()
	if err := flush(ctx, k.seams.Store, k.cfg.Owner, number, records); err != nil {
		return 0, err
	}
	k.mu.Lock()
	k.number++
	k.mu.Unlock()
	k.table.MarkFlushed(records)
	return len(records), nil
}

// Owned returns the incarnations whose keys are decided here.
func (k *Keeper) Owned() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := []string{k.cfg.Owner.Incarnation}
	for incarnation := range k.adopted {
		out = append(out, incarnation)
	}
	return out
}

// Adopt takes over the keys of owners that leave.
func (k *Keeper) Adopt(incarnations []string, records []Record) {
	k.table.Adopt(records)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, incarnation := range incarnations {
		k.adopted[incarnation] = true
		delete(k.moved, incarnation)
	}
}

// HandedOver notes that all keys decided here were taken over.
func (k *Keeper) HandedOver(to Owner) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.moved[k.cfg.Owner.Incarnation] = to
	for incarnation := range k.adopted {
		k.moved[incarnation] = to
	}
	clear(k.adopted)
}

// noteMove notes that an owner's keys were taken over, unless by this instance.
func (k *Keeper) noteMove(from string, to Owner) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.adopted[from] {
		k.moved[from] = to
	}
}

// StoreMove writes who took over this instance's keys.
func (k *Keeper) StoreMove(ctx context.Context, to Owner) error {
	data, err := json.Marshal(move{To: to})
	if err != nil {
		return err
	}
	_, err = k.seams.Store.Put(ctx, object.Object{Kind: moveKind, Name: k.cfg.Owner.Incarnation, Version: object.Absent, Data: data})
	return err
}

func (k *Keeper) hasMoved(owner Owner) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.moved[owner.Incarnation]
	return ok
}

func (k *Keeper) successor(ctx context.Context, owner Owner) (Owner, bool) {
	k.mu.Lock()
	to, ok := k.moved[owner.Incarnation]
	k.mu.Unlock()
	if ok {
		return to, true
	}
	obj, err := k.seams.Store.Get(ctx, moveKind, owner.Incarnation)
	if err != nil {
		return Owner{}, false
	}
	var m move
	if err := json.Unmarshal(obj.Data, &m); err != nil {
		return Owner{}, false
	}
	k.noteMove(owner.Incarnation, m.To)
	return m.To, true
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
