package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/coldstart"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/gather"
	"chervilpath/core/member"
	"chervilpath/core/relay"
	"chervilpath/core/route"
	"chervilpath/io/peer"
)

const (
	// tenureInterval is the time between two checks of whether this instance owns the
	// permissions of services. It is well below the longest break of a tenure.
	tenureInterval = 200 * time.Millisecond

	// contactInterval is the age of the last answer of a member from which it is pinged,
	// while there are cold servers. Until it answers, the last answer is still young enough.
	contactInterval = 500 * time.Millisecond

	// undecidedPause is how long no permissions are asked for after the owner of a service
	// did not decide. Each request would wait for the timeout of the call.
	undecidedPause = 300 * time.Millisecond

	// maxDenials is the number of denials that are remembered.
	maxDenials = 4096

	// maxColdRate is the largest number of requests per second that a service may name for
	// a cold server without a line in the log. No server can do as many.
	maxColdRate = 1e6
)

type (
	// coldAdmission asks the owners of services for permissions to send requests to cold
	// servers, and grants them for the services that this instance owns. It is safe for
	// concurrent use.
	coldAdmission struct {
		instance *Instance
		limiter  *coldstart.Limiter
		// needsContact is set while there are cold servers of a service that this instance
		// owns.
		needsContact atomic.Bool

		mu sync.Mutex
		// tenures are keyed by service.
		tenures map[string]*coldstart.Tenure
		// reachedAt holds when a call was made that a member answered, by the member's ID.
		reachedAt map[string]time.Time
		// majorityUntil is until when this instance counts as reaching more than half of
		// its directory.
		majorityUntil time.Time
		// deniedUntil holds until when a server gets no request from this instance, and
		// undecidedUntil until when the owner of a service is not asked.
		deniedUntil    map[fleet.Incarnation]time.Time
		undecidedUntil map[string]time.Time
		// oddRates are those that were last logged, by service.
		oddRates map[string]float64
	}
)

func newColdAdmission(in *Instance) *coldAdmission {
	return &coldAdmission{
		instance: in, limiter: coldstart.NewLimiter(time.Now()), tenures: make(map[string]*coldstart.Tenure), reachedAt: make(map[string]time.Time),
		deniedUntil: make(map[fleet.Incarnation]time.Time), undecidedUntil: make(map[string]time.Time), oddRates: make(map[string]float64),
	}
}

// logOddRates logs each rate of a configuration that no server can mean, once. A negative
// one limits nothing, and a huge one nothing that matters.
func (a *coldAdmission) logOddRates(table *route.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	odd := make(map[string]float64)
	for _, s := range table.Services() {
		if s.ColdRate >= 0 && s.ColdRate <= maxColdRate {
			continue
		}
		odd[s.Name] = s.ColdRate
		if logged, ok := a.oddRates[s.Name]; !ok || logged != s.ColdRate {
			a.instance.log.Warn("odd rate for cold servers", zap.String("service", s.Name), zap.Float64("coldPerS", s.ColdRate), zap.Int64("version", table.Version()))
		}
	}
	a.oddRates = odd
}

// limited reports whether the requests to cold servers of a service are limited.
func (a *coldAdmission) limited(service string) bool {
	over := a.instance.cfg.Load().Bounds().ColdOver
	return over > 0 && coldstart.Limited(a.instance.state.coldRate(service), over)
}

// admit asks the owner of a service whether a request may be sent to a cold server.
// Without an answer it may not.
func (a *coldAdmission) admit(ctx context.Context, service string, server fleet.Server, requestID string) relay.Permission {
	now, inc := time.Now(), server.Incarnation()
	if until := a.heldUntil(service, inc); now.Before(until) {
		a.instance.metrics.coldAdmissions.WithLabelValues("held").Inc()
		return relay.Permission{RetryAfter: until.Sub(now)}
	}
	reply, err := a.ask(ctx, service, requestID, inc)
	switch {
	case err != nil:
		a.instance.metrics.coldAdmissions.WithLabelValues("undecided").Inc()
		a.instance.log.Info("no decision on a request to a cold server", zap.String("requestId", requestID), zap.String("service", service), zap.String("server", server.ID), zap.Error(err))
		a.mu.Lock()
		a.undecidedUntil[service] = now.Add(undecidedPause)
		a.mu.Unlock()
		a.instance.state.excludeDenied(service)
		return relay.Permission{RetryAfter: coldstart.Settling}
	case !reply.Granted:
		a.deny(now, inc, now.Add(reply.RetryAfter))
		a.instance.state.excludeDenied(service)
		return relay.Permission{RetryAfter: reply.RetryAfter}
	}
	// The owner counts the permission from a later moment, when it decides.
	return relay.Permission{Granted: true, SendBefore: now.Add(min(reply.Valid, coldstart.Validity))}
}

// deny remembers that a server gets no request from this instance until a time.
func (a *coldAdmission) deny(now time.Time, inc fleet.Incarnation, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.deniedUntil) >= maxDenials {
		maps.DeleteFunc(a.deniedUntil, func(_ fleet.Incarnation, until time.Time) bool { return !now.Before(until) })
	}
	if len(a.deniedUntil) < maxDenials {
		a.deniedUntil[inc] = until
	}
}

// deniedUntilOf returns until when a server gets no request from this instance because it
// is cold and was denied, or the zero time.
func (a *coldAdmission) deniedUntilOf(s fleet.Server) time.Time {
	now := time.Now()
	if !now.Before(s.ColdUntil) {
		return time.Time{}
	}
	if until := a.heldUntil(s.Service, s.Incarnation()); until.After(now) {
		return until
	}
	return time.Time{}
}

func (a *coldAdmission) heldUntil(service string, inc fleet.Incarnation) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := a.undecidedUntil[service]; until.After(a.deniedUntil[inc]) {
		return until
	}
	return a.deniedUntil[inc]
}

func (a *coldAdmission) ask(ctx context.Context, service, requestID string, inc fleet.Incarnation) (peer.Admission, error) {
	address, ok := a.instance.delegator.owner(service)
	if !ok {
		return peer.Admission{}, fault.Errorf(fault.Draining, "no owner of service %q is known", service)
	}
	if address == "" {
		return a.decide(service, requestID, inc.ID, inc.Born)
	}
	return a.instance.peers.Admit(ctx, address, service, requestID, inc.ID, inc.Born)
}

// decide decides as the owner of a service whether a request may be sent to a cold server.
// It returns an error if this instance may not decide.
func (a *coldAdmission) decide(service, requestID, server string, born int64) (peer.Admission, error) {
	now, bounds := time.Now(), a.instance.cfg.Load().Bounds()
	rate := a.instance.state.coldRate(service)
	if !coldstart.Limited(rate, bounds.ColdOver) {
		return peer.Admission{}, fault.Errorf(fault.Draining, "cold servers of service %q are not limited at their owner", service)
	}
	if !a.holds(now, service) {
		return peer.Admission{}, fault.Errorf(fault.Draining, "this instance has not owned service %q for long enough, or reaches too few others", service)
	}
	known, _ := a.instance.state.servers().Server(server)
	d := a.limiter.Admit(now, fleet.Incarnation{ID: server, Born: born}, known, coldstart.Allowance(rate, bounds.ColdOver, bounds.ColdSlack))
	result := "denied"
	if d.Granted {
		result = "granted"
	}
	a.instance.metrics.coldAdmissions.WithLabelValues(result).Inc()
	a.instance.log.Info("request to a cold server "+result, zap.String("requestId", requestID), zap.String("service", service), zap.String("server", server), zap.Int64("born", born),
		zap.Int("used", d.Used), zap.Int("allowance", d.Allowance), zap.Int64("retryAfterMs", d.RetryAfter.Milliseconds()))
	return peer.Admission{Granted: d.Granted, Valid: coldstart.Validity, RetryAfter: d.RetryAfter}, nil
}

// mayPlace reports whether a request may be placed on a server now, for those who choose
// among the servers of a service that this instance owns: the server is not cold, its
// service is not limited, or this instance could grant a permission.
func (a *coldAdmission) mayPlace(now time.Time, serverID string) bool {
	s, ok := a.instance.state.servers().Server(serverID)
	if !ok || !now.Before(s.ColdUntil) || !a.limited(s.Service) {
		return true
	}
	return a.holds(now, s.Service) && !now.Before(a.heldUntil(s.Service, s.Incarnation())) && a.limiter.MayAdmit(now, serverID)
}

// admitBatch decides whether a batch of pieces may be sent to its server, which is cold.
func (a *coldAdmission) admitBatch(ctx context.Context, service string, b *gather.Batch) (ok bool, retryAfter time.Duration) {
	if !a.limited(service) {
		return true, 0
	}
	p := a.admit(ctx, service, b.Server, b.Items[0].RequestID)
	b.SendBefore = p.SendBefore
	if !p.Granted {
		a.instance.log.Info("batch not sent to a cold server", zap.String("service", service), zap.String("server", b.Server.ID), zap.Int("pieces", len(b.Items)), zap.Int64("retryAfterMs", p.RetryAfter.Milliseconds()))
	}
	return p.Granted, p.RetryAfter
}

// holds reports whether this instance may grant permissions of a service now.
func (a *coldAdmission) holds(now time.Time, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tenures[service]
	return ok && t.Holds(now) && now.Before(a.majorityUntil)
}

// confirmTenures confirms the tenures of this instance until ctx is done.
func (a *coldAdmission) confirmTenures(ctx context.Context) {
	for ctx.Err() == nil {
		if a.instance.cfg.Load().Bounds().ColdOver > 0 {
			now := time.Now()
			a.needsContact.Store(a.confirm(now))
			a.limiter.Expire(now)
		}
		a.instance.sleep(ctx, tenureInterval)
	}
}

// keepContact keeps this instance in contact with more than half of its directory until ctx
// is done, while there are cold servers of a service that it owns.
func (a *coldAdmission) keepContact(ctx context.Context) {
	for ctx.Err() == nil {
		if a.needsContact.Load() {
			a.contact(ctx, time.Now())
		}
		a.instance.sleep(ctx, tenureInterval)
	}
}

// confirm confirms the tenures, and reports whether this instance owns a service with a
// cold server.
func (a *coldAdmission) confirm(now time.Time) bool {
	services := a.instance.state.coldLimitedServices()
	directory, _ := a.instance.members.Directory()
	self, settled := a.instance.members.Self(), a.instance.settledAt.Load() != nil
	servers, cold := a.instance.state.servers(), false
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.tenures, func(service string, _ *coldstart.Tenure) bool { return !slices.Contains(services, service) })
	for _, service := range services {
		t, ok := a.tenures[service]
		if !ok {
			t = &coldstart.Tenure{}
			a.tenures[service] = t
		}
		owns := settled && !a.instance.draining.Load() && coldstart.IsOwner(self, directory, service)
		t.Confirm(now, owns)
		cold = cold || owns && slices.ContainsFunc(servers.Service(service), func(s fleet.Server) bool { return now.Before(s.ColdUntil) })
	}
	return cold
}

// contact pings as many members of the directory as are needed to know that this instance
// reaches more than half of it.
func (a *coldAdmission) contact(ctx context.Context, now time.Time) {
	directory, _ := a.instance.members.Directory()
	unknown := a.instance.members.UnknownSeeds()
	needed := (len(directory) + unknown) / 2
	var stale []member.Member
	a.mu.Lock()
	maps.DeleteFunc(a.reachedAt, func(_ string, at time.Time) bool { return now.Sub(at) > coldstart.MaxContactAge })
	for _, m := range directory {
		switch {
		case m.ID == a.instance.incarnation || m.State == member.Gone:
		case now.Sub(a.reachedAt[m.ID]) > contactInterval:
			stale = append(stale, m)
		default:
			needed--
		}
	}
	a.mu.Unlock()
	if needed > 0 && len(stale) > 0 {
		// A few more, since some may not answer in time.
		rand.Shuffle(len(stale), func(i, j int) { stale[i], stale[j] = stale[j], stale[i] })
		a.instance.members.Reach(ctx, stale[:min(len(stale), needed+needed/4+1)], func(m member.Member) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.reachedAt[m.ID] = now
			a.updateMajority(directory, unknown)
		})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateMajority(directory, unknown)
}

// updateMajority updates until when this instance reaches more than half of a directory.
// The caller holds mu.
func (a *coldAdmission) updateMajority(directory []member.Member, unknown int) {
	a.majorityUntil = coldstart.MajorityUntil(time.Now(), a.instance.members.Self(), directory, unknown, func(m member.Member) time.Time { return a.reachedAt[m.ID] })
}
