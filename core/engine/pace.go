package engine

import (
	"math"
	"time"
)

const (
	// What an engine of pace 1 is assumed to do: it reads tokensPerMs prompt tokens in a
	// millisecond, a decoding step takes stepMs, and a token to be generated occupies it
	// for generatingMs, since it generates tokens of many requests in one step. Only the
	// ratios of these matter: the learned paces contain how fast the engines are.
	tokensPerMs  = 50.0
	stepMs       = 6.0
	generatingMs = 0.01

	// An engine's pace is the sum of the times of its work divided by the sum of the
	// work, each decaying with shortDecay and longDecay. The first follows an engine that
	// is slow for 600 ms, the second tells a slow kind of engine from others.
	shortDecay = 250 * time.Millisecond
	longDecay  = 20 * time.Second
	usualDecay = 60 * time.Second

	// Before any observation the pace is the usual one, and the short-term pace is the
	// long-term one. They count as that much work, in milliseconds at pace 1.
	shortPrior = 200.0
	longPrior  = 150.0

	// minPace and maxPace bound the pace relative to the usual one, so that absurd
	// observations neither attract all requests nor keep an engine from getting any.
	minPace = 0.25
	maxPace = 8.0

	// minUsualPace and maxUsualPace bound the usual pace. Since observations count relative to
	// it, one that absurd observations had moved further would take minutes to recover.
	minUsualPace = 0.02
	maxUsualPace = 50.0

	// maxObserved is the longest observed time that is believed.
	maxObserved = 5 * time.Minute

	// MinEvents is the number of intervals between events from which their mean is used.
	MinEvents = 3
)

type (
	// decayingRatio is the sum of times divided by the sum of work.
	decayingRatio struct{ time, work float64 }

	// enginePace is the pace of an engine.
	enginePace struct {
		short, long decayingRatio
		updated     time.Time
	}

	// meanPace is the mean of all engines.
	meanPace struct {
		ratio   decayingRatio
		updated time.Time
	}
)

// Observation is how fast an engine serves a request.
type Observation struct {
	RequestID, Server string
	// FirstEvent is the time from the send to the first event, or 0.
	FirstEvent time.Duration
	// Interval is the mean time between two events, or 0, and Events their number.
	Interval time.Duration
	Events   int
}

// Observe learns from how fast an engine serves a request. It reports whether the
// observation was used: it is not if the request was not placed here, if it was reported
// before, and if its values make no sense.
func (p *Placer) Observe(now time.Time, o Observation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byID[o.Server]
	if !ok {
		return false
	}
	used := o.FirstEvent != 0 && p.observeFirstEvent(now, e, o)
	used = (o.Interval != 0 || o.Events != 0) && p.observeInterval(now, e, o) || used
	if used {
		p.refresh(now, e)
	}
	return used
}

// observeFirstEvent learns from the time to the first event. The engine reads one prompt
// after the other: it has read this one since the request was sent, or since the first event
// of the previous one if that was later. Where it reads several at once, the sums of times
// and of work are right nevertheless.
func (p *Placer) observeFirstEvent(now time.Time, e *engineState, o Observation) bool {
	placed, ok := p.placements[o.RequestID]
	if !ok || placed.engine != e || placed.begun || o.FirstEvent < 0 || o.FirstEvent > maxObserved {
		return false
	}
	began := now.Add(-o.FirstEvent)
	if began.Before(placed.placedAt) {
		began = placed.placedAt
	}
	p.sendDelay.add(inMilliseconds(began.Sub(placed.placedAt)))
	if began.Before(e.lastFirstEvent) {
		began = e.lastFirstEvent
	}
	took, work := inMilliseconds(now.Sub(began)), placed.unread/tokensPerMs+stepMs
	e.lastFirstEvent = now
	placed.begun = true
	e.reading -= placed.unread
	p.placements[o.RequestID] = placed
	p.learn(now, e, took, work)
	return true
}

// observeInterval learns from the mean interval between events. It says nothing of the
// moment, since it is the mean over the whole answer.
func (p *Placer) observeInterval(now time.Time, e *engineState, o Observation) bool {
	if o.Events < MinEvents || o.Interval <= 0 || o.Interval > maxObserved/time.Duration(min(o.Events, 1<<20)) {
		return false
	}
	interval := inMilliseconds(o.Interval)
	usual := p.usualPace()
	pace := e.pace.at(now, usual)
	p.usualInterval.add(now, interval*usual/pace, 1)
	ratio := interval / p.usualInterval.value()
	// All tokens of an answer are generated beside others, so it tells less than its length.
	work := stepMs * min(float64(o.Events), 20)
	e.pace.decay(now)
	e.pace.long.add(usual*clamp(ratio)*work, work)
	return true
}

// learn records that an engine took some time for work that takes the given time at pace 1.
func (p *Placer) learn(now time.Time, e *engineState, took, work float64) {
	usual := p.usualPace()
	took = min(took, maxPace*usual*work)
	e.pace.decay(now)
	e.pace.short.add(took, work)
	e.pace.long.add(took, work)
	p.usual.add(now, took, work)
}

func (r *decayingRatio) add(time, work float64) { r.time, r.work = r.time+time, r.work+work }

func (r *decayingRatio) scale(factor float64) { r.time, r.work = r.time*factor, r.work*factor }

// value returns the ratio, where prior counts as an amount of work.
func (r decayingRatio) value(prior, amount float64) float64 {
	return (r.time + prior*amount) / (r.work + amount)
}

func (e *enginePace) decay(now time.Time) {
	if elapsed := now.Sub(e.updated); elapsed > 0 {
		e.short.scale(decay(elapsed, shortDecay))
		e.long.scale(decay(elapsed, longDecay))
		e.updated = now
	}
}

// at returns the pace of an engine, where usual is that of all engines.
func (e *enginePace) at(now time.Time, usual float64) float64 {
	if e.long.work == 0 {
		return usual
	}
	long := e.long.value(usual, longPrior)
	short := e.short
	if elapsed := now.Sub(e.updated); elapsed > 0 {
		short.scale(decay(elapsed, shortDecay))
	}
	return min(max(short.value(long, shortPrior), minPace*usual), maxPace*usual)
}

func (m *meanPace) add(now time.Time, time, work float64) {
	if elapsed := now.Sub(m.updated); elapsed > 0 {
		m.ratio.scale(decay(elapsed, usualDecay))
		m.updated = now
	}
	m.ratio.add(time, work)
}

// value returns the mean, or 1 if nothing was observed.
func (m *meanPace) value() float64 {
	if m.ratio.work == 0 || m.ratio.time == 0 {
		return 1
	}
	return m.ratio.time / m.ratio.work
}

// usualPace returns the mean pace of all engines.
func (p *Placer) usualPace() float64 { return min(max(p.usual.value(), minUsualPace), maxUsualPace) }

func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(constant))
}

func clamp(ratio float64) float64 { return min(max(ratio, minPace), maxPace) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
