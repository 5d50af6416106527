package edge

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/engine"
	"chervilpath/io/peer"
)

// maxReports is how many reports of observations may be on their way to other instances at
// a time. Further ones are dropped: the next ones tell the same, and while an instance is that
// busy, the settlements of its placements must not wait for processor time behind them.
const maxReports = 4

// recordChoice logs why this instance chose an engine for a request.
func (d *delegator) recordChoice(service, requestID string, c engine.Choice) {
	d.instance.metrics.choices.WithLabelValues(string(c.Reason)).Inc()
	if c.Server != "" {
		d.instance.metrics.expectedWait.Observe(c.Wait.Seconds())
	}
	outcome := fmt.Sprintf("%s: expected wait of %d ms, pace %.2f of usually %.2f, keeps %d of %d tokens", c.Reason, c.Wait.Milliseconds(), c.Pace, c.UsualPace, c.KeptTokens, c.PromptTokens)
	d.instance.log.Info("engine chosen", zap.String("requestId", requestID), zap.String("service", service), zap.String("server", c.Server), zap.String("outcome", outcome),
		zap.String("reason", string(c.Reason)), zap.Int64("expectedWaitMs", c.Wait.Milliseconds()), zap.Int64("expectedFirstEventMs", c.FirstEvent.Milliseconds()),
		zap.Float64("pace", c.Pace), zap.Float64("usualPace", c.UsualPace), zap.Int("keptTokens", c.KeptTokens), zap.Int("promptTokens", c.PromptTokens), zap.Int("requests", c.Requests))
}

// observe reports how fast an engine serves a request to the instance that placed it. It
// does not wait for an answer.
func (d *delegator) observe(service string, o engine.Observation) {
	address := d.placedBy.find(o.RequestID)
	if address == "" {
		d.observeLocally(service, o)
		return
	}
	select {
	case d.reports <- struct{}{}:
	default:
		d.instance.metrics.observations.WithLabelValues("dropped").Inc()
		return
	}
	go func() {
		defer func() { <-d.reports }()
		report := peer.Observation{RequestID: o.RequestID, Server: o.Server, FirstEvent: o.FirstEvent, EventInterval: o.Interval, Events: o.Events}
		if err := d.instance.peers.Observe(d.instance.loopCtx, address, service, report); err != nil {
			d.instance.metrics.observations.WithLabelValues("lost").Inc()
			return
		}
		d.instance.metrics.observations.WithLabelValues("sent").Inc()
	}()
}

// observeForPeer records what another instance observed of an engine that this instance chose.
func (d *delegator) observeForPeer(service string, o peer.Observation) {
	d.observeLocally(service, engine.Observation{RequestID: o.RequestID, Server: o.Server, FirstEvent: o.FirstEvent, Interval: o.EventInterval, Events: o.Events})
}

func (d *delegator) observeLocally(service string, o engine.Observation) {
	d.mu.Lock()
	placer, ok := d.placers[service]
	d.mu.Unlock()
	result := "unused"
	if ok && placer.Observe(time.Now(), o) {
		result = "used"
	}
	d.instance.metrics.observations.WithLabelValues(result).Inc()
}
