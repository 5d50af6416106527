package edge

import (
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/fleet"
	"chervilpath/platform"
)

const (
	// maxExclusionSpread is the fraction of a Retry-After by which the end of an
	// exclusion is delayed at random, so that instances do not return in step.
	maxExclusionSpread = 0.1

	// noticeLogInterval is the shortest time between two log lines about Retry-After
	// headers that cannot be used, and about load headers.
	noticeLogInterval = time.Second
)

// observeResponse records what a server says of itself in the head of a response.
func (in *Instance) observeResponse(s fleet.Server, resp *http.Response) {
	now := time.Now()
	n, err := platform.ReadNotice(resp, now)
	if err != nil {
		in.metrics.refusedNotices.Inc()
		in.noticeLog.Do(func() {
			in.log.Warn("Retry-After of a server refused", zap.String("server", s.ID), zap.Int("status", resp.StatusCode), zap.Error(err))
		})
	}
	if n != (fleet.Notice{}) && s.ID != "" {
		in.state.observe(now, s, n)
	}
	in.observeLoad(s, resp)
}

// observe excludes a server for as long as it wants no requests from this instance, or
// until it has started again if it is leaving.
func (c *clusterState) observe(now time.Time, s fleet.Server, n fleet.Notice) {
	// Most answers of a server that is leaving tell nothing new.
	listed, ok := c.servers().Server(s.ID)
	if !ok || listed.Born != s.Born {
		return
	}
	until := now.Add(n.RetryAfter + time.Duration(maxExclusionSpread*mathrand.Float64()*float64(n.RetryAfter)))
	c.updateServers(sourceAnswer, func(v *fleet.View, now time.Time) {
		if n.Leaving {
			v.ObserveLeaving(now, s.Incarnation())
		}
		if n.RetryAfter > 0 {
			v.Exclude(s.Incarnation(), until)
		}
	})
}
