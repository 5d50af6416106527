package fleet

import "time"

// recoveryGrace is how long after an outage of the store a server whose entry
// is missing is still treated as present, so that it can write its entry
// again. The protocol specifies about two seconds.
const recoveryGrace = 2200 * time.Millisecond

// Period is a span of time.
type Period struct {
	From, To time.Time
}

// StoreAnswered records that the store answered some instance at the given time.
func (v *View) StoreAnswered(at time.Time) { v.StoreAnsweredIn(Period{From: at, To: at}) }

// StoreAnsweredIn records that the store answered some instance or other throughout a
// period. If it answered none between the latest period that is known and this one for
// the length of an outage, the grace period starts. Entries do not expire because of a
// failure that only some instances see, so what another instance knows may show later
// that there was no outage.
func (v *View) StoreAnsweredIn(p Period) {
	v.cold.latest = latest(v.cold.latest, p.To)
	switch {
	case v.answers.To.IsZero():
		v.answers = p
	case p.From.Sub(v.answers.To) > v.outageAfter:
		v.events = append(v.events, Event{Kind: OutageEnded, Gap: p.From.Sub(v.answers.To)})
		v.lastBefore, v.answers = v.answers.To, p
	case v.answers.From.Sub(p.To) > v.outageAfter:
		// The period is older than the latest one and apart from it.
		v.lastBefore = latest(v.lastBefore, p.To)
	default:
		v.answers = Period{From: earliest(v.answers.From, p.From), To: latest(v.answers.To, p.To)}
	}
	switch {
	case v.lastBefore.IsZero():
	case v.answers.From.Sub(v.lastBefore) <= v.outageAfter:
		// There was no outage after all.
		v.lastBefore, v.graceUntil = time.Time{}, time.Time{}
	default:
		v.graceUntil = v.answers.From.Add(recoveryGrace)
	}
}

// Answers returns the latest period in which the store is known to have answered,
// or the zero Period if there is none.
func (v *View) Answers() Period { return v.answers }

// answersAreOld reports whether it is unknown if the store answers.
func (v *View) answersAreOld(now time.Time) bool { return now.Sub(v.answers.To) > v.outageAfter }

// inGrace reports whether missing entries may still reappear after an outage.
func (v *View) inGrace(now time.Time) bool { return now.Before(v.graceUntil) }

// Expire removes the servers that are still missing when the grace period after
// an outage has ended, and returns their IDs. It removes none during another
// outage.
func (v *View) Expire(now time.Time) []string {
	if v.inGrace(now) || v.answersAreOld(now) {
		return nil
	}
	var removed []string
	for id := range v.missing {
		v.forget(id)
		removed = append(removed, id)
	}
	return removed
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
