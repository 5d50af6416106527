package edge_test

import (
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// A peer whose directory differs from this instance's for good must not be asked
// without pause: each request for changes waits at the peer unless there is one.
func TestFollowersDoNotPollWithoutPause(t *testing.T) {
	t.Parallel()
	s := startMixedFleet(t, 4, 4, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), stand.NewServer("i-1", "desk", "a"))
	// One member of the directory is lost, so that the tables differ for a while.
	s.kill(s.instances[3])
	s.instances = append(s.instances[:3:3], s.instances[4:]...)
	const window = 2 * time.Second
	before := s.counter("chervilpath_follow_requests_total")
	time.Sleep(window)
	// Each follower asks twice in propagationBound, and once more for each change.
	if n, most := s.counter("chervilpath_follow_requests_total")-before, float64(len(s.instances))*20; n > most {
		t.Errorf("%v requests for changes in %v, want at most %v", n, window, most)
	}
}
