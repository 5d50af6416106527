package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilpath/core/fleet"
)

const (
	// maxSharedParts and maxIDBytes bound what is accepted from another instance.
	maxSharedParts = maxHolds + maxCrashes*maxCrashParts
	maxIDBytes     = 256

	// maxStateCrashes is how many crashes one message has, the latest first.
	maxStateCrashes = maxCrashes
)

type (
	// State is evidence as one instance sends it to another. Times are ages, since clocks
	// differ.
	State struct {
		Crashes []CrashState `json:"crashes,omitempty"`
		Parts   []PartState  `json:"parts,omitempty"`
	}

	// CrashState is the end of an engine, with the parts that were involved.
	CrashState struct {
		ID        string   `json:"id"`
		Born      int64    `json:"born,omitempty"`
		Service   string   `json:"service"`
		Build     string   `json:"build,omitempty"`
		AgeMs     int64    `json:"ageMs"`
		Refuted   bool     `json:"refuted,omitempty"`
		Waiting   []string `json:"waiting,omitempty"`
		Begun     []string `json:"begun,omitempty"`
		Cleared   []string `json:"cleared,omitempty"`
		Reporters []uint64 `json:"reporters,omitempty"`
	}

	// PartState is what is known of a part apart from single crashes.
	PartState struct {
		Service string `json:"service"`
		Part    string `json:"part"`
		Sound   bool   `json:"sound,omitempty"`
		Epoch   int64  `json:"epoch,omitempty"`
		// Hold is set if the part is held back.
		Hold *HoldState `json:"hold,omitempty"`
	}

	// HoldState is a Hold with ages in place of times.
	HoldState struct {
		Crashes   int      `json:"crashes"`
		Instances int      `json:"instances"`
		Servers   []string `json:"servers,omitempty"`
		Builds    []string `json:"builds,omitempty"`
		AgeMs     int64    `json:"ageMs"`
		TrialInMs int64    `json:"trialInMs"`
		Trials    int      `json:"trials,omitempty"`
	}
)

// Changed reports whether TakeChanges would return a change.
func (t *Tracker) Changed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.changedCrashes) > 0 || len(t.changedParts) > 0
}

// Active reports whether there is any evidence.
func (t *Tracker) Active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.crashes) > 0 || len(t.parts) > 0
}

// Whole returns all evidence that others may need.
func (t *Tracker) Whole(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now, func(fleet.Incarnation) bool { return true }, func(partKey) bool { return true })
}

// TakeChanges returns what has changed since the last call, and reports whether anything
// has.
func (t *Tracker) TakeChanges(now time.Time) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changedCrashes) == 0 && len(t.changedParts) == 0 {
		return State{}, false
	}
	s := t.state(now, func(inc fleet.Incarnation) bool { return t.changedCrashes[inc] }, func(k partKey) bool { return t.changedParts[k] })
	clear(t.changedCrashes)
	clear(t.changedParts)
	return s, true
}

func (t *Tracker) state(now time.Time, wantCrash func(fleet.Incarnation) bool, wantPart func(partKey) bool) State {
	var out State
	for inc, c := range t.crashes {
		if wantCrash(inc) {
			out.Crashes = append(out.Crashes, c.state(now, inc))
		}
	}
	slices.SortFunc(out.Crashes, func(a, b CrashState) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxStateCrashes)]
	for key, p := range t.parts {
		if wantPart(key) && (p.sound || p.epoch > 0) {
			out.Parts = append(out.Parts, p.state(now, key))
		}
	}
	return out
}

func (c *crash) state(now time.Time, inc fleet.Incarnation) CrashState {
	out := CrashState{
		ID: inc.ID, Born: inc.Born, Service: c.service, Build: c.build, AgeMs: now.Sub(c.at).Milliseconds(), Refuted: c.refuted,
		Reporters: slices.Sorted(maps.Keys(c.reporters)),
	}
	for part, s := range c.suspects {
		switch s {
		case waiting:
			out.Waiting = append(out.Waiting, part)
		case begun:
			out.Begun = append(out.Begun, part)
		case cleared:
			out.Cleared = append(out.Cleared, part)
		}
	}
	return out
}

func (p *partState) state(now time.Time, key partKey) PartState {
	out := PartState{Service: key.service, Part: key.part, Sound: p.sound, Epoch: p.epoch}
	if p.held() {
		out.Hold = &HoldState{
			Crashes: p.hold.Crashes, Instances: p.hold.Instances, Servers: p.hold.Servers, Builds: p.hold.Builds,
			AgeMs: now.Sub(p.hold.Since).Milliseconds(), TrialInMs: p.hold.TrialDue.Sub(now).Milliseconds(), Trials: p.hold.Trials,
		}
	}
	return out
}

// Digest returns a number that differs, but for collisions, between trackers that would
// draw different conclusions. It is 0 without evidence.
func (t *Tracker) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The sum does not depend on the order.
	sum := uint64(0)
	for inc, c := range t.crashes {
		if c.refuted {
			continue
		}
		for part, s := range c.suspects {
			if s != cleared {
				sum += xxhash.Sum64String(inc.ID + "\x00" + strconv.FormatInt(inc.Born, 10) + "\x00" + part + "\x00" + strconv.Itoa(int(s)))
			}
		}
	}
	for key, p := range t.parts {
		if p.epoch > 0 {
			sum += xxhash.Sum64String(key.service + "\x00" + key.part + "\x00" + strconv.FormatInt(p.epoch, 10) + "\x00" + strconv.Itoa(p.hold.Trials))
		}
	}
	return sum
}

// Merge adds what another instance sent. It returns an error and takes nothing over if
// that is not well-formed.
func (t *Tracker) Merge(now time.Time, s State) error {
	if err := s.validate(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range s.Crashes {
		if age := time.Duration(c.AgeMs) * time.Millisecond; age <= evidenceRetention {
			t.merge(fleet.Incarnation{ID: c.ID, Born: c.Born}, c.report(now))
		}
	}
	for _, p := range s.Parts {
		t.mergePart(now, p)
	}
	t.evaluate(now)
	return nil
}

func (s State) validate() error {
	if len(s.Crashes) > maxStateCrashes || len(s.Parts) > maxSharedParts {
		return fmt.Errorf("%d crashes and %d parts are too many", len(s.Crashes), len(s.Parts))
	}
	for _, c := range s.Crashes {
		if c.ID == "" || c.Service == "" || len(c.ID) > maxIDBytes || c.AgeMs < 0 || len(c.Waiting)+len(c.Begun)+len(c.Cleared) > maxCrashParts || len(c.Reporters) > maxCrashParts {
			return fmt.Errorf("crash of server %.40q of service %.40q is invalid", c.ID, c.Service)
		}
		for _, part := range slices.Concat(c.Waiting, c.Begun, c.Cleared) {
			if part == "" || len(part) > maxIDBytes {
				return fmt.Errorf("crash of server %.40q has an invalid part %.40q", c.ID, part)
			}
		}
	}
	for _, p := range s.Parts {
		if p.Service == "" || p.Part == "" || len(p.Part) > maxIDBytes || p.Epoch < 0 || (p.Hold != nil) != (p.Epoch%2 == 1) {
			return fmt.Errorf("part %.40q of service %.40q is invalid", p.Part, p.Service)
		}
		if h := p.Hold; h != nil && (h.Crashes < holdCrashes || len(h.Servers) > maxCrashes || len(h.Builds) > maxCrashes || h.AgeMs < 0 || h.Trials < 0 || h.TrialInMs > maxTrial.Milliseconds()) {
			return fmt.Errorf("hold of part %.40q of service %.40q is invalid", p.Part, p.Service)
		}
	}
	return nil
}

func (c CrashState) report(now time.Time) *crash {
	out := &crash{
		service: c.Service, build: c.Build, at: now.Add(-time.Duration(c.AgeMs) * time.Millisecond), known: now, refuted: c.Refuted,
		suspects: make(map[string]suspicion), reporters: make(map[uint64]bool),
	}
	for level, parts := range map[suspicion][]string{waiting: c.Waiting, begun: c.Begun, cleared: c.Cleared} {
		for _, part := range parts {
			out.suspects[part] = max(out.suspects[part], level)
		}
	}
	for _, r := range c.Reporters {
		out.reporters[r] = true
	}
	return out
}

// mergePart takes over what another instance knows of a part. A part is released if answers
// to it have gone on here since it was held back.
func (t *Tracker) mergePart(now time.Time, s PartState) {
	key := partKey{s.Service, s.Part}
	p, ok := t.parts[key]
	if !ok {
		if s.Hold == nil {
			// Without a crash here it does not matter yet.
			return
		}
		p = &partState{}
		t.parts[key] = p
	}
	if s.Sound && !p.sound {
		p.sound = true
		t.partChanged(key)
	}
	switch {
	case s.Epoch > p.epoch:
		t.mergeEpoch(now, key, p, s)
	case s.Epoch == p.epoch && s.Hold != nil && s.Hold.Trials > p.hold.Trials:
		p.hold.Trials, p.hold.TrialDue = s.Hold.Trials, now.Add(time.Duration(s.Hold.TrialInMs)*time.Millisecond)
		t.partChanged(key)
	}
}

func (t *Tracker) mergeEpoch(now time.Time, key partKey, p *partState, s PartState) {
	wasHeld := p.held()
	p.epoch = s.Epoch
	t.partChanged(key)
	if s.Hold == nil {
		t.clearAll(key)
		if wasHeld {
			t.events = append(t.events, Event{Kind: Released, Hold: p.hold})
		}
		return
	}
	p.hold = Hold{
		Service: key.service, Part: key.part, Crashes: s.Hold.Crashes, Instances: s.Hold.Instances, Servers: s.Hold.Servers, Builds: s.Hold.Builds,
		Since: now.Add(-time.Duration(s.Hold.AgeMs) * time.Millisecond), TrialDue: now.Add(time.Duration(s.Hold.TrialInMs) * time.Millisecond), Trials: s.Hold.Trials,
	}
	for _, build := range s.Hold.Builds {
		if t.lastProgress(key.service, build, key.part).After(p.hold.Since) {
			t.releasePart(key, p)
			return
		}
	}
	t.events = append(t.events, Event{Kind: Held, Hold: p.hold})
	t.dropOldestHolds()
}
