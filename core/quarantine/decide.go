package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectCrashes is the number of engines that ended on a part from which requests
	// with it are not repeated, and holdCrashes that from which they are not sent at all.
	suspectCrashes = 2
	holdCrashes    = 4

	// crashSpacing is the least time between two crashes that count against a part whose
	// answers have gone on before. Engines that are lost together, for another reason, all
	// end while they answer what is most common.
	crashSpacing = 500 * time.Millisecond

	// objectionTime is how long the evidence is shared before a part is held back, so that
	// instances that saw its answers go on can say so.
	objectionTime = 250 * time.Millisecond

	// ambiguityTime is the same if another part is as likely the cause, and no answer to
	// either has gone on yet. Soon after the start of all instances little is known.
	ambiguityTime = 1200 * time.Millisecond

	// evaluationInterval is the longest time between two evaluations of the evidence, and
	// evaluationPause the shortest.
	evaluationInterval = time.Second
	evaluationPause    = 50 * time.Millisecond

	// No more than maxHeldShare of the latest requests of a service are held back, if there
	// are at least minShareRequests: more would be lost than the engines that they end, and
	// engines that crash on most requests crash for another reason.
	maxHeldShare     = 0.5
	minShareRequests = 20

	// A part is tried again after firstTrial, by one request of all instances, and after
	// twice the time with each trial that fails, up to maxTrial. A part that no request
	// has then asked for is forgotten after forgetAfter.
	firstTrial  = 2 * time.Minute
	maxTrial    = time.Hour
	forgetAfter = time.Hour
)

type (
	// Hold describes a part that is held back.
	Hold struct {
		Service, Part string
		// Crashes is the number of engines that ended, and Instances that of the instances
		// which saw it.
		Crashes, Instances int
		Servers            []string
		Builds             []string
		Since              time.Time
		// TrialDue is when one request may be sent to see whether engines bear the part.
		TrialDue time.Time
		// Trials is the number of requests that were sent for that.
		Trials int
	}

	// Standing says what may be done with a request because of the parts of its prompt.
	Standing uint8

	// Verdict is the standing of a request, with the part that causes it.
	Verdict struct {
		Standing Standing
		Part     string
		// RetryAfter is the time until the part is tried again, if it is held back.
		RetryAfter time.Duration
	}

	// EventKind is a change of what is held back.
	EventKind uint8

	// Event is a change of what is held back, for the log.
	Event struct {
		Kind EventKind
		Hold Hold
		// Share is the fraction of the latest requests that would be refused, if a part is
		// too common.
		Share float64
		// Crash is set for the kinds CrashSeen and CrashRefuted.
		Crash CrashState
	}
)

// The standings, the least severe first.
const (
	// Unsuspected requests are sent and repeated as usual.
	Unsuspected Standing = iota
	// Suspected requests are sent, but not repeated after an answer that broke off.
	Suspected
	// TrialDue requests are sent only if ClaimTrial allows it.
	TrialDue
	// HeldBack requests are not sent.
	HeldBack
)

// The kinds of events.
const (
	Held EventKind = iota
	Released
	TrialStarted
	TooCommon
	Forgotten
	// CrashSeen is an engine that may have crashed on one of some parts, and CrashRefuted
	// one that has answered since.
	CrashSeen
	CrashRefuted
)

var eventNames = [...]string{CrashSeen: "crash seen", CrashRefuted: "crash refuted", Held: "held back", Released: "released", TrialStarted: "tried again", TooCommon: "too common to be held back", Forgotten: "forgotten"}

// String returns the name of the kind.
func (k EventKind) String() string {
	if int(k) >= len(eventNames) {
		return "unknown"
	}
	return eventNames[k]
}

// held reports whether the part is held back.
func (p *partState) held() bool { return p.epoch%2 == 1 }

// Check returns what may be done with a request for a service. The part exempt, which the
// request tries, counts as unsuspected; it may be "".
func (t *Tracker) Check(now time.Time, service string, parts []string, exempt string) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.parts) == 0 {
		return Verdict{}
	}
	t.evaluate(now)
	var out Verdict
	for _, part := range firstParts(parts) {
		p, ok := t.parts[partKey{service, part}]
		if !ok || part == exempt {
			continue
		}
		v := Verdict{Part: part}
		switch {
		case p.held() && now.Before(p.hold.TrialDue):
			v.Standing, v.RetryAfter = HeldBack, p.hold.TrialDue.Sub(now)
		case p.held():
			v.Standing = TrialDue
		case p.accusations >= suspectCrashes:
			v.Standing = Suspected
		}
		if v.Standing > out.Standing {
			out = v
		}
	}
	return out
}

// ClaimTrial reports whether a request may be sent to try a part that is held back. Only
// the instance that places the requests of the service may call it.
func (t *Tracker) ClaimTrial(now time.Time, service, part string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := partKey{service, part}
	p, ok := t.parts[key]
	if !ok || !p.held() || now.Before(p.hold.TrialDue) {
		return false
	}
	p.hold.Trials++
	p.hold.TrialDue = now.Add(min(maxTrial, firstTrial<<min(p.hold.Trials, 10)))
	t.partChanged(key)
	t.events = append(t.events, Event{Kind: TrialStarted, Hold: p.hold})
	return true
}

// Release frees a part that is held back and reports whether it was.
func (t *Tracker) Release(now time.Time, service, part string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parts[partKey{service, part}]
	if !ok || !p.held() {
		return false
	}
	t.releasePart(partKey{service, part}, p)
	return true
}

// release frees the parts of an answer that went on, if engines of its version had ended on
// them before or it was a trial.
func (t *Tracker) release(now time.Time, a Attempt) {
	for _, part := range a.Parts {
		key := partKey{a.Server.Service, part}
		p, ok := t.parts[key]
		if !ok || !p.held() {
			continue
		}
		if slices.Contains(p.hold.Builds, a.Server.Build) || !a.SentAt.Before(p.hold.Since) {
			t.releasePart(key, p)
		}
	}
	t.evaluate(now)
}

// releasePart frees a part. The crashes so far no longer count against it.
func (t *Tracker) releasePart(key partKey, p *partState) {
	p.epoch++
	p.sound = true
	t.partChanged(key)
	t.clearAll(key)
	t.events = append(t.events, Event{Kind: Released, Hold: p.hold})
}

func (t *Tracker) clearAll(key partKey) {
	for inc, c := range t.crashes {
		if s := c.suspects[key.part]; c.service == key.service && (s == waiting || s == begun) {
			c.suspects[key.part] = cleared
			t.crashChanged(inc)
		}
	}
}

// evaluate drops old evidence and holds parts back as long as there is a cause for it, if
// the evidence has changed or it is time to.
func (t *Tracker) evaluate(now time.Time) {
	if now.Before(t.evaluateAt) && (!t.dirty || now.Before(t.evaluatedAt.Add(evaluationPause))) {
		return
	}
	t.evaluatedAt, t.evaluateAt = now, now.Add(evaluationInterval)
	for inc, c := range t.crashes {
		if now.Sub(c.at) > evidenceRetention {
			delete(t.crashes, inc)
			delete(t.changedCrashes, inc)
		}
	}
	t.accuse()
	for t.holdNext(now) {
		t.accuse()
	}
	t.updateParts(now)
	t.dirty = false
}

// updateParts records how many crashes count against each part, and forgets the parts
// against which there is no evidence any more.
func (t *Tracker) updateParts(now time.Time) {
	for key, p := range t.parts {
		p.accusations = len(p.accused)
		if p.sound {
			p.accusations = len(spaced(p.accused))
		}
		switch {
		case p.held() && now.Sub(p.hold.TrialDue) > forgetAfter:
			t.events = append(t.events, Event{Kind: Forgotten, Hold: p.hold})
		case p.held() || p.involved:
			continue
		}
		delete(t.parts, key)
		delete(t.changedParts, key)
	}
}

// accuse sets the crashes that count against each part: those that no part which is held
// back explains. Parts whose answers had not begun count only if none that had begun is
// left.
func (t *Tracker) accuse() {
	for _, p := range t.parts {
		p.accused, p.involved = p.accused[:0], false
	}
	for _, c := range t.crashes {
		t.suspects = t.suspects[:0]
		level, explained := waiting, c.refuted
		for part, s := range c.suspects {
			p, ok := t.parts[partKey{c.service, part}]
			if !ok {
				continue
			}
			p.involved = true
			if s == cleared {
				continue
			}
			explained = explained || p.held()
			level = max(level, s)
			t.suspects = append(t.suspects, suspect{p, s})
		}
		for _, s := range t.suspects {
			if !explained && s.level == level {
				s.part.accused = append(s.part.accused, c)
			}
		}
	}
}

// candidate is a part that may be held back.
type candidate struct {
	key     partKey
	sound   bool
	crashes []*crash
	// share is the fraction of the latest requests that contain the part, and refused that
	// of the requests that would be refused if it were held back.
	share, refused float64
}

// weight is the number of crashes that the part explains beyond those at which it was only
// because it is common.
func (c candidate) weight() float64 { return float64(len(c.crashes)) * (1 - c.share) }

// compareCandidates orders the likely cause first: a part to which no answer ever went on,
// and among these the one that explains most.
func compareCandidates(a, b candidate) int {
	if a.sound != b.sound {
		if a.sound {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.part, b.key.part))
}

// holdNext holds the part back against which there is most evidence, if it suffices, and
// reports whether it did. What the part explains no longer counts against others.
func (t *Tracker) holdNext(now time.Time) bool {
	candidates := t.candidates()
	for i, c := range candidates {
		if len(c.crashes) < holdCrashes {
			continue
		}
		rival := func(o candidate) bool { return o.key.service == c.key.service && o.sound == c.sound }
		ambiguous := slices.ContainsFunc(candidates[:i], rival) || slices.ContainsFunc(candidates[i+1:], rival)
		if t.hold(now, c, ambiguous) {
			return true
		}
	}
	return false
}

// candidates returns the parts that would be held back after one more crash, or now, the
// likely causes first.
func (t *Tracker) candidates() []candidate {
	var out []candidate
	for key, p := range t.parts {
		if p.held() || len(p.accused) < holdCrashes-1 {
			continue
		}
		c := candidate{key: key, sound: p.sound, crashes: p.accused}
		if c.sound {
			c.crashes = spaced(c.crashes)
		}
		if len(c.crashes) < holdCrashes-1 {
			continue
		}
		if share, refused, n := t.share(key); n >= minShareRequests {
			c.share, c.refused = share, refused
		}
		out = append(out, c)
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

// hold holds a part back, unless it is too common or the evidence is too fresh.
func (t *Tracker) hold(now time.Time, c candidate, ambiguous bool) bool {
	slices.SortFunc(c.crashes, func(a, b *crash) int { return a.known.Compare(b.known) })
	wait := objectionTime
	if ambiguous {
		wait = ambiguityTime
	}
	if due := c.crashes[holdCrashes-1].known.Add(wait); now.Before(due) {
		if due.Before(t.evaluateAt) {
			t.evaluateAt = due
		}
		return false
	}
	p := t.parts[c.key]
	if c.refused > maxHeldShare {
		if !p.blockedLogged {
			p.blockedLogged = true
			t.events = append(t.events, Event{Kind: TooCommon, Hold: t.describe(now, c), Share: c.refused})
		}
		return false
	}
	p.epoch++
	p.hold = t.describe(now, c)
	t.partChanged(c.key)
	t.events = append(t.events, Event{Kind: Held, Hold: p.hold})
	t.dropOldestHolds()
	return true
}

// describe returns the hold of a part for which the crashes of a candidate speak.
func (t *Tracker) describe(now time.Time, c candidate) Hold {
	h := Hold{Service: c.key.service, Part: c.key.part, Crashes: len(c.crashes), Since: now, TrialDue: now.Add(firstTrial)}
	reporters := make(map[uint64]bool)
	for inc, known := range t.crashes {
		if !slices.Contains(c.crashes, known) {
			continue
		}
		h.Servers = append(h.Servers, inc.ID)
		if !slices.Contains(h.Builds, known.build) {
			h.Builds = append(h.Builds, known.build)
		}
		for r := range known.reporters {
			reporters[r] = true
		}
	}
	slices.Sort(h.Servers)
	slices.Sort(h.Builds)
	h.Instances = len(reporters)
	return h
}

func (t *Tracker) dropOldestHolds() {
	for {
		var first partKey
		n := 0
		for key, p := range t.parts {
			if !p.held() {
				continue
			}
			n++
			if n == 1 || p.hold.TrialDue.Before(t.parts[first].hold.TrialDue) {
				first = key
			}
		}
		if n <= maxHolds {
			return
		}
		t.events = append(t.events, Event{Kind: Forgotten, Hold: t.parts[first].hold})
		delete(t.parts, first)
		delete(t.changedParts, first)
		t.clearAll(first)
	}
}

// spaced returns crashes that are at least crashSpacing apart.
func spaced(crashes []*crash) []*crash {
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	var out []*crash
	for _, c := range crashes {
		if len(out) == 0 || c.at.Sub(out[len(out)-1].at) >= crashSpacing {
			out = append(out, c)
		}
	}
	return out
}

// Holds returns the parts that are held back, sorted by service and part.
func (t *Tracker) Holds() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Hold
	for _, p := range t.parts {
		if p.held() {
			out = append(out, p.hold)
		}
	}
	slices.SortFunc(out, func(a, b Hold) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
	})
	return out
}

// TakeEvents returns the events since the last call.
func (t *Tracker) TakeEvents() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.events
	t.events = nil
	return out
}

// Tick draws conclusions that are due, and forgets what is too old.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
}
