package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"chervilpath/core/fleet"
)

type (
	// evacuationModel is the store's evacuated zones with their history.
	evacuationModel struct {
		revision int64
		zones    map[string]bool
		// at holds the zones by revision, and changes what each revision changed.
		at      map[int64][]string
		changes map[int64]zoneChange
	}

	zoneChange struct {
		zone    string
		removed bool
	}

	// evacuationView is an instance. The first ones watch the store.
	evacuationView struct {
		*fleet.View
		watch fleet.Evacuations
		// pending are sets that were read or sent and have not arrived.
		pending []fleet.Evacuations
	}
)

func (m *evacuationModel) set(zone string, evacuated bool) {
	m.revision++
	if m.zones[zone] != evacuated {
		m.changes[m.revision] = zoneChange{zone: zone, removed: !evacuated}
	}
	if m.zones[zone] = evacuated; !evacuated {
		delete(m.zones, zone)
	}
	m.at[m.revision] = slices.Sorted(maps.Keys(m.zones))
}

// read lists the zones, or takes the events since the last read of the same instance.
func (v *evacuationView) read(m *evacuationModel) {
	if v.watch.Revision == 0 {
		v.watch = fleet.NewEvacuations(m.at[m.revision], m.revision)
		v.pending = append(v.pending, v.watch)
		return
	}
	evacuated := make(map[string]bool)
	for r := v.watch.Revision + 1; r <= m.revision; r++ {
		if c, ok := m.changes[r]; ok {
			evacuated[c.zone] = !c.removed
		}
	}
	var added, removed []string
	for zone, is := range evacuated {
		if is {
			added = append(added, zone)
		} else {
			removed = append(removed, zone)
		}
	}
	v.watch = v.watch.After(added, removed, m.revision)
	v.pending = append(v.pending, v.watch)
}

// Guards against requests to an evacuated zone by an instance that went back to an older view,
// whether from a peer that was cut off, a late answer of the store or a watch that goes on from
// before what a peer told. Each instance holds what the store held at the instance's revision,
// and that revision never falls.
func TestEvacuationsNeverReturnToAnOlderView(t *testing.T) {
	const numViews, numWatchers = 5, 2
	rapid.Check(t, func(t *rapid.T) {
		m := &evacuationModel{revision: 1, zones: make(map[string]bool), at: map[int64][]string{1: nil}, changes: make(map[int64]zoneChange)}
		views := make([]*evacuationView, numViews)
		for i := range views {
			views[i] = &evacuationView{View: fleet.New(outageAfter)}
		}
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			v := views[rapid.IntRange(0, numViews-1).Draw(t, "view")]
			watcher := views[rapid.IntRange(0, numWatchers-1).Draw(t, "watcher")]
			other := views[rapid.IntRange(0, numViews-1).Draw(t, "other")]
			before := v.Evacuations()
			switch rapid.SampledFrom([]string{"set", "set", "read", "read", "ask", "ask", "arrive", "arrive", "arrive", "lose", "relist"}).Draw(t, "step") {
			case "set":
				m.set(fmt.Sprint("z", rapid.IntRange(1, 3).Draw(t, "zone")), rapid.Bool().Draw(t, "evacuated"))
			case "read":
				watcher.read(m)
			case "relist":
				watcher.watch = fleet.Evacuations{}
			case "ask":
				if e := other.Evacuations(); e.Revision > v.Evacuations().Revision {
					v.pending = append(v.pending, e)
				}
			case "arrive":
				// Answers of several instances and of the store come in any order.
				if n := len(v.pending); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "answer")
					v.SetEvacuations(v.pending[i])
					v.pending = slices.Delete(v.pending, i, i+1)
				}
			case "lose":
				v.pending = nil
			}
			e := v.Evacuations()
			if e.Revision < before.Revision {
				t.Fatalf("revision %d after %d", e.Revision, before.Revision)
			}
			if e.Revision > 0 && !slices.Equal(e.Zones, m.at[e.Revision]) {
				t.Fatalf("zones %v at revision %d, the store held %v", e.Zones, e.Revision, m.at[e.Revision])
			}
			// What is not sent again because it has not changed is the same.
			if e.Revision > 0 && !slices.Equal(m.at[e.ChangedAt], e.Zones) {
				t.Fatalf("zones %v since revision %d, the store held %v", e.Zones, e.ChangedAt, m.at[e.ChangedAt])
			}
		}
	})
}

// Guards against work for the servers of an evacuated zone, and against the loss of the results
// that they hold.
func TestServersOfEvacuatedZoneGetNothing(t *testing.T) {
	v := fleet.New(outageAfter)
	v.Replace(start, []fleet.Server{
		{ID: "a-1", Service: "s", Address: "10.0.0.1:80", Zone: "a", Revision: 1}, {ID: "b-1", Service: "s", Address: "10.0.0.2:80", Zone: "b", Revision: 1},
	}, 1)
	v.SetEvacuations(fleet.NewEvacuations([]string{"a"}, 2))
	s := v.Snapshot()
	if list := s.Service("s"); len(list) != 1 || list[0].ID != "b-1" {
		t.Errorf("servers of the service: %v", list)
	}
	if _, ok := s.Callable(start, "a-1"); ok {
		t.Error("a server of an evacuated zone may be called")
	}
	if !s.Evacuated("10.0.0.1:80") || s.Evacuated("10.0.0.2:80") || s.Zone("10.0.0.1:80") != "a" {
		t.Error("the results of the zone's servers are not known")
	}
	if got := s.Unwilling(start, "s"); !slices.Equal(got, []string{"a-1"}) {
		t.Errorf("excluded at an owner that may not know: %v", got)
	}
	if begun, ended := v.SetEvacuations(fleet.NewEvacuations(nil, 3)); len(begun) != 0 || !slices.Equal(ended, []string{"a"}) {
		t.Errorf("begun %v, ended %v", begun, ended)
	}
	if _, ok := v.Snapshot().Callable(start, "a-1"); !ok {
		t.Error("a server may not be called after the evacuation ended")
	}
}

// Guards against sets of another instance that no store can have given.
func TestValidateRefusesOddEvacuations(t *testing.T) {
	for name, e := range map[string]fleet.Evacuations{
		"no revision":    {Zones: []string{"a"}},
		"changed later":  {Zones: []string{"a"}, Revision: 3, ChangedAt: 4},
		"not in order":   {Zones: []string{"b", "a"}, Revision: 3, ChangedAt: 3},
		"no name":        {Zones: []string{""}, Revision: 3, ChangedAt: 3},
		"very long name": {Zones: []string{strings.Repeat("z", 300)}, Revision: 3, ChangedAt: 3},
		"too many":       {Zones: slices.Repeat([]string{"a"}, 300), Revision: 3, ChangedAt: 3},
	} {
		if e.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if e := fleet.NewEvacuations([]string{"b", "a", "b"}, 7); e.Validate() != nil || !slices.Equal(e.Zones, []string{"a", "b"}) {
		t.Errorf("a set of the store is refused: %v", e)
	}
}
