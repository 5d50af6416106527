package fleet_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chervilpath/core/fleet"
)

// The instances of a random history, of which the first ones watch the store, and the last ID
// of its servers.
const (
	numModelViews    = 5
	numModelWatchers = 2
	lastID           = "5"
)

type (
	// storeModel is the store's list of servers with all of its history.
	storeModel struct {
		revision int64
		listed   map[string]fleet.Server
		events   []storeEvent
		// firstPage is the last ID of the first page of a list. Any other page is read later.
		firstPage string
		// at holds the IDs of the servers by revision.
		at map[int64][]string
	}

	storeEvent struct {
		server   fleet.Server
		removed  bool
		revision int64
	}

	// viewModel is one instance. Those that watch the store have the revision from
	// which they watch, or 0 before they have listed.
	viewModel struct {
		*fleet.View
		watches   bool
		watchFrom int64
		// answers are what was read from the store or from another instance and is not
		// applied yet. Answers of the store come in order.
		fromStore, fromPeers []func()
	}
)

// historyOp is one step: an operation on a server of the store, or on one or two instances.
type historyOp struct {
	name            string
	id, view, other int
}

// historyOps are the operations. Those that occur more often than others are repeated.
var historyOps = []string{
	"put", "put", "remove", "remove", "read", "readApplied", "readNow", "readNow", "follow", "followApplied", "followNow", "followNow", "followNow", "restart",
	"watchEnds",
}

var genOp = rapid.Custom(func(t *rapid.T) historyOp {
	return historyOp{
		name:  rapid.SampledFrom(historyOps).Draw(t, "name"),
		id:    rapid.IntRange(1, 5).Draw(t, "id"),
		view:  rapid.IntRange(0, numModelViews-1).Draw(t, "view"),
		other: rapid.IntRange(0, numModelViews-1).Draw(t, "other"),
	}
})

func newStoreModel(firstPage string) *storeModel {
	return &storeModel{firstPage: firstPage, revision: 1, listed: make(map[string]fleet.Server), at: map[int64][]string{0: nil, 1: nil}}
}

func (s *storeModel) put(id string) {
	s.revision++
	s.listed[id] = server(id, s.revision)
	s.events = append(s.events, storeEvent{server: s.listed[id], revision: s.revision})
	s.record()
}

func (s *storeModel) remove(id string) {
	old, ok := s.listed[id]
	if !ok {
		return
	}
	s.revision++
	delete(s.listed, id)
	s.events = append(s.events, storeEvent{server: old, removed: true, revision: s.revision})
	s.record()
}

func (s *storeModel) record() { s.at[s.revision] = slices.Sorted(maps.Keys(s.listed)) }

// eventsAfter returns the events after a revision, in order.
func (s *storeModel) eventsAfter(revision int64) []storeEvent {
	i, _ := slices.BinarySearchFunc(s.events, revision+1, func(e storeEvent, r int64) int { return cmp.Compare(e.revision, r) })
	return slices.Clone(s.events[i:])
}

// read asks the store, as an instance that watches it does, and queues the answer.
func (v *viewModel) read(s *storeModel) {
	if len(v.fromStore) > 0 {
		return
	}
	revision := s.revision
	if v.watchFrom == 0 {
		list := slices.DeleteFunc(slices.Collect(maps.Values(s.listed)), func(e fleet.Server) bool { return e.ID > s.firstPage })
		v.fromStore = append(v.fromStore, func() {
			for id, e := range s.listed {
				if id > s.firstPage {
					list = append(list, e)
				}
			}
			v.Replace(start, list, revision)
			v.watchFrom = revision
		})
		return
	}
	events := s.eventsAfter(v.watchFrom)
	v.fromStore = append(v.fromStore, func() {
		applyEvents(v.View, events, revision)
		v.watchFrom = max(v.watchFrom, revision)
	})
}

// follow asks another instance for its changes, as of now, and queues the answer.
func (v *viewModel) follow(other *viewModel) {
	c := other.ChangesSince(v.Revision())
	v.fromPeers = append(v.fromPeers, func() { v.Apply(start, c) })
}

// deliver applies the first answer of a queue.
func deliver(queue *[]func()) {
	if len(*queue) > 0 {
		apply := (*queue)[0]
		*queue = (*queue)[1:]
		apply()
	}
}

// Guards against requests to servers that have left, and against the loss of servers that
// have come back: an instance took the changes since its own revision from one that knew
// only a part of them, or an answer of the store from before what it had. Each instance
// holds at all times what the store held at the instance's revision.
func TestEachInstanceHoldsWhatTheStoreHeldAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStoreModel(lastID)
		views := runHistory(t, store, func(step string, views []*viewModel) { checkViews(t, step, store, views) })
		tellAll(store, views)
		checkViews(t, "all were told", store, views)
	})
}

// Guards against the same where a list is read in pages, of which later ones may be newer than
// its revision. Once those that watch the store have read it to its end, all hold what it holds.
func TestEachInstanceHoldsInTheEndWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStoreModel("2")
		views := runHistory(t, store, func(string, []*viewModel) {})
		tellAll(store, views)
		checkViews(t, "all were told", store, views)
	})
}

// runHistory plays a random history of a store and of the instances that follow it, and calls
// check after each step.
func runHistory(t *rapid.T, store *storeModel, check func(step string, views []*viewModel)) []*viewModel {
	views := make([]*viewModel, numModelViews)
	for i := range views {
		views[i] = &viewModel{View: fleet.New(outageAfter), watches: i < numModelWatchers}
	}
	for _, o := range rapid.SliceOfN(genOp, 100, 300).Draw(t, "operations") {
		id, v, other := fmt.Sprint(o.id), views[o.view], views[o.other]
		switch o.name {
		case "put":
			store.put(id)
		case "remove":
			store.remove(id)
		case "read":
			if v.watches {
				v.read(store)
			}
		case "readNow":
			if v.watches {
				v.read(store)
				deliver(&v.fromStore)
			}
		case "followNow":
			v.fromPeers = nil
			v.follow(other)
			deliver(&v.fromPeers)
		case "readApplied":
			deliver(&v.fromStore)
		case "follow":
			v.follow(other)
		case "followApplied":
			deliver(&v.fromPeers)
		case "restart":
			views[o.view] = &viewModel{View: fleet.New(outageAfter), watches: v.watches}
		case "watchEnds":
			v.watchFrom, v.fromStore = 0, nil
		}
		check(o.name, views)
	}
	return views
}

// tellAll lets the instances that watch the store read it to its end, and all others follow one
// of them.
func tellAll(store *storeModel, views []*viewModel) {
	for _, v := range views {
		if v.watches {
			deliver(&v.fromStore)
			for range 2 {
				v.read(store)
				deliver(&v.fromStore)
			}
		}
	}
	for _, v := range views {
		v.fromPeers = nil
		v.follow(views[0])
		deliver(&v.fromPeers)
	}
}

func checkViews(t *rapid.T, step string, store *storeModel, views []*viewModel) {
	for i, v := range views {
		if got, want := ids(v.View), store.at[v.Revision()]; !slices.Equal(got, want) {
			t.Fatalf("after %s: instance %d has %v at revision %d, the store had %v", step, i, got, v.Revision(), want)
		}
	}
}

// Guards against requests to servers that have left: an instance that had not known a server did
// not pass its removal on to one that did.
func TestRemovalOfUnknownServerIsPassedOn(t *testing.T) {
	first, relay, last := fleet.New(outageAfter), fleet.New(outageAfter), fleet.New(outageAfter)
	first.Replace(start, []fleet.Server{server("1", 1)}, 1)
	relay.Apply(start, first.ChangesSince(0))
	first.ApplyWatch(start, []fleet.Update{{ID: "2", Server: &fleet.Server{ID: "2", Service: "desk", Address: "10.0.0.1:2", Revision: 2}}}, 2)
	last.Apply(start, first.ChangesSince(0))
	first.ApplyWatch(start, []fleet.Update{{ID: "2"}}, 3)
	relay.Apply(start, first.ChangesSince(relay.Revision()))
	last.Apply(start, relay.ChangesSince(last.Revision()))
	if got := ids(last); !slices.Equal(got, []string{"1"}) {
		t.Errorf("servers: %v, want those that have not left", got)
	}
}

// Guards against requests to servers that have left: an instance that has dropped some of the
// removals since another one's revision gave it the others alone.
func TestWholeListIsGivenOnceRemovalsWereDropped(t *testing.T) {
	const n = 300
	watcher, follower := fleet.New(outageAfter), fleet.New(outageAfter)
	var all []fleet.Server
	for i := range n {
		all = append(all, server(fmt.Sprint(1000+i), int64(i+1)))
	}
	watcher.Replace(start, all, n)
	follower.Apply(start, watcher.ChangesSince(0))
	for i, s := range all[1:] {
		watcher.ApplyWatch(start, []fleet.Update{{ID: s.ID}}, int64(n+1+i))
	}
	if !watcher.HasChangesSince(watcher.Revision() - 100) {
		t.Error("the last 100 removals are not given as changes")
	}
	follower.Apply(start, watcher.ChangesSince(follower.Revision()))
	if got := ids(follower); !slices.Equal(got, []string{all[0].ID}) {
		t.Errorf("the follower has %d servers, want the one that was not removed", len(got))
	}
}

func applyEvents(v *fleet.View, events []storeEvent, revision int64) {
	var updates []fleet.Update
	for _, e := range events {
		u := fleet.Update{ID: e.server.ID}
		if !e.removed {
			u.Server = &e.server
		}
		updates = append(updates, u)
	}
	v.ApplyWatch(start, updates, revision)
}
