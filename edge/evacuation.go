package edge

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/confirm"
	"chervilpath/core/fleet"
)

// evacuationColdTime is how long after the end of an evacuation the servers of the zone count
// as cold: they may have become cold before it ended, and their entries may tell so later.
const evacuationColdTime = 5 * time.Second

// evacuationWatch is what one sequence of calls of the store, a list and the watches from its
// revision on, says about the evacuated zones. What other instances say is not mixed in, since
// events hold only for the set that they follow.
type evacuationWatch struct {
	instance *Instance
	set      fleet.Evacuations
}

// followEvacuations follows the zones that the operator evacuates, if the settings ask for it.
func (in *Instance) followEvacuations(ctx context.Context) {
	if !in.state.followsEvacuations {
		return
	}
	w := &evacuationWatch{instance: in}
	f := &follower{instance: in, kind: "evacuations", read: w.read, watch: w.watch}
	f.run(ctx)
}

func (w *evacuationWatch) read(ctx context.Context) (int64, error) {
	requestedAt := w.instance.bootTime()
	objects, revision, err := w.instance.store.ListEvacuations(ctx)
	if err != nil {
		return 0, err
	}
	var zones []string
	for _, o := range objects {
		if w.instance.isZone(o.Name, o.Version) {
			zones = append(zones, o.Name)
		}
	}
	w.set = fleet.NewEvacuations(zones, revision)
	w.instance.state.offerEvacuations(w.set, sourceStore)
	w.instance.state.recordConfirmations(sourceStore, confirmations{evacuations: w.instance.state.byStore(requestedAt)})
	return revision, nil
}

func (w *evacuationWatch) watch(ctx context.Context, after int64) (int64, error) {
	wait, sentAt := w.instance.state.untilConfirmationDue(func(c confirmations) confirm.Confirmation { return c.evacuations }), w.instance.bootTime()
	changes, revision, err := w.instance.store.WatchEvacuations(ctx, after, wait)
	answeredAt := watchAnsweredAt(sentAt, wait, len(changes) > 0, w.instance.bootTime())
	if err != nil {
		return 0, err
	}
	// The last change of a zone counts.
	evacuated := make(map[string]bool)
	for _, c := range changes {
		if w.instance.isZone(c.Object.Name, c.Object.Version) {
			evacuated[c.Object.Name] = !c.Removed
		}
	}
	var added, removed []string
	for zone, isEvacuated := range evacuated {
		if isEvacuated {
			added = append(added, zone)
		} else {
			removed = append(removed, zone)
		}
	}
	w.set = w.set.After(added, removed, revision)
	w.instance.state.offerEvacuations(w.set, sourceStore)
	w.instance.state.recordConfirmations(sourceStore, confirmations{evacuations: w.instance.state.byStore(answeredAt)})
	return max(after, revision), nil
}

// isZone reports whether a zone can have the name of an object. What else the object holds
// does not matter: its name alone asks for the evacuation.
func (in *Instance) isZone(name string, revision int64) bool {
	err := fleet.ValidateZone(name)
	if err == nil {
		return true
	}
	if _, log := in.refusedZones.record(time.Now(), name, revision, err.Error()); log {
		in.log.Warn("evacuation refused", zap.String("from", sourceStore), zap.Int64("revision", revision), zap.Error(err))
	}
	return false
}

// offerEvacuations puts a set of evacuated zones in force if it is newer than the one in
// force. from is its source, for the log.
func (c *clusterState) offerEvacuations(e fleet.Evacuations, from string) {
	var begun, ended []string
	c.updateServers(from, func(v *fleet.View, now time.Time) {
		known := v.Evacuations().Revision > 0
		if begun, ended = v.SetEvacuations(e); !known || len(begun)+len(ended) > 0 {
			c.notifyWaiters()
		}
		for _, zone := range ended {
			v.MarkZoneCold(zone, now.Add(evacuationColdTime))
		}
	})
	for _, zone := range begun {
		c.logEvacuation("evacuation in force", zone, e, from)
	}
	for _, zone := range ended {
		c.logEvacuation("evacuation ended", zone, e, from)
	}
	c.instance.metrics.evacuatedZones.Set(float64(len(c.servers().Evacuations().Zones)))
}

func (c *clusterState) logEvacuation(message, zone string, e fleet.Evacuations, from string) {
	fields := []zap.Field{zap.String("zone", zone), zap.Int64("revision", e.Revision), zap.String("from", from), zap.Int64("confirmedAgoMs", c.confirmationAge().Milliseconds())}
	servers := c.servers().NumEvacuated(zone)
	fields = append(fields, zap.Int("servers", servers))
	if c.servers().Evacuations().Contains(zone) && servers == 0 {
		c.instance.log.Warn(message+" for a failure domain without servers", fields...)
		return
	}
	c.instance.log.Info(message, fields...)
}

// offerEncodedEvacuations puts a set that another instance sent in force if it is newer, and
// reports whether it could be decoded.
func (c *clusterState) offerEncodedEvacuations(data []byte, from string) bool {
	var e fleet.Evacuations
	err := json.Unmarshal(data, &e)
	if err == nil {
		err = e.Validate()
	}
	if err != nil {
		c.logRefused(changeEvacuations, from, err)
		return false
	}
	c.offerEvacuations(e, from)
	return true
}

func (c *clusterState) evacuationsRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Evacuations().Revision
}

// encodeEvacuations encodes a set for another instance.
func (c *clusterState) encodeEvacuations(e fleet.Evacuations) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		c.instance.log.Error("could not encode evacuations for peer", zap.Error(err))
	}
	return data
}
