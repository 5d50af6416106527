package edge

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"chervilpath/core/fleet"
)

const (
	// refusedLogInterval is the mean time between two log lines about refused entries,
	// of which refusedLogBurst may come at once. Another writer may change its entries
	// all the time.
	refusedLogInterval = time.Second
	refusedLogBurst    = 10

	// maxRefusedEntries is the number of refused entries that are remembered. Beyond it
	// all are forgotten, and may be counted and logged again.
	maxRefusedEntries = 4096
)

type (
	// refusedEntries remembers the entries that are not of a server to use, so that each
	// is counted once for each of its revisions and logged once for each reason. It is
	// safe for concurrent use.
	refusedEntries struct {
		mu      sync.Mutex
		byID    map[string]refusedEntry
		limiter *rate.Limiter
	}

	refusedEntry struct {
		revision int64
		// logged is the reason that was logged last, or "".
		logged string
	}
)

func newRefusedEntries() *refusedEntries {
	return &refusedEntries{byID: make(map[string]refusedEntry), limiter: rate.NewLimiter(rate.Every(refusedLogInterval), refusedLogBurst)}
}

// record records that an entry was refused, and reports whether this is to be counted
// and logged.
func (r *refusedEntries) record(now time.Time, id string, revision int64, reason string) (count, log bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.byID[id]
	count = !ok || revision != known.revision
	log = reason != known.logged && r.limiter.AllowN(now, 1)
	if log {
		known.logged = reason
	}
	if !ok && len(r.byID) >= maxRefusedEntries {
		clear(r.byID)
	}
	known.revision = revision
	r.byID[id] = known
	return count, log
}

// forget forgets an entry that is gone or sound.
func (r *refusedEntries) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// retain forgets all entries but the listed ones.
func (r *refusedEntries) retain(listed map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byID {
		if !listed[id] {
			delete(r.byID, id)
		}
	}
}

// refuseEntry counts and logs an entry that is not of a server to use. from is its
// source.
func (in *Instance) refuseEntry(from, id string, revision int64, err error) {
	count, log := in.refused.record(time.Now(), id, revision, err.Error())
	if count {
		in.metrics.refusedEntries.Inc()
	}
	if log {
		in.log.Warn("server entry refused", zap.String("from", from), zap.String("server", fmt.Sprintf("%.64q", id)), zap.Int64("revision", revision), zap.Error(err))
	}
}

// refuseInvalid removes from changes of a peer the entries that are not of a server to
// use, and returns their IDs. A peer of another version may have taken them over.
func (in *Instance) refuseInvalid(from string, changes *fleet.Changes) []string {
	var refused []string
	servers := make([]fleet.Server, 0, len(changes.Servers))
	for _, s := range changes.Servers {
		if err := s.Validate(); err != nil {
			in.refuseEntry(from, s.ID, s.Revision, err)
			refused = append(refused, s.ID)
			continue
		}
		servers = append(servers, s)
	}
	changes.Servers = servers
	return refused
}
