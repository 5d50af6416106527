package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilpath/core/fleet"
)

const (
	simStep = 10 * time.Millisecond

	// simContact is the time after the fifth crash on a part from which next to no request
	// with it may be sent, and simMaxLate how many may.
	simContact = 3 * time.Second
	simMaxLate = 3

	simService = "llm"
)

type (
	// simulation plays instances with a tracker each before engines that crash on parts of
	// prompts, or by themselves, in virtual time.
	simulation struct {
		rng      *rand.Rand
		now      time.Time
		trackers []*Tracker
		// cutOff are the instances that exchange nothing with others.
		cutOff  map[int]bool
		engines []*simEngine
		bad     []string
		// crashOnAnything is set if engines crash on any prompt.
		crashOnAnything bool
		// downtime is that of a crashed engine.
		downtime time.Duration
		// delivery is the time after which a change reaches the instances to which it is
		// pushed, and fanout their number.
		delivery time.Duration
		fanout   int
		queue    []simMessage
		requests []*simRequest

		crashes map[string][]time.Time
		// sends are the times at which requests with a bad part were sent, by part.
		sends                   map[string][]time.Time
		served, refused, failed int
		// refusedSound counts refusals of requests without a bad part.
		refusedSound int
		// neverSent counts those that were refused before their first send.
		neverSent       int
		messages, bytes int
		steps           int
	}

	simEngine struct {
		server    fleet.Server
		downUntil time.Time
	}

	simRequest struct {
		instance int
		parts    []string
		bad      []string
		engine   *simEngine
		server   fleet.Server
		sentAt   time.Time
		begunAt  time.Time
		endsAt   time.Time
		sends    int
		wentOn   bool
		answered bool
	}

	simMessage struct {
		at   time.Time
		to   int
		data []byte
	}
)

func newSimulation(seed uint64, instances, engines int, bad ...string) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), cutOff: make(map[int]bool), bad: bad, downtime: 2500 * time.Millisecond,
		delivery: 30 * time.Millisecond, fanout: 4, crashes: make(map[string][]time.Time), sends: make(map[string][]time.Time),
	}
	for i := range instances {
		s.trackers = append(s.trackers, New(fmt.Sprint("instance-", i)))
	}
	for i := range engines {
		s.engines = append(s.engines, &simEngine{server: fleet.Server{ID: fmt.Sprint("e-", i), Born: 1, Service: simService, Build: "v1"}})
	}
	return s
}

// arrive sends a request with the given parts to a random instance.
func (s *simulation) arrive(parts ...string) {
	r := &simRequest{instance: s.rng.IntN(len(s.trackers)), parts: parts}
	for _, p := range parts {
		if slices.Contains(s.bad, p) {
			r.bad = append(r.bad, p)
		}
	}
	s.trackers[r.instance].Arrived(simService, parts)
	s.send(r)
}

func (s *simulation) send(r *simRequest) {
	t := s.trackers[r.instance]
	if v := t.Check(s.now, simService, r.parts, ""); v.Standing >= TrialDue || r.sends > 0 && v.Standing != Unsuspected {
		s.refused++
		if r.sends == 0 {
			s.neverSent++
		}
		if len(r.bad) == 0 {
			s.refusedSound++
		}
		return
	}
	var up []*simEngine
	for _, e := range s.engines {
		if !s.now.Before(e.downUntil) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		s.failed++
		return
	}
	for _, p := range r.bad {
		s.sends[p] = append(s.sends[p], s.now)
	}
	r.sends++
	r.engine = up[s.rng.IntN(len(up))]
	r.server, r.sentAt, r.wentOn, r.answered = r.engine.server, s.now, false, false
	r.begunAt = s.now.Add(20*time.Millisecond + s.upTo(60*time.Millisecond))
	r.endsAt = r.begunAt.Add(200*time.Millisecond + s.upTo(time.Second))
	s.requests = append(s.requests, r)
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// step advances the time by one step.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	s.deliver()
	for _, r := range slices.Clone(s.requests) {
		s.advance(r)
	}
	s.steps++
	for i, t := range s.trackers {
		if s.steps%10 == 0 {
			t.Tick(s.now)
		}
		if change, ok := t.TakeChanges(s.now); ok && !s.cutOff[i] {
			s.push(change)
		}
	}
}

func (s *simulation) advance(r *simRequest) {
	if !slices.Contains(s.requests, r) || s.now.Before(r.begunAt) {
		return
	}
	t := s.trackers[r.instance]
	a := s.attempt(r)
	if !r.answered {
		r.answered = true
		t.Answered(s.now, r.server.Incarnation(), r.sentAt)
		if len(r.bad) > 0 || s.crashOnAnything {
			s.crash(r.engine, r.bad)
			return
		}
	}
	if !r.wentOn && s.now.Sub(r.begunAt) >= 500*time.Millisecond {
		r.wentOn = true
		t.WentOn(s.now, a)
	}
	if !s.now.Before(r.endsAt) {
		t.WentOn(s.now, a)
		s.served++
		s.remove(r)
	}
}

func (s *simulation) attempt(r *simRequest) Attempt {
	return Attempt{Server: r.server, Parts: r.parts, SentAt: r.sentAt, Begun: r.answered}
}

func (s *simulation) remove(r *simRequest) {
	s.requests = slices.DeleteFunc(s.requests, func(o *simRequest) bool { return o == r })
}

// crash ends an engine because of the given parts, or by itself if there are none.
func (s *simulation) crash(e *simEngine, parts []string) {
	for _, p := range parts {
		s.crashes[p] = append(s.crashes[p], s.now)
	}
	s.breakAnswers(e)
	e.downUntil = s.now.Add(s.downtime)
	e.server.Born++
}

// breakAnswers breaks off all answers of an engine.
func (s *simulation) breakAnswers(e *simEngine) {
	var broken []*simRequest
	for _, r := range s.requests {
		if r.engine == e {
			broken = append(broken, r)
		}
	}
	for _, r := range broken {
		s.remove(r)
		if !r.wentOn {
			s.trackers[r.instance].Broke(s.now, s.attempt(r))
		}
	}
	e.downUntil = s.now.Add(simStep)
	for _, r := range broken {
		if r.sends < 3 {
			s.send(r)
		} else {
			s.failed++
		}
	}
}

func (s *simulation) push(change State) {
	data, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	for range min(s.fanout, len(s.trackers)-1) {
		s.messages++
		s.bytes += len(data)
		s.queue = append(s.queue, simMessage{s.now.Add(s.delivery), s.rng.IntN(len(s.trackers)), data})
	}
}

func (s *simulation) deliver() {
	var later []simMessage
	for _, m := range s.queue {
		switch {
		case s.now.Before(m.at):
			later = append(later, m)
		case !s.cutOff[m.to]:
			s.merge(m.to, m.data)
		}
	}
	s.queue = later
	// Each instance compares its evidence with that of another one about once a second.
	for i, t := range s.trackers {
		other := s.rng.IntN(len(s.trackers))
		if s.rng.Int64N(int64(time.Second/simStep)) == 0 && !s.cutOff[i] && !s.cutOff[other] && t.Digest() != s.trackers[other].Digest() {
			for from, to := range map[int]int{i: other, other: i} {
				data, err := json.Marshal(s.trackers[from].Whole(s.now))
				if err != nil {
					panic(err)
				}
				s.merge(to, data)
			}
		}
	}
}

func (s *simulation) merge(to int, data []byte) {
	var state State
	if err := json.Unmarshal(data, &state); err != nil {
		panic(err)
	}
	if err := s.trackers[to].Merge(s.now, state); err != nil {
		panic(err)
	}
}

// run plays d, in which each of the functions is called at random with its rate per
// second.
func (s *simulation) run(d time.Duration, rates map[string]float64, arrivals map[string]func()) {
	names := make([]string, 0, len(arrivals))
	for name := range arrivals {
		names = append(names, name)
	}
	slices.Sort(names)
	for end := s.now.Add(d); s.now.Before(end); {
		for _, name := range names {
			for range s.count(rates[name]) {
				arrivals[name]()
			}
		}
		s.step()
	}
}

// count draws how many of the arrivals with a rate per second fall into a step.
func (s *simulation) count(rate float64) int {
	mean := rate * simStep.Seconds()
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// checkBound fails the test if requests with a bad part were sent too long after the fifth
// crash on it.
func (s *simulation) checkBound(t *testing.T) {
	t.Helper()
	for _, p := range s.bad {
		if len(s.crashes[p]) < 5 {
			continue
		}
		late := 0
		for _, at := range s.sends[p] {
			if at.After(s.crashes[p][4].Add(simContact)) {
				late++
			}
		}
		if late > simMaxLate {
			t.Errorf("part %s: %d sends later than %v after the fifth of %d crashes, want at most %d", p, late, simContact, len(s.crashes[p]), simMaxLate)
		}
	}
}

// heldParts returns the parts that any instance holds back.
func (s *simulation) heldParts() []string {
	var out []string
	for _, t := range s.trackers {
		for _, h := range t.Holds() {
			if !slices.Contains(out, h.Part) {
				out = append(out, h.Part)
			}
		}
	}
	slices.Sort(out)
	return out
}

// sound returns the parts of a sound prompt: one of all, one of an organisation and one of
// a subject, of which there are many.
func (s *simulation) sound(subjects int) []string {
	return []string{"base", fmt.Sprint("org", s.rng.IntN(5)), fmt.Sprint("subject", s.rng.IntN(subjects))}
}

// with returns parts with others put in at random places.
func (s *simulation) with(parts []string, more ...string) []string {
	for _, p := range more {
		parts = slices.Insert(parts, s.rng.IntN(len(parts)+1), p)
	}
	return parts
}
