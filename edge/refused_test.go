package edge

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"chervilpath/core/fleet"
	"chervilpath/core/kernel"
	"chervilpath/core/object"
	"chervilpath/core/settings"
	"chervilpath/io/peer"
	"chervilpath/platform"
)

// newIdleInstance returns an instance that is not started, and its log.
func newIdleInstance(t *testing.T) (*Instance, *observer.ObservedLogs) {
	t.Helper()
	cfg, err := settings.ParseSite("test.ini", []byte("[site]\nname = edge-0\nfailureDomain = a\ncallerAddress = 127.0.0.1:1\npeerAddress = 127.0.0.1:2\noperatorAddress = 127.0.0.1:3\nseeds = 127.0.0.1:2\n[store]\naddress = 127.0.0.1:4\n"))
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	in, err := New(kernel.New(), cfg, zap.New(core), func() int64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	return in, logs
}

// refusedCount returns the number of refused entries that the instance has counted.
func refusedCount(t *testing.T, in *Instance) float64 {
	t.Helper()
	families, err := in.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "chervilpath_server_entries_refused_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatal("no counter of refused entries")
	return 0
}

// Guards against entries that no server needs and that a peer of another version passes on.
func TestInvalidEntryFromAPeerIsRefusedAlone(t *testing.T) {
	for _, whole := range []bool{false, true} {
		in, logs := newIdleInstance(t)
		sound := func(id string, revision int64) fleet.Server {
			return fleet.Server{ID: id, Service: "desk", Address: "10.0.0.1:" + id, Slots: 4, Revision: revision}
		}
		in.state.updateServers(sourceStore, func(v *fleet.View, now time.Time) {
			v.Replace(now, []fleet.Server{sound("1", 1), sound("2", 2)}, 2)
		})
		odd := sound("1", 3)
		odd.Slots = math.MaxInt64
		added, broken := sound("3", 4), sound("4", 5)
		broken.Address = "10.0.0.1:99999"
		changes := fleet.Changes{Whole: whole, Servers: []fleet.Server{odd, added, broken}, Revision: 5}
		if whole {
			changes.Servers = append(changes.Servers, sound("2", 2))
		}
		data, err := json.Marshal(changes)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			in.state.applyReply("peer", in.bootTime(), peer.FollowReply{Servers: data})
		}
		var got []string
		for id := range in.state.servers().All() {
			got = append(got, id)
		}
		if slices.Sort(got); !slices.Equal(got, []string{"2", "3"}) {
			t.Errorf("whole %v: servers %v, want 2 and 3", whole, got)
		}
		if n, lines := refusedCount(t, in), logs.FilterMessage("server entry refused").Len(); n != 2 || lines != 2 {
			t.Errorf("whole %v: %v refused entries are counted and %d logged, want 2", whole, n, lines)
		}
		// An older reply must not remove a server whose entry has become sound since.
		in.state.updateServers(sourceStore, func(v *fleet.View, now time.Time) { v.Advance(6); v.Set(sound("1", 6)) })
		in.state.applyReply("peer", in.bootTime(), peer.FollowReply{Servers: data})
		if _, ok := in.state.servers().Server("1"); !ok {
			t.Errorf("whole %v: an older reply removed a sound server", whole)
		}
	}
}

// Guards against a log that another writer fills: one line for each change of what is wrong
// with an entry, however often it is listed or written, and a bounded number in all.
func TestRefusedEntryIsLoggedOncePerChange(t *testing.T) {
	in, logs := newIdleInstance(t)
	lines := func() int { return logs.FilterMessage("server entry refused").Len() }
	change := func(id string, revision int64, spec string) platform.Change {
		return platform.Change{Object: object.Object{Kind: "servers", Name: id, Version: revision, Data: []byte(spec)}}
	}
	apply := func(c platform.Change) {
		update := in.serverUpdate(c)
		in.state.updateServers(sourceStore, func(v *fleet.View, now time.Time) {
			v.ApplyWatch(now, []fleet.Update{update}, c.Object.Version)
		})
	}
	const odd, sound = `{"service":"desk","state":"ready","address":"x"}`, `{"service":"desk","state":"ready","address":"10.0.0.1:80"}`
	for step, tt := range []struct {
		change     platform.Change
		lines      int
		refusedSum float64
	}{
		{change("i-1", 1, odd), 1, 1},
		{change("i-1", 1, odd), 1, 1},
		{change("i-1", 2, odd), 1, 2},
		{change("i-1", 3, `{"service":"desk","state":"ready","address":"y"}`), 2, 3},
		{change("i-2", 4, odd), 3, 4},
		{change("i-1", 5, sound), 3, 4},
		{change("i-1", 6, odd), 4, 5},
		{platform.Change{Object: object.Object{Name: "i-1", Version: 6}, Removed: true}, 4, 5},
		{change("i-1", 8, odd), 5, 6},
	} {
		apply(tt.change)
		if got := lines(); got != tt.lines {
			t.Fatalf("step %d: %d lines, want %d", step, got, tt.lines)
		}
		if got := refusedCount(t, in); got != tt.refusedSum {
			t.Fatalf("step %d: %v counted, want %v", step, got, tt.refusedSum)
		}
	}
	const changes = 3 * maxRefusedEntries
	start := time.Now()
	for i := range changes {
		apply(change(fmt.Sprint("j-", i), int64(9+i), fmt.Sprintf(`{"service":"desk","state":"ready","address":"%d"}`, i)))
	}
	most := refusedLogBurst + 5 + int(time.Since(start)/refusedLogInterval) + 1
	if got := lines(); got > most {
		t.Errorf("%d lines after %d changes, want at most %d", got, changes, most)
	}
	if got := refusedCount(t, in); got != 6+changes {
		t.Errorf("%v counted, want %d", got, 6+changes)
	}
	if n := len(in.refused.byID); n > maxRefusedEntries {
		t.Errorf("%d refused entries are remembered, want at most %d", n, maxRefusedEntries)
	}
}
