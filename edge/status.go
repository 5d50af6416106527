package edge

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/status"
)

// Status returns the state of the instance for operators.
func (in *Instance) Status(now time.Time) status.Instance {
	out := status.Instance{
		Name: in.name, Incarnation: in.incarnation, FailureDomain: in.cfg.Load().FailureDomain(), Ready: in.Ready() == nil,
		Draining: in.draining.Load(), InFlight: int(in.callerServer.InFlight()),
	}
	if t := in.state.table(); t != nil {
		out.Revision = t.Version()
	}
	for _, h := range in.quarantine.Holds() {
		out.QuarantinedParts = append(out.QuarantinedParts, status.QuarantinedPart{
			Service: h.Service, Part: h.Part, Crashes: h.Crashes, Servers: h.Servers, Instances: h.Instances,
			HeldMs: now.Sub(h.Since).Milliseconds(), TrialInMs: h.TrialDue.Sub(now).Milliseconds(), Trials: h.Trials,
		})
	}
	in.addQueueStatus(&out)
	servers := in.state.servers()
	out.EvacuatedZones = servers.Evacuations().Zones
	for s := range servers.Leaving() {
		out.Unwilling = append(out.Unwilling, status.Server{ID: s.ID, Service: s.Service, Born: s.Born, Leaving: true})
	}
	for _, s := range servers.All() {
		if left := s.ExcludedUntil.Sub(now); left > 0 {
			out.Unwilling = append(out.Unwilling, status.Server{ID: s.ID, Service: s.Service, Born: s.Born, ReturnsInMs: left.Milliseconds()})
		}
	}
	slices.SortFunc(out.Unwilling, func(a, b status.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (in *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(in.Status(time.Now())); err != nil {
		in.log.Info("the status was not read to its end", zap.Error(err))
	}
}
