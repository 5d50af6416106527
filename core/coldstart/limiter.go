package coldstart

import (
	"sync"
	"time"

	"chervilpath/core/fleet"
)

const (
	// bucketTime is the resolution with which permissions are counted. A permission counts
	// for up to bucketTime longer than Settling.
	bucketTime = 25 * time.Millisecond

	// numBuckets is the number of buckets that a period of Settling touches.
	numBuckets = int64(Settling/bucketTime) + 1

	// maxServers is the number of incarnations of servers for which permissions are
	// counted. Others get none until one of those has been idle.
	maxServers = 4096

	// maxWarmDelay is how long after the end of a server's cold time by this instance's
	// view other instances may still consider it cold.
	maxWarmDelay = 5 * time.Second
)

type (
	// Limiter counts the permissions that one owner grants for each incarnation of a
	// server. Use NewLimiter to create one. It is safe for concurrent use. Its memory does
	// not depend on the rates of servers.
	Limiter struct {
		mu      sync.Mutex
		start   time.Time
		servers map[fleet.Incarnation]*grants
		// byID holds the incarnation for which a permission was last asked, by server ID.
		byID map[string]fleet.Incarnation
	}

	// grants are the permissions that were granted for one incarnation in the buckets
	// after newest-numBuckets, up to newest.
	grants struct {
		buckets [numBuckets]uint32
		newest  int64
		sum     int64
		// notBefore is when the first permission may be granted, or zero.
		notBefore time.Time
		askedAt   time.Time
		allowance int
	}

	// Decision is the answer to the question whether a request may be sent to a server.
	Decision struct {
		Granted bool
		// RetryAfter is the time after which a permission may be granted, if it was not.
		RetryAfter time.Duration
		// Used is the number of permissions in use, this one included, of Allowance.
		Used, Allowance int
	}
)

// NewLimiter returns a limiter that has granted nothing.
func NewLimiter(now time.Time) *Limiter {
	return &Limiter{start: now, servers: make(map[fleet.Incarnation]*grants), byID: make(map[string]fleet.Incarnation)}
}

// Admit decides whether a request may be sent to a server within Validity. known is the
// server as this instance knows it, or the zero Server; allowance is that of Allowance.
//
// Before a server that was warm is known to be cold everywhere, requests are sent to it
// without permissions. So none is granted within Settling of the time at which this
// instance learned that the server turned cold again, be it from the question itself.
func (l *Limiter) Admit(now time.Time, inc fleet.Incarnation, known fleet.Server, allowance int) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.servers[inc]
	if !ok {
		if len(l.servers) >= maxServers {
			l.expire(now)
		}
		if len(l.servers) >= maxServers {
			return Decision{RetryAfter: Settling, Allowance: allowance}
		}
		g = &grants{newest: l.bucket(now)}
		if known.Incarnation() == inc && now.After(known.ColdUntil.Add(maxWarmDelay)) {
			g.notBefore = now.Add(Settling)
		}
		l.servers[inc] = g
	}
	l.byID[inc.ID] = inc
	g.askedAt, g.allowance = now, allowance
	if known.Incarnation() == inc && !known.TurnedColdAt.IsZero() {
		if at := known.TurnedColdAt.Add(Settling); at.After(g.notBefore) {
			g.notBefore = at
		}
	}
	d := l.decide(now, g)
	if d.Granted {
		g.buckets[g.newest%numBuckets]++
		g.sum++
		d.Used++
	}
	return d
}

// MayAdmit reports whether a permission for a server could be granted now, for those who
// choose among servers. It takes none. A server for which none was asked may get one.
func (l *Limiter) MayAdmit(now time.Time, serverID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	inc, ok := l.byID[serverID]
	if !ok {
		return true
	}
	return l.decide(now, l.servers[inc]).Granted
}

// decide returns the decision about one more permission, without counting it.
func (l *Limiter) decide(now time.Time, g *grants) Decision {
	g.advance(l.bucket(now))
	d := Decision{Used: int(g.sum), Allowance: g.allowance}
	switch {
	case now.Before(g.notBefore):
		d.RetryAfter = g.notBefore.Sub(now)
	case g.allowance < 1:
		d.RetryAfter = Settling
	case g.sum >= int64(g.allowance):
		d.RetryAfter = l.timeOf(g.oldest() + numBuckets).Sub(now)
	default:
		d.Granted = true
	}
	return d
}

// bucket returns the bucket of a time, which is that of the start for an earlier time.
func (l *Limiter) bucket(now time.Time) int64 { return int64(max(0, now.Sub(l.start)) / bucketTime) }

// timeOf returns the start of a bucket.
func (l *Limiter) timeOf(bucket int64) time.Time {
	return l.start.Add(time.Duration(bucket) * bucketTime)
}

// advance drops the permissions that count no longer. A time before the newest bucket
// counts as that bucket: callers read the clock before they wait for the lock.
func (g *grants) advance(bucket int64) {
	for range min(bucket-g.newest, numBuckets) {
		g.newest++
		i := g.newest % numBuckets
		g.sum -= int64(g.buckets[i])
		g.buckets[i] = 0
	}
	g.newest = max(g.newest, bucket)
}

// oldest returns the oldest bucket with permissions, or the newest one if there are none.
func (g *grants) oldest() int64 {
	for b := g.newest - numBuckets + 1; b < g.newest; b++ {
		if b >= 0 && g.buckets[b%numBuckets] > 0 {
			return b
		}
	}
	return g.newest
}

// Expire forgets the servers for which nothing was asked for long.
func (l *Limiter) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Limiter) expire(now time.Time) {
	for inc, g := range l.servers {
		if now.Sub(g.askedAt) <= 2*Settling || now.Before(g.notBefore) {
			continue
		}
		delete(l.servers, inc)
		if l.byID[inc.ID] == inc {
			delete(l.byID, inc.ID)
		}
	}
}

// Len returns the number of servers for which permissions are counted.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.servers)
}
