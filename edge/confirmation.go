package edge

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"chervilpath/core/confirm"
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
	return !c.confirmed.config.IsZero() && c.age(c.confirmed.config) < c.propagationTime(freshFraction)
}

// watchTime returns how long the store may hold a watch: well below the propagation
// time, so that a store that does not answer is noticed within it, and below the time
// without an answer that counts as an outage.
func (c *clusterState) watchTime() time.Duration {
	outageAfter := outageHeartbeats * c.instance.cfg.Load().Bounds().HeartbeatInterval
	return min(c.propagationTime(watchFraction), time.Duration(watchOutageFraction*float64(outageAfter)))
}

// untilConfirmationDue returns how long the next watch of a kind of object may last, so that
// the kind is confirmed again watchTime after its last confirmation: a watch that ends with a
// change confirms only what held when it was sent.
func (c *clusterState) untilConfirmationDue(of func(confirmations) confirm.Confirmation) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.watchTime()
	shortest := time.Duration(minWatchFraction * float64(longest))
	// The store counts whole milliseconds.
	return min(longest, max(shortest, longest-c.age(of(c.confirmed)))).Truncate(time.Millisecond)
}

// confirmations are the store's confirmations of what is known of each kind of object. Zero
// stands for none, or for no news.
type confirmations struct {
	config, servers, evacuations confirm.Confirmation
}

// byStore returns a confirmation that the store itself gave to this instance at a bootTime.
func (c *clusterState) byStore(at time.Time) confirm.Confirmation {
	return confirm.Confirmation{At: at, Origin: c.instance.name}
}

// recordConfirmations records confirmations of what is known, unless they are older than
// those that are known. from is the source, for the log.
func (c *clusterState) recordConfirmations(from string, news confirmations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.confirmation()
	for _, kind := range []struct {
		new    confirm.Confirmation
		latest *confirm.Confirmation
	}{{news.config, &c.confirmed.config}, {news.servers, &c.confirmed.servers}, {news.evacuations, &c.confirmed.evacuations}} {
		if !kind.new.IsZero() {
			c.view.StoreAnswered(time.Now().Add(-c.age(kind.new)))
		}
		if kind.new.At.After(kind.latest.At) {
			*kind.latest = kind.new
		}
	}
	c.logServerEvents(from)
	if c.confirmation().At.After(old.At) {
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

// confirmation returns the store's last confirmation of all of the configuration, the servers
// and, where they are followed, the evacuations. The caller holds mu.
func (c *clusterState) confirmation() confirm.Confirmation {
	if c.followsEvacuations {
		return confirm.Oldest(c.confirmed.config, c.confirmed.servers, c.confirmed.evacuations)
	}
	return confirm.Oldest(c.confirmed.config, c.confirmed.servers)
}

// lastConfirmation is confirmation for callers that do not hold mu.
func (c *clusterState) lastConfirmation() confirm.Confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmation()
}

// confirmationAge returns the time since the last confirmation, or math.MaxInt64 if the
// store never confirmed everything.
func (c *clusterState) confirmationAge() time.Duration {
	last := c.lastConfirmation()
	if last.IsZero() {
		return math.MaxInt64
	}
	return c.age(last)
}

// age returns the time since a confirmation, also that for which the machine was suspended.
func (c *clusterState) age(of confirm.Confirmation) time.Duration {
	return c.instance.bootTime().Sub(of.At)
}

// confirmationFields describes a confirmation in the log.
func (c *clusterState) confirmationFields(of confirm.Confirmation) []zap.Field {
	if of.IsZero() {
		return nil
	}
	return []zap.Field{zap.Int64("confirmedAgoMs", c.age(of).Milliseconds()), zap.String("origin", of.Origin), zap.Int("hops", of.Hops)}
}

// logSource logs from which peer changes come from now on, and the last confirmation.
func (c *clusterState) logSource(peer string) {
	fields := append([]zap.Field{zap.String("peer", peer)}, c.confirmationFields(c.lastConfirmation())...)
	if t := c.table(); t != nil {
		fields = append(fields, zap.Int64("version", t.Version()))
	}
	c.instance.log.Info("changes come from another peer", fields...)
}

// registerMetrics registers the gauges that show the last confirmation.
func (c *clusterState) registerMetrics(r *prometheus.Registry) {
	r.MustRegister(
		prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "chervilpath_confirmation_age_seconds", Help: "Time since the store confirmed what this instance knows, through any instance, or +Inf if it never did."},
			func() float64 {
				if age := c.confirmationAge(); age < math.MaxInt64 {
					return age.Seconds()
				}
				return math.Inf(1)
			},
		),
		prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "chervilpath_confirmation_hops", Help: "Number of instances that passed the last confirmation by the store on, 0 at an instance that the store answered itself."},
			func() float64 { return float64(c.lastConfirmation().Hops) },
		),
	)
}

// storeAnswered records that the store answered this instance now.
func (c *clusterState) storeAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.StoreAnswered(time.Now())
	c.logServerEvents(sourceStore)
}
