package once

import (
	"context"
	"errors"
	"sync"
	"time"

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
		// QueryOnly asks for the outcome without running anything.
		QueryOnly bool
	}

	// Deps are what a Keeper depends on.
	Deps struct {
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
		// TicketTTL is how long a ticket can be used.
		TicketTTL time.Duration
		// Retention is how long an outcome is held in memory.
		Retention time.Duration
		// MaxKeys is the most keys held in memory.
		MaxKeys int
	}

	// Coordinator answers attempts. Use New. It is safe for concurrent use.
	Coordinator struct {
		cfg    Config
		deps   Deps
		issuer *Issuer
		table  *Table

		mu         sync.Mutex
		adopted    map[string]bool
		successors map[string]Owner
		// unconfirmed holds, by claim name, the nonces of claims whose writes got
		// no answer and whose requests were not started. Only the claim that
		// holds tells whether one of them took effect.
		unconfirmed map[string][]string
		nextFlush   int
	}
)

const (
	// maxUnconfirmed bounds the claims without an answer that are held. Beyond
	// it they are forgotten and their keys have an unknown outcome.
	maxUnconfirmed = 10_000

	// maxRequestDuration is the longest deadline of a request.
	maxRequestDuration = 10 * time.Minute

	// maxRedirects bounds how often keys are followed from one owner to the next.
	maxRedirects = 16

	// queryTimeout bounds a question for an outcome.
	queryTimeout = 2 * time.Second
)

// ErrOwnerGone means that a key's owner does not answer.
var ErrOwnerGone = errors.New("the key's owner does not answer")

// New returns a keeper that owns no keys yet. Outcomes are held for at least as
// long as a ticket can be used and a request can run: a ticket whose outcome
// was forgotten too early would run again.
func New(cfg Config, deps Deps) *Coordinator {
	cfg.Retention = max(cfg.Retention, cfg.TicketTTL+maxRequestDuration)
	return &Coordinator{
		cfg:         cfg,
		deps:        deps,
		issuer:      NewIssuer(cfg.Secret),
		table:       NewTable(cfg.Retention, cfg.MaxKeys),
		adopted:     make(map[string]bool),
		successors:  make(map[string]Owner),
		unconfirmed: make(map[string][]string),
	}
}

// Table returns the keys that this instance owns.
func (c *Coordinator) Table() *Table { return c.table }

// Issue returns a ticket for an organisation and the time at which it expires.
// It needs no store.
func (c *Coordinator) Issue(organisation string) (string, time.Time, error) {
	expires := c.deps.Now().Add(c.cfg.TicketTTL).UTC().Truncate(time.Second)
	t := ticket{Owner: c.cfg.Owner, ID: c.deps.NewID(), Organisation: organisation, Expires: expires}
	text, err := c.issuer.issue(t)
	return text, expires, err
}

// Flush stores outcomes that ended, so that they can be asked for after this
// instance is gone. It returns the number of records written.
func (c *Coordinator) Flush(ctx context.Context) (int, error) {
	records := c.table.Unflushed(maxFlushRecords)
	if len(records) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	seq := c.nextFlush
	c.mu.Unlock()
	if err := writeOutcomes(ctx, c.deps.Store, c.cfg.Owner, seq, records); err != nil {
		return 0, err
	}
	c.mu.Lock()
	c.nextFlush++
	c.mu.Unlock()
	c.table.MarkFlushed(records)
	return len(records), nil
}
