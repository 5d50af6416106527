package edge

import (
	"math"
	"time"

	"chervilpath/core/fleet"
)

// freshFraction is how long the configuration counts as fresh after the store
// confirmed it, as a fraction of the propagation time. It is below 1, so that
// no request is denied because of a version that is no longer in force.
const freshFraction = 0.9

// configFresh reports whether the store confirmed the configuration recently.
func (c *clusterState) configFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed.config.IsZero() && time.Since(c.confirmed.config) < c.propagationTime(freshFraction)
}

// watchTime returns how long the store may hold a watch: well below the propagation
// time, so that a store that does not answer is noticed within it, and below the time
// without an answer that counts as an outage.
func (c *clusterState) watchTime() time.Duration {
	outageAfter := outageHeartbeats * c.instance.cfg.Load().Bounds().HeartbeatInterval
	return min(c.propagationTime(watchFraction), time.Duration(watchOutageFraction*float64(outageAfter)))
}

// confirmations are when the store confirmed what is known of each kind of object. Zero stands
// for never, or for no news.
type confirmations struct {
	config, servers, evacuations time.Time
}

// recordConfirmations records when the store confirmed what is known. from is the source,
// for the log.
func (c *clusterState) recordConfirmations(from string, at confirmations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.confirmedAt()
	for _, confirmation := range []struct {
		at     time.Time
		latest *time.Time
	}{{at.config, &c.confirmed.config}, {at.servers, &c.confirmed.servers}, {at.evacuations, &c.confirmed.evacuations}} {
		if !confirmation.at.IsZero() {
			c.view.StoreAnswered(confirmation.at)
		}
		if confirmation.at.After(*confirmation.latest) {
			*confirmation.latest = confirmation.at
		}
	}
	c.logServerEvents(from)
	if c.confirmedAt().After(old) {
		c.notifyWaiters()
	}
}

// recordAnswers records the period in which the store answered some instance, as
// another one knows it.
func (c *clusterState) recordAnswers(from string, answers fleet.Period) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.StoreAnsweredIn(answers)
	c.logServerEvents(from)
}

// confirmedAt returns when the store last confirmed all of the configuration, the servers
// and, where they are followed, the evacuations, or the zero time if it never did. The caller
// holds mu.
func (c *clusterState) confirmedAt() time.Time {
	at := c.confirmed.config
	if c.confirmed.servers.Before(at) {
		at = c.confirmed.servers
	}
	if c.followsEvacuations && c.confirmed.evacuations.Before(at) {
		at = c.confirmed.evacuations
	}
	return at
}

// confirmationAge returns the time since confirmedAt, or math.MaxInt64 if the store never
// confirmed everything.
func (c *clusterState) confirmationAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.confirmedAt()
	if at.IsZero() {
		return math.MaxInt64
	}
	return time.Since(at)
}

// storeAnswered records that the store answered this instance now.
func (c *clusterState) storeAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.StoreAnswered(time.Now())
	c.logServerEvents(sourceStore)
}
