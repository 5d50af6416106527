package edge

import (
	"testing"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/io/peer"
)

// An instance that asks just after the store has confirmed what is known hears
// of it at once, not after its wait: else what it has looks old.
func TestNewerConfirmationIsSentAtOnce(t *testing.T) {
	now := time.Now()
	c := &clusterState{view: fleet.New(time.Second), changed: make(chan struct{}), confirmedAt: now}
	const wait = 800 * time.Millisecond
	got := c.serveFollow(t.Context(), peer.FollowRequest{Confirmed: true, Age: time.Second, Wait: wait})
	if elapsed := time.Since(now); !got.Confirmed || elapsed > wait/2 {
		t.Errorf("a later confirmation is told after %v", elapsed)
	}
	start := time.Now()
	time.AfterFunc(wait/4, func() { c.recordConfirmation(time.Now()) })
	got = c.serveFollow(t.Context(), peer.FollowRequest{Confirmed: true, Age: time.Since(now), Wait: wait})
	if elapsed := time.Since(start); elapsed < wait/8 || elapsed > wait*3/4 || got.Age > wait/4 {
		t.Errorf("a confirmation during the wait is told after %v, %v old", elapsed, got.Age)
	}
}
