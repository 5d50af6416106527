package edge

import (
	"net/http"

	"go.uber.org/zap"

	"chervilpath/core/fleet"
	"chervilpath/platform"
)

// observeLoad passes on the load that a server reported in the head of a response, if it did.
// A header that cannot be used is counted and ignored.
func (in *Instance) observeLoad(s fleet.Server, resp *http.Response) {
	l, ok, err := platform.ReadLoad(resp)
	if err != nil {
		in.metrics.refusedLoads.Inc()
		in.loadLog.Do(func() {
			in.log.Warn("load header of a server refused", zap.String("server", s.ID), zap.String("service", s.Service), zap.Error(err))
		})
	}
	if !ok || s.ID == "" {
		return
	}
	in.metrics.loads.Inc()
	if l.Pace > 0 {
		in.metrics.serverPace.Observe(l.Pace)
	}
	in.state.reportLoad(s, l)
}

// reportLoad passes the load that an incarnation of a server reported on to what chooses
// servers of its service at this instance: the dispatcher of a stage service and the stage of
// a plain one. It ignores the report of an incarnation that is not the listed one.
func (c *clusterState) reportLoad(s fleet.Server, l fleet.Load) {
	listed, ok := c.servers().Server(s.ID)
	if !ok || listed.Born != s.Born {
		return
	}
	if d := c.instance.delegator.existingDispatcher(listed.Service); d != nil {
		d.ReportLoad(listed.Incarnation(), l)
	}
	if stage := c.plainStage(listed.Service); stage != nil {
		stage.ReportServerLoad(listed.ID, l)
	}
}
