package edge

import (
	"context"
	"encoding/json"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/declare"
	"chervilpath/core/fleet"
	"chervilpath/core/retry"
	"chervilpath/core/route"
	"chervilpath/core/stage"
	"chervilpath/io/peer"
	"chervilpath/platform"
)

const (
	// plainQueue is the maximum number of requests that queue for a plain service,
	// one without engines, at this instance.
	plainQueue = 512

	// staleFraction is the age of the store's last confirmation from which an
	// instance of the directory watches the store itself, as a fraction of the
	// propagation time. It leaves enough of that time to read the store.
	staleFraction = 0.65

	// lateFraction is the same for an instance that is not in the directory.
	lateFraction = 0.9

	// outageHeartbeats is the length of an outage of the store, in heartbeat
	// intervals, from which entries of live servers may have expired in it. An
	// entry expires after three intervals without a heartbeat, and one of them may
	// have passed before the outage.
	outageHeartbeats = 2

	// minAgeGain is how much more recent this instance's confirmation by the store
	// must be than a peer's to be a reason for a reply by itself. It is above the
	// latency between two instances.
	minAgeGain = 100 * time.Millisecond

	// maxConfigBytes is the size of the largest configuration that is accepted
	// from a peer. It is above the size of the store's largest value.
	maxConfigBytes = 4 << 20

	// maxServersBytes is the size of the largest change of the servers that is
	// accepted from a peer.
	maxServersBytes = 16 << 20

	// maxFollowWait is the longest time for which a Follow request of a peer
	// waits for a change.
	maxFollowWait = time.Second

	// maxUseWait is how long a call of another instance for a service waits for the
	// version that has it. It is below the timeout of such calls.
	maxUseWait = 150 * time.Millisecond

	// The sources of changes in the log besides the addresses of peers: the platform's
	// store, an answer of the server itself, and the end of an exclusion or of the grace
	// period for entries that are missing after an outage.
	sourceStore  = "store"
	sourceAnswer = "answer"
	sourceLapse  = "lapse"
)

// sourceLabel returns the source of a change as a metric label, which does not name
// single peers.
func sourceLabel(from string) string {
	if from == sourceStore || from == sourceAnswer || from == sourceLapse {
		return from
	}
	return "peer"
}

type (
	// clusterState holds the configuration and the servers as this instance
	// knows them, and the state that it derives from them for each service. It
	// is safe for concurrent use.
	clusterState struct {
		instance     *Instance
		currentTable atomic.Pointer[route.Table]
		// tableChangedAt is when currentTable came into force, or nil.
		tableChangedAt atomic.Pointer[time.Time]
		snapshot       atomic.Pointer[fleet.Snapshot]

		mu   sync.Mutex
		view *fleet.View
		// history holds the configuration in force as it was read. needWhole is set
		// after a difference from a peer could not be applied.
		history   configHistory
		needWhole bool
		// confirmed is when the store last confirmed what is known, through any instance.
		confirmed confirmations
		// followsEvacuations is set if the settings ask for evacuations to be followed.
		followsEvacuations bool
		// encodedServers are the changes of the servers that were last encoded for a
		// peer.
		encodedServers encodedChanges
		// changed is closed and replaced whenever there is something new for
		// peers: a change, or a later confirmation by the store.
		changed      chan struct{}
		numInstances int
		// uses holds how each service has been used, by name. Requests that began
		// under an earlier configuration go on using it as they did.
		uses map[string]serviceUse
		// coldRates holds the rates that cold servers tolerate, by service, where that is
		// limited.
		coldRates   atomic.Pointer[map[string]float64]
		plainStages map[string]*stage.Stage
		// slotOwners holds the owners of the slots of plain services for which this instance
		// was asked.
		slotOwners  map[string]*slotOwner
		retryShares map[string]*retry.Share
	}
)

// serviceUse is how a service has been used: by engine or pieces if they are not nil, and
// as a plain service if plain is set.
type serviceUse struct {
	engine *route.EngineConfig
	pieces *route.PieceConfig
	plain  bool
}

// encodedChanges are the changes of the servers from the revision after to revision,
// as of a generation of the view.
type encodedChanges struct {
	after, revision, generation int64
	plain, compressed           []byte
}

func newClusterState(in *Instance) *clusterState {
	c := &clusterState{
		instance: in, view: fleet.New(outageHeartbeats * in.cfg.Load().Bounds().HeartbeatInterval), numInstances: 1, changed: make(chan struct{}),
		followsEvacuations: in.cfg.Load().Bounds().Evacuation > 0,
		uses:               make(map[string]serviceUse), plainStages: make(map[string]*stage.Stage), slotOwners: make(map[string]*slotOwner), retryShares: make(map[string]*retry.Share),
	}
	c.snapshot.Store(c.view.Snapshot())
	return c
}

func (c *clusterState) table() *route.Table { return c.currentTable.Load() }

// configAge returns for how long the configuration has been in force, or 0 if there is
// none.
func (c *clusterState) configAge(now time.Time) time.Duration {
	if at := c.tableChangedAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

func (c *clusterState) servers() *fleet.Snapshot { return c.snapshot.Load() }

// propagationTime returns a fraction of the propagation time, within which changes
// must be in force: the shortest of the bounds for a new configuration, for a leaving
// server and for an evacuation, if evacuations are followed.
func (c *clusterState) propagationTime(fraction float64) time.Duration {
	bounds := c.instance.cfg.Load().Bounds()
	shortest := min(bounds.ConfigPropagation, bounds.Drain)
	if c.followsEvacuations {
		shortest = min(shortest, bounds.Evacuation)
	}
	return time.Duration(fraction * float64(shortest))
}

// deltaBase returns the digest of the configuration to which a difference can be
// applied, or 0 if the whole is needed.
func (c *clusterState) deltaBase() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.needWhole {
		return 0
	}
	return c.history.digest()
}

// offerConfig puts a configuration in force if it is valid and newer than the
// one in force. from is its source, for the log. It reports whether that version or
// a newer one is in force now.
func (c *clusterState) offerConfig(spec []byte, from string) bool {
	table, err := platform.DecodeConfig(spec)
	if err != nil {
		c.instance.log.Warn("configuration refused", zap.String("from", from), zap.Error(err))
		return false
	}
	c.mu.Lock()
	current := c.currentTable.Load()
	if current != nil && table.Version() <= current.Version() {
		c.mu.Unlock()
		return true
	}
	// A request must not find a version whose services have no servers yet.
	c.recordUses(table)
	c.updateServices()
	c.currentTable.Store(table)
	now := time.Now()
	c.tableChangedAt.Store(&now)
	c.history.add(spec)
	c.needWhole = false
	c.notifyWaiters()
	c.mu.Unlock()
	c.instance.cold.logOddRates(table)
	fields := []zap.Field{zap.Int64("version", table.Version()), zap.String("from", from)}
	if current != nil {
		fields = append(fields, zap.Int64("after", current.Version()))
		fields = append(fields, c.confirmationFields(c.lastConfirmation())...)
	}
	c.instance.log.Info("configuration in force", fields...)
	c.instance.metrics.configVersion.Set(float64(table.Version()))
	c.updateReady()
	go c.instance.members.SetRevision(c.instance.loopCtx, table.Version())
	return true
}

// updateReady marks the instance as ready as soon as it is settled and knows a
// configuration, at least one server and, where they are followed, the evacuations.
func (c *clusterState) updateReady() {
	snapshot := c.snapshot.Load()
	if c.followsEvacuations && snapshot.Evacuations().Revision == 0 {
		return
	}
	if c.instance.settledAt.Load() != nil && c.currentTable.Load() != nil && snapshot.Len() > 0 {
		c.instance.readyOnce.Do(func() {
			close(c.instance.ready)
			c.instance.log.Info("instance ready", zap.Duration("afterStart", time.Since(c.instance.startedAt)))
		})
	}
}

// updateServers applies a change to the view of the servers, and removes those
// whose grace period after an outage has ended. from is the source of the change,
// for the log.
func (c *clusterState) updateServers(from string, apply func(v *fleet.View, now time.Time)) {
	c.mu.Lock()
	oldRevision, oldGeneration := c.view.Revision(), c.view.Generation()
	now := time.Now()
	apply(c.view, now)
	c.logServerEvents(from)
	c.view.Expire(now)
	c.view.ExpireNotices(now)
	c.logServerEvents(sourceLapse)
	if c.view.Generation() != oldGeneration {
		c.snapshot.Store(c.view.Snapshot())
		c.updateServices()
	}
	if c.view.Revision() != oldRevision {
		c.notifyWaiters()
	}
	c.mu.Unlock()
	c.updateReady()
}

// expireMissing removes the servers that did not reappear after an outage of the
// store, and ends exclusions that are over.
func (c *clusterState) expireMissing() {
	c.mu.Lock()
	due := c.view.MissingCount() > 0 || c.view.ExcludedCount() > 0
	c.mu.Unlock()
	if due {
		c.updateServers(sourceLapse, func(*fleet.View, time.Time) {})
	}
}

// logServerEvents logs what has changed in the view of the servers, with its source
// and the age of the store's last confirmation. The caller holds mu.
func (c *clusterState) logServerEvents(from string) {
	for _, e := range c.view.TakeEvents() {
		fields := []zap.Field{zap.String("from", from), zap.Int64("revision", c.view.Revision())}
		fields = append(fields, c.confirmationFields(c.confirmation())...)
		if e.Kind == fleet.OutageEnded {
			c.instance.log.Warn("store answered after an outage", append(fields, zap.Int64("outageMs", e.Gap.Milliseconds()))...)
			continue
		}
		if e.Kind == fleet.Excluded {
			fields = append(fields, zap.Int64("forMs", time.Until(e.Until).Milliseconds()))
		}
		fields = append(fields, zap.String("server", e.Server.ID), zap.String("service", e.Server.Service), zap.Int64("born", e.Server.Born))
		c.instance.log.Info("server "+e.Kind.String(), fields...)
		c.instance.metrics.serverEvents.WithLabelValues(e.Kind.String(), sourceLabel(from)).Inc()
	}
}

// logChanges logs what a peer gives as the changes of the servers since a revision, if there are
// any. With the lines of single servers it shows which of them a peer left out.
func (c *clusterState) logChanges(from string, after int64, changes fleet.Changes) {
	if !changes.Whole && len(changes.Servers)+len(changes.Removed)+len(changes.Missing) == 0 {
		return
	}
	c.instance.log.Info("servers taken from peer", zap.String("from", from), zap.Int64("after", after), zap.Int64("revision", changes.Revision), zap.Bool("whole", changes.Whole),
		zap.Int("listed", len(changes.Servers)), zap.Int("removed", len(changes.Removed)), zap.Int("missing", len(changes.Missing)))
}

func (c *clusterState) setNumInstances(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if count == c.numInstances {
		return
	}
	c.numInstances = count
	c.instance.log.Info("instances serving", zap.Int("count", count))
	for _, s := range c.plainStages {
		s.UpdateMembership(nil, count)
	}
}

// recordUses records how a configuration uses its services. The caller holds mu.
func (c *clusterState) recordUses(table *route.Table) {
	rates := make(map[string]float64)
	if old := c.coldRates.Load(); old != nil {
		maps.Copy(rates, *old)
	}
	for _, svc := range table.Services() {
		use := c.uses[svc.Name]
		if svc.Engine != nil {
			use.engine = svc.Engine
		} else {
			// A route may also send its requests to a service that runs stages.
			use.plain = true
		}
		if svc.Pieces != nil {
			use.pieces = svc.Pieces
		}
		c.uses[svc.Name] = use
		if svc.ColdRate > 0 {
			rates[svc.Name] = svc.ColdRate
		} else {
			delete(rates, svc.Name)
		}
	}
	c.coldRates.Store(&rates)
}

// coldRate returns the number of requests per second that a cold server of a service
// tolerates, or 0 if that is not limited. It takes no lock: placers ask while they hold theirs,
// and get their servers from one who holds mu.
func (c *clusterState) coldRate(service string) float64 {
	if rates := c.coldRates.Load(); rates != nil {
		return (*rates)[service]
	}
	return 0
}

// coldLimitedServices returns the services whose cold servers tolerate only some requests.
func (c *clusterState) coldLimitedServices() []string {
	rates := c.coldRates.Load()
	if rates == nil {
		return nil
	}
	return slices.Collect(maps.Keys(*rates))
}

// awaitUse waits until the configuration in force has a service in a use that fits, up to
// maxUseWait, and reports whether it has: another instance may have a version earlier than
// this one.
func (c *clusterState) awaitUse(ctx context.Context, service string, fits func(serviceUse) bool) bool {
	timer := time.NewTimer(maxUseWait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		ok, changed := fits(c.uses[service]), c.changed
		c.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// updateServices passes the current servers, settings and number of instances to every
// service, also to those that are no longer in the configuration. The caller holds mu.
func (c *clusterState) updateServices() {
	snapshot := c.snapshot.Load()
	for name, use := range c.uses {
		servers := snapshot.Service(name)
		if use.engine != nil {
			c.instance.delegator.placer(name).SetServers(servers, use.engine.Slots)
			c.instance.delegator.placer(name).SetKVTokens(use.engine.KVTokens)
		}
		if use.pieces != nil {
			c.instance.delegator.dispatcher(name, *use.pieces).SetServers(servers, *use.pieces)
		}
		if use.plain {
			c.updatePlainStage(name, servers)
		}
	}
}

// updatePlainStage updates the stage of a plain service, and creates it if there
// is none. The caller holds mu.
func (c *clusterState) updatePlainStage(name string, servers []fleet.Server) {
	endpoints := make([]*declare.Endpoint, 0, len(servers))
	for _, s := range servers {
		endpoints = append(endpoints, declare.NewEndpoint(s.ID, s.Address, s.Zone, s.Slots))
	}
	decl := declare.NewStage(name, plainQueue, endpoints)
	s, ok := c.plainStages[name]
	if !ok {
		s = stage.New(decl, c.instance.name, c.numInstances, c.instance.clock, mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 1)), stage.Policy{})
		c.plainStages[name] = s
	} else {
		s.SetDeclaration(decl)
	}
	s.UpdateMembership(nil, c.numInstances)
	excluded := c.exclusions(servers)
	s.SetExcluded(excluded)
	if o, ok := c.slotOwners[name]; ok {
		o.stage.SetDeclaration(decl)
		o.stage.SetExcluded(excluded)
		o.Update()
	}
}

// exclusions returns until when servers of a plain service get nothing from this instance,
// because they want nothing or because they are cold and were denied. The caller holds mu.
func (c *clusterState) exclusions(servers []fleet.Server) map[string]time.Time {
	excluded := make(map[string]time.Time)
	for _, server := range servers {
		if until := latest(server.ExcludedUntil, c.instance.cold.deniedUntilOf(server)); !until.IsZero() {
			excluded[server.ID] = until
		}
	}
	return excluded
}

// excludeDenied keeps the stage of a plain service from choosing servers that are cold and
// were denied. It would count them as free, so that requests wait for nothing.
func (c *clusterState) excludeDenied(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	excluded := c.exclusions(c.snapshot.Load().Service(service))
	if s, ok := c.plainStages[service]; ok {
		s.SetExcluded(excluded)
	}
	if o, ok := c.slotOwners[service]; ok {
		o.stage.SetExcluded(excluded)
		o.Update()
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (c *clusterState) plainStage(name string) *stage.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plainStages[name]
}

// retryShare returns this instance's share of the retry budget of a service. The
// caller holds mu.
func (c *clusterState) retryShare(service string) *retry.Share {
	s, ok := c.retryShares[service]
	if !ok {
		bounds := c.instance.cfg.Load().Bounds()
		s = retry.NewShare(bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow)
		c.retryShares[service] = s
	}
	return s
}

func (c *clusterState) recordCall(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryShare(service).RecordCall(time.Now())
}

func (c *clusterState) allowRetry(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryShare(service).Allow(time.Now(), c.numInstances)
}

// serveFollow answers a peer's request for what the peer does not know yet. If
// there is nothing, it waits for a change or a later confirmation of the store,
// up to the time that the request gives.
func (c *clusterState) serveFollow(ctx context.Context, req peer.FollowRequest) peer.FollowReply {
	arrivedAt := c.instance.bootTime()
	out, ok, changed := c.followReply(req, arrivedAt)
	if ok {
		return out
	}
	timer := time.NewTimer(min(req.Wait, maxFollowWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	out, _, _ = c.followReply(req, arrivedAt)
	return out
}

// followReply returns what the peer does not know yet, whether there is anything,
// and a channel that is closed at the next change.
func (c *clusterState) followReply(req peer.FollowRequest, arrivedAt time.Time) (out peer.FollowReply, ok bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, last := c.instance.bootTime(), c.confirmation()
	out.Held, out.Confirmed, out.Confirmation = now.Sub(arrivedAt), !last.IsZero(), last.Report(now)
	if answers := c.view.Answers(); !answers.To.IsZero() {
		out.AnswersFromAge, out.AnswersToAge = time.Since(answers.From), time.Since(answers.To)
	}
	ok = out.Confirmed && (!req.Confirmed || req.Age-out.Confirmation.Age > minAgeGain)
	if t := c.currentTable.Load(); t != nil && t.Version() > req.Version {
		out.Configuration, out.ConfigurationDelta = c.history.forPeer(req.ConfigurationDigest)
		ok = true
	}
	if c.view.Revision() > req.ServersRevision {
		plain, compressed := c.serverChanges(req.ServersRevision)
		if req.CompressedServers {
			out.CompressedServers = compressed
		} else {
			out.Servers = plain
		}
		ok = ok || len(plain) > 0
	}
	if e := c.view.Evacuations(); e.Revision > req.EvacuationsRevision {
		out.Evacuations = c.encodeEvacuations(e)
		// A set that is only seen to hold for longer is no reason for a reply by itself.
		ok = ok || e.ChangedAt > req.EvacuationsRevision
	}
	return out, ok, c.changed
}

// serverChanges returns the changes of the servers after a revision, as JSON and
// compressed. They are encoded once for all peers that have the same revision. The
// caller holds mu.
func (c *clusterState) serverChanges(after int64) (plain, compressed []byte) {
	if !c.view.HasChangesSince(after) {
		// The whole list is the same for all.
		after = 0
	}
	if e := c.encodedServers; e.after == after && e.generation == c.view.Generation() && e.revision == c.view.Revision() && e.plain != nil {
		return e.plain, e.compressed
	}
	data, err := json.Marshal(c.view.ChangesSince(after))
	if err != nil {
		c.instance.log.Error("could not encode server changes for peer", zap.Error(err))
		return nil, nil
	}
	c.encodedServers = encodedChanges{
		after: after, revision: c.view.Revision(), generation: c.view.Generation(), plain: data, compressed: peer.Compress(data),
	}
	return c.encodedServers.plain, c.encodedServers.compressed
}

// notifyWaiters wakes the Follow requests that wait for a change. The caller
// holds mu.
func (c *clusterState) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}
