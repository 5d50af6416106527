package edge

import (
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/confirm"
	"chervilpath/core/delta"
	"chervilpath/core/fleet"
	"chervilpath/io/peer"
)

// The kinds of changes that a peer sends, in the log and in metrics.
const (
	changeConfig      = "configuration"
	changeDifference  = "difference"
	changeServers     = "servers"
	changeEvacuations = "evacuations"
)

// applyReply applies the reply of a peer to a Follow request that was sent at a bootTime. The
// reply's confirmation holds for those kinds of objects alone of which this instance has
// what the peer has.
func (c *clusterState) applyReply(from string, sentAt time.Time, reply peer.FollowReply) {
	now := c.instance.bootTime()
	asOf := confirm.AsOf(sentAt, reply.Held, now)
	if reply.AnswersFromAge > 0 {
		// Before the changes, which may look like the end of an outage without that.
		arrivedAt := time.Now()
		c.recordAnswers(from, fleet.Period{From: arrivedAt.Add(-reply.AnswersFromAge), To: arrivedAt.Add(-reply.AnswersToAge - now.Sub(asOf))})
	}
	hasConfig := c.takeConfig(from, reply)
	hasEvacuations := !c.followsEvacuations || len(reply.Evacuations) == 0 || c.offerEncodedEvacuations(reply.Evacuations, from)
	hasServers := c.takeServers(from, reply)
	if !reply.Confirmed {
		return
	}
	var news confirmations
	received := reply.Confirmation.Received(asOf)
	if hasConfig {
		news.config = received
	}
	if hasEvacuations {
		news.evacuations = received
	}
	if hasServers {
		news.servers = received
	}
	c.recordConfirmations(from, news)
}

// takeConfig puts the configuration of a reply in force if it is newer, and reports whether
// this instance has a version then that is not older than the peer's.
func (c *clusterState) takeConfig(from string, reply peer.FollowReply) bool {
	kind, err := changeConfig, error(nil)
	var spec []byte
	switch {
	case len(reply.Configuration) > 0:
		spec, err = peer.Decompress(reply.Configuration, maxConfigBytes)
	case len(reply.ConfigurationDelta) > 0:
		kind = changeDifference
		if spec, err = c.applyConfigDelta(reply.ConfigurationDelta); err == nil && spec == nil {
			return true
		}
	default:
		return true
	}
	if err != nil {
		c.logRefused(kind, from, err)
		return false
	}
	return c.offerConfig(spec, from)
}

// applyConfigDelta applies a compressed difference to the configuration in force. It returns
// nil if what the difference yields is known already: several peers may answer at the same
// time. If it fails, the next request asks for the whole.
func (c *clusterState) applyConfigDelta(compressed []byte) ([]byte, error) {
	d, err := peer.Decompress(compressed, maxConfigBytes)
	target, ok := delta.Target(d)
	c.mu.Lock()
	current, known := c.history.current(), ok && c.history.has(target)
	c.mu.Unlock()
	if known {
		return nil, nil
	}
	if err == nil {
		d, err = delta.Apply(current, d, maxConfigBytes)
	}
	if err != nil {
		c.mu.Lock()
		c.needWhole = true
		c.mu.Unlock()
	}
	return d, err
}

// takeServers applies the changes of the servers in a reply if they are newer, and reports
// whether this instance has a list then that is not older than the peer's.
func (c *clusterState) takeServers(from string, reply peer.FollowReply) bool {
	servers, err := reply.Servers, error(nil)
	if len(reply.CompressedServers) > 0 {
		servers, err = peer.Decompress(reply.CompressedServers, maxServersBytes)
	}
	if err == nil && len(servers) == 0 {
		c.expireMissing()
		return true
	}
	var changes fleet.Changes
	if err == nil {
		err = json.Unmarshal(servers, &changes)
	}
	if err == nil && changes.Revision <= 0 {
		err = fmt.Errorf("revision %d is not positive", changes.Revision)
	}
	if err != nil {
		c.logRefused(changeServers, from, err)
		return false
	}
	refused := c.instance.refuseInvalid(from, &changes)
	c.updateServers(from, func(v *fleet.View, now time.Time) {
		if changes.Revision <= v.Revision() {
			return
		}
		c.logChanges(from, v.Revision(), changes)
		v.Apply(now, changes)
		for _, id := range refused {
			v.Remove(now, id)
		}
	})
	return true
}

// logRefused logs and counts changes of a kind that a peer sent and that could not be taken
// over.
func (c *clusterState) logRefused(kind, from string, err error) {
	c.instance.metrics.refusedChanges.WithLabelValues(kind).Inc()
	c.instance.log.Warn("changes from peer refused", zap.String("kind", kind), zap.String("from", from), zap.Error(err))
}
