package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilpath/core/object"
)

type (
	// Attempt is one attempt of a caller to have a non-idempotent request run.
	Attempt struct {
		Organisation string
		Kind         string
		Key          string
		Body         []byte
		Deadline     time.Time
		// QueryOnly requests the outcome without running anything.
		QueryOnly bool
	}

	// Deps holds the dependencies of a Coordinator.
	Deps struct {
		Now   func() time.Time
		NewID func() string
		Store object.Store
		// Run runs the request through its pipeline. Its context is not
		// cancelled when the caller disconnects.
		Run func(ctx context.Context, a Attempt) Outcome
		// Go runs f in the background.
		Go func(f func())
		// Forward sends the attempt to the key's owner. The error wraps
		// ErrOwnerGone if the owner's incarnation does not answer.
		Forward func(ctx context.Context, owner Owner, a Attempt) (Outcome, error)
	}

	// Config configures a Coordinator.
	Config struct {
		// Owner identifies this incarnation of this instance.
		Owner Owner
		// Secret is the key that signs tickets, shared by all instances.
		Secret []byte
		// TicketTTL is how long a ticket is valid.
		TicketTTL time.Duration
		// Retention is how long an outcome is kept in memory.
		Retention time.Duration
		// MaxKeys is the maximum number of keys in memory.
		MaxKeys int
	}

	// Coordinator serves attempts: it runs the request, waits for it, returns
	// its stored outcome, or forwards the attempt to the key's owner. Use New
	// to create one. It is safe for concurrent use.
	Coordinator struct {
		cfg    Config
		deps   Deps
		issuer *Issuer
		table  *Table

		mu sync.Mutex
		// adopted holds the incarnations whose keys this instance took over.
		adopted map[string]bool
		// successors maps incarnations to the owners that took over their keys.
		successors map[string]Owner
		// unconfirmed maps claim names to the nonces of claims whose writes
		// were not confirmed and whose requests were not started. Only the
		// claim in force shows whether one of the writes took effect.
		unconfirmed map[string][]string
		// nextFlush is the sequence number of the next object with records.
		nextFlush int
	}
)

const (
	// maxUnconfirmed is the maximum number of keys with unconfirmed claims. When
	// it is reached all of them are dropped, and their keys then have an
	// unknown outcome.
	maxUnconfirmed = 10_000

	// maxRequestDuration is the longest time for which a request may run.
	maxRequestDuration = 10 * time.Minute

	// maxRedirects is the maximum number of handovers that are followed from
	// the owner of a key to the instance that has it now.
	maxRedirects = 16

	// queryTimeout is the deadline of a query for an outcome.
	queryTimeout = 2 * time.Second
)

// ErrOwnerGone means that a key's owner does not answer.
var ErrOwnerGone = errors.New("the key's owner does not answer")

// New returns a coordinator that owns no keys yet. It keeps outcomes for at
// least as long as a ticket is valid and a request can run: a ticket whose
// outcome was evicted earlier would run again.
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

// Table returns the table of the keys that this instance owns.
func (c *Coordinator) Table() *Table { return c.table }

// Issue returns a ticket for an organisation and the time at which it expires.
// It needs no store.
func (c *Coordinator) Issue(organisation string) (string, time.Time, error) {
	expires := c.deps.Now().Add(c.cfg.TicketTTL).UTC().Truncate(time.Second)
	t := ticket{Owner: c.cfg.Owner, ID: c.deps.NewID(), Organisation: organisation, Expires: expires}
	text, err := c.issuer.issue(t)
	return text, expires, err
}

// Flush writes records of ended requests to the store, so that their outcomes
// can be queried after this instance is gone. It returns the number of records
// written, which is 0 once all are stored.
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
