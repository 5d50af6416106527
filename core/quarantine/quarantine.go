// Package quarantine finds the parts of prompts that crash model engines, and holds back
// the requests whose prompts contain one.
//
// It owns the evidence: which engines ended shortly after they had begun to answer which
// parts, and which parts went on elsewhere. Every instance has a Tracker, feeds it with what
// its own attempts show, and merges what the others have seen, so that each of them reaches
// the same conclusion whichever instance takes a request. It must not send anything or read
// a clock.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilpath/core/fleet"
)

const (
	// maxRequestParts is how many parts of one prompt are tracked, from the first on.
	maxRequestParts = 64

	// refutationTime is how long after a break an answer of the same engine shows that
	// the engine has not ended. A crashed engine takes longer to start again.
	refutationTime = time.Second

	// evidenceRetention is how long a crash counts against the parts that were there.
	evidenceRetention = 5 * time.Minute

	// maxCrashes and maxCrashParts bound the evidence: the oldest crash is dropped first,
	// and of the parts of a crash one whose answer had not begun.
	maxCrashes    = 64
	maxCrashParts = 32

	// maxHolds bounds the parts that are held back. The one whose trial is due first is
	// dropped first.
	maxHolds = 128

	// progressRetention is the number of parts, in each of two generations, whose latest
	// progress is remembered.
	progressRetention = 4096

	// maxRecent is the number of latest requests of a service from which the share of a
	// part is taken.
	maxRecent = 256
)

type (
	// Attempt is one send of a request to an engine.
	Attempt struct {
		Server fleet.Server
		// Parts are the IDs of the parts of the prompt that other requests may share.
		Parts  []string
		SentAt time.Time
		// Begun is set if the engine has begun to answer.
		Begun bool
	}

	// Tracker holds the evidence and the parts that are held back. Use New to create one.
	// It is safe for concurrent use.
	Tracker struct {
		mu sync.Mutex
		// name is that of the instance, for the count of instances that saw a crash.
		name    string
		crashes map[fleet.Incarnation]*crash
		parts   map[partKey]*partState
		// progress and oldProgress hold when answers to a part last went on.
		progress, oldProgress map[progressKey]time.Time
		recent                map[string]*recentRequests
		// changes are what others have not been sent yet.
		changedCrashes map[fleet.Incarnation]bool
		changedParts   map[partKey]bool
		events         []Event
		// suspects is reused while the evidence is evaluated.
		suspects []suspect
		// dirty is set if the evidence has changed since it was evaluated, and evaluateAt
		// is when it may lead to another conclusion without a change.
		dirty                   bool
		evaluatedAt, evaluateAt time.Time
	}

	// partKey names a part of the prompts for a service.
	partKey struct{ service, part string }

	// progressKey is the hash of a part, a service and a version of its software.
	progressKey uint64

	// crash is the end of one engine.
	crash struct {
		service, build string
		at             time.Time
		// known is when this instance learnt of it.
		known    time.Time
		refuted  bool
		suspects map[string]suspicion
		// reporters are the hashes of the instances whose attempts broke.
		reporters map[uint64]bool
	}

	// suspicion says how a part was involved in a crash. Of two reports the higher counts.
	suspicion uint8

	// partState is what is known of a part apart from single crashes.
	partState struct {
		// sound is set if an answer to the part went on at some time.
		sound bool
		// epoch increases whenever the part is held back or released. It is odd while the
		// part is held back.
		epoch int64
		hold  Hold
		// accused are the crashes that count against the part, and accusations is their
		// number, without those that come too soon after another. involved is set if the
		// part was at any crash.
		accused     []*crash
		accusations int
		involved    bool
		// blockedLogged is set once it was logged that the part is too common to be held.
		blockedLogged bool
	}

	// suspect is a part that was involved in a crash.
	suspect struct {
		part  *partState
		level suspicion
	}

	// recentRequests holds the hashes of the parts of the latest requests of a service.
	recentRequests struct {
		parts [][]uint64
		next  int
	}
)

// The suspicions in the order in which they override each other.
const (
	// waiting means that the engine had not begun to answer the prompt.
	waiting suspicion = iota + 1
	// begun means that the engine had just begun to answer it.
	begun
	// cleared means that an answer to the part has gone on at an engine of the same
	// version since.
	cleared
)

// New returns a tracker without evidence for the instance with the given name.
func New(name string) *Tracker {
	return &Tracker{
		name: name, crashes: make(map[fleet.Incarnation]*crash), parts: make(map[partKey]*partState),
		progress: make(map[progressKey]time.Time), oldProgress: make(map[progressKey]time.Time), recent: make(map[string]*recentRequests),
		changedCrashes: make(map[fleet.Incarnation]bool), changedParts: make(map[partKey]bool),
	}
}

func hashProgress(service, build, part string) progressKey {
	return progressKey(xxhash.Sum64String(service + "\x00" + build + "\x00" + part))
}

func firstParts(parts []string) []string { return parts[:min(len(parts), maxRequestParts)] }

// Arrived records a request, from which the share of its parts is taken.
func (t *Tracker) Arrived(service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	hashes := make([]uint64, 0, len(parts))
	for _, p := range firstParts(parts) {
		hashes = append(hashes, xxhash.Sum64String(p))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.recent[service]
	if !ok {
		r = &recentRequests{}
		t.recent[service] = r
	}
	if len(r.parts) < maxRecent {
		r.parts = append(r.parts, hashes)
		return
	}
	r.parts[r.next] = hashes
	r.next = (r.next + 1) % maxRecent
}

// Broke records that the answer to an attempt broke off before it had gone on.
func (t *Tracker) Broke(now time.Time, a Attempt) {
	if len(a.Parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	level := waiting
	if a.Begun {
		level = begun
	}
	report := &crash{
		service: a.Server.Service, build: a.Server.Build, at: now, known: now, suspects: make(map[string]suspicion),
		reporters: map[uint64]bool{xxhash.Sum64String(t.name): true},
	}
	for _, part := range firstParts(a.Parts) {
		// An answer to the part that went on after this attempt was sent speaks for it.
		if t.lastProgress(report.service, report.build, part).Before(a.SentAt) {
			report.suspects[part] = level
		}
	}
	t.merge(a.Server.Incarnation(), report)
	t.evaluate(now)
}

// WentOn records that the answer to an attempt went on after it had begun, or that it is
// whole.
func (t *Tracker) WentOn(now time.Time, a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range firstParts(a.Parts) {
		t.recordProgress(now, a.Server.Service, a.Server.Build, part)
	}
	t.clearParts(now, a.Server.Service, a.Server.Build, a.Parts)
	t.release(now, a)
}

// Answered records that an engine answered an attempt that was sent at the given time.
func (t *Tracker) Answered(now time.Time, inc fleet.Incarnation, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.crashes[inc]
	if !ok || c.refuted || !sentAt.After(c.at) || now.Sub(c.at) > refutationTime {
		return
	}
	t.refute(inc, c)
}

// refute records that an engine has not ended.
func (t *Tracker) refute(inc fleet.Incarnation, c *crash) {
	t.events = append(t.events, Event{Kind: CrashRefuted, Crash: c.state(c.known, inc)})
	c.refuted = true
	clear(c.suspects)
	clear(c.reporters)
	t.crashChanged(inc)
}

func (t *Tracker) recordProgress(now time.Time, service, build, part string) {
	if len(t.progress) >= progressRetention {
		t.oldProgress, t.progress = t.progress, make(map[progressKey]time.Time)
	}
	t.progress[hashProgress(service, build, part)] = now
}

// lastProgress returns when an answer to a part last went on at this instance, or the zero
// time.
func (t *Tracker) lastProgress(service, build, part string) time.Time {
	key := hashProgress(service, build, part)
	if at, ok := t.progress[key]; ok {
		return at
	}
	return t.oldProgress[key]
}

// clearParts marks parts as cleared of the crashes of engines of the same version so far.
func (t *Tracker) clearParts(now time.Time, service, build string, parts []string) {
	for inc, c := range t.crashes {
		if c.service != service || c.build != build || c.at.After(now) {
			continue
		}
		for _, part := range parts {
			if s := c.suspects[part]; s == waiting || s == begun {
				c.suspects[part] = cleared
				t.crashChanged(inc)
			}
		}
	}
	for _, part := range parts {
		if p, ok := t.parts[partKey{service, part}]; ok && !p.sound {
			p.sound = true
			t.partChanged(partKey{service, part})
		}
	}
}

// merge adds what is reported of a crash to the evidence. It applies what this instance
// has seen of the parts.
func (t *Tracker) merge(inc fleet.Incarnation, report *crash) {
	c, ok := t.crashes[inc]
	if !ok {
		c = &crash{service: report.service, build: report.build, at: report.at, known: report.known, suspects: make(map[string]suspicion), reporters: make(map[uint64]bool)}
		t.crashes[inc] = c
		t.crashChanged(inc)
		if !report.refuted {
			t.events = append(t.events, Event{Kind: CrashSeen, Crash: report.state(report.known, inc)})
		}
	}
	if report.refuted && !c.refuted {
		t.refute(inc, c)
	}
	if c.refuted {
		return
	}
	for r := range report.reporters {
		if !c.reporters[r] && len(c.reporters) < maxCrashParts {
			c.reporters[r] = true
			t.crashChanged(inc)
		}
	}
	for part, s := range report.suspects {
		t.mergeSuspect(inc, c, part, s)
	}
	t.dropOldestCrashes()
}

func (t *Tracker) mergeSuspect(inc fleet.Incarnation, c *crash, part string, s suspicion) {
	last := t.lastProgress(c.service, c.build, part)
	if last.After(c.at) {
		s = cleared
	}
	if s <= c.suspects[part] {
		return
	}
	if _, ok := c.suspects[part]; !ok && len(c.suspects) >= maxCrashParts && !c.dropWaiting() {
		return
	}
	c.suspects[part] = s
	t.crashChanged(inc)
	key := partKey{c.service, part}
	p := t.parts[key]
	if p == nil {
		p = &partState{}
		t.parts[key] = p
	}
	if !last.IsZero() && !p.sound {
		p.sound = true
		t.partChanged(key)
	}
}

// dropWaiting drops a part whose answer had not begun, and reports whether there was one.
func (c *crash) dropWaiting() bool {
	for part, s := range c.suspects {
		if s == waiting {
			delete(c.suspects, part)
			return true
		}
	}
	return false
}

func (t *Tracker) dropOldestCrashes() {
	for len(t.crashes) > maxCrashes {
		var oldest fleet.Incarnation
		found := false
		for inc, c := range t.crashes {
			if !found || c.at.Before(t.crashes[oldest].at) {
				oldest, found = inc, true
			}
		}
		delete(t.crashes, oldest)
		delete(t.changedCrashes, oldest)
	}
}

func (t *Tracker) crashChanged(inc fleet.Incarnation) {
	t.changedCrashes[inc], t.dirty = true, true
}

func (t *Tracker) partChanged(key partKey) {
	t.changedParts[key], t.dirty = true, true
}

// share returns the fraction of the latest requests of a service that contain a part, that
// of those which contain it or one that is held back, and the number of requests.
func (t *Tracker) share(key partKey) (share, refused float64, requests int) {
	r, ok := t.recent[key.service]
	if !ok {
		return 0, 0, 0
	}
	own := xxhash.Sum64String(key.part)
	held := []uint64{own}
	for k, p := range t.parts {
		if p.held() && k.service == key.service {
			held = append(held, xxhash.Sum64String(k.part))
		}
	}
	containing, stopped := 0, 0
	for _, parts := range r.parts {
		if slices.Contains(parts, own) {
			containing++
		}
		if slices.ContainsFunc(parts, func(h uint64) bool { return slices.Contains(held, h) }) {
			stopped++
		}
	}
	n := len(r.parts)
	return float64(containing) / float64(n), float64(stopped) / float64(n), n
}
