package edge_test

import (
	"cmp"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilpath/platform/stand"
)

// storeLink is the way of one instance to the store. While intercept is set, it
// decides for each call whether it handles the call itself.
type storeLink struct {
	address   string
	intercept atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
}

func newStoreLink(t *testing.T, store http.Handler) *storeLink {
	t.Helper()
	l := &storeLink{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A call that waits while the link fails ends as a call then would.
		if f := l.intercept.Load(); f == nil || !(*f)(w, r) {
			store.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	l.address = strings.TrimPrefix(server.URL, "http://")
	return l
}

// refuse answers a call as a store does that turns this caller away.
func refuse(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// hang leaves a call without an answer.
func hang(_ http.ResponseWriter, r *http.Request) bool {
	<-r.Context().Done()
	return true
}

// hangServerWatches leaves the watches of the servers without an answer.
func hangServerWatches(w http.ResponseWriter, r *http.Request) bool {
	return strings.HasSuffix(r.URL.Path, "/servers") && r.URL.Query().Has("watch") && hang(w, r)
}

// startLinkedFleet starts large instances, the first of which is the seed, and small
// ones, each with a link to the store of its own. The links of the large ones come
// in the order in which these are chosen to watch the store.
func startLinkedFleet(t *testing.T, s *testSite, large, small int) []*storeLink {
	t.Helper()
	names := make([]string, large)
	for i := range names {
		names[i] = fmt.Sprint("large-", i)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(b), xxhash.Sum64String(a)) })
	seeds := freeAddress(t)
	var links []*storeLink
	for i := range large + small {
		name, peerAddress, cores := fmt.Sprint("small-", i), freeAddress(t), 0.1
		if i == 0 {
			peerAddress = seeds
		}
		if i < large {
			name, cores = names[i], 1
		}
		l := newStoreLink(t, s.store)
		links = append(links, l)
		s.storeAddress = l.address
		s.startWithCores(name, freeAddress(t), peerAddress, freeAddress(t), seeds, cores)
	}
	for _, inst := range s.instances {
		s.eventually("the instance to be ready", func() bool { return s.getStatus(inst.operatorAddress+"/ready") == http.StatusOK })
	}
	return links
}

// countRunsAt sends requests through the instances from the given one on and returns
// how many of them ran at the server.
func (s *testSite) countRunsAt(server *stand.Server, from int) int {
	before := server.TotalRuns()
	for i := from; i < len(s.instances); i++ {
		for n := range 6 {
			s.post(i, "/look/1", fmt.Sprintf("r-%d-%d", i, n))
		}
	}
	return int(server.TotalRuns() - before)
}

// Guards against requests to a server that has long left, sent by instances whose
// sources of changes are all turned away by the store, or hear nothing from it, but
// for one.
func TestLeavingIsKnownThoughMostSourcesAreCutOffFromTheStore(t *testing.T) {
	t.Parallel()
	const large, small = 5, 6
	for name, intercept := range map[string]func(http.ResponseWriter, *http.Request) bool{"refused": refuse, "silent": hang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaving, stays := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
			s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("look", "idempotent", "desk", nil)), leaving, stays)
			links := startLinkedFleet(t, s, large, small)
			time.Sleep(propagationBound)
			for i, l := range links {
				if i != large-1 {
					l.intercept.Store(&intercept)
				}
			}
			// Watches that wait when the link fails are still answered. They end with
			// this change.
			s.store.Put("servers", "i-3", stand.NewServer("i-3", "moved", "a").Entry("ready"))
			time.Sleep(propagationBound / 10)
			s.store.Put("servers", "i-1", leaving.Entry("draining"))
			time.Sleep(propagationBound)
			if n := s.countRunsAt(leaving, 0); n > 0 {
				t.Errorf("%d requests ran at a server that said %v before that it is leaving", n, propagationBound)
			}
		})
	}
}

// Guards against requests to a server that has left, sent by an instance that took
// the time between two confirmations that it saw for an outage of the store. The
// bounds are in the ratio to heartbeats of a large deployment.
func TestRareConfirmationsAreNoOutage(t *testing.T) {
	t.Parallel()
	// The links fail at different phases of the watches, which last half of the bound.
	const phases = 8
	for phase := range phases {
		t.Run(fmt.Sprint("phase", phase), func(t *testing.T) {
			t.Parallel()
			gone, stays := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
			s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("look", "idempotent", "desk", nil)), gone, stays)
			s.bounds = "heartbeat = 600ms"
			links := startLinkedFleet(t, s, 2, 0)
			time.Sleep(propagationBound + propagationBound/2*time.Duration(phase)/phases)
			intercept := refuse
			links[1].intercept.Store(&intercept)
			time.Sleep(propagationBound * 5 / 8)
			links[1].intercept.Store(nil)
			time.Sleep(propagationBound / 5)
			s.store.Remove("servers", "i-1")
			time.Sleep(propagationBound)
			if n := s.countRunsAt(gone, 0); n > 0 {
				t.Errorf("%d requests ran at a server that was removed %v before", n, propagationBound)
			}
		})
	}
}

// Guards against requests to a server that has long left, sent by an instance whose
// watches of the servers hang while the store confirms the configuration.
func TestConfirmedConfigurationIsNoConfirmationOfServers(t *testing.T) {
	t.Parallel()
	leaving, stays := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("look", "idempotent", "desk", nil)), leaving, stays)
	links := startLinkedFleet(t, s, 2, 0)
	time.Sleep(propagationBound)
	intercept := hangServerWatches
	links[1].intercept.Store(&intercept)
	// The watch that waits is still answered. It ends with this change.
	s.store.Put("servers", "i-3", stand.NewServer("i-3", "moved", "a").Entry("ready"))
	time.Sleep(propagationBound / 10)
	s.store.Put("servers", "i-1", leaving.Entry("draining"))
	time.Sleep(propagationBound)
	if n := s.countRunsAt(leaving, 0); n > 0 {
		t.Errorf("%d requests ran at a server that said %v before that it is leaving", n, propagationBound)
	}
}
