package edge

import (
	"testing"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/io/peer"
)

// TestNewerConfirmationIsSentAtOnce checks that a peer gets a reply at once if the
// store has confirmed the configuration more recently than the peer knows. If the
// reply came only at the end of the wait, the peer's configuration would look
// stale although the store had confirmed it.
func TestNewerConfirmationIsSentAtOnce(t *testing.T) {
	now := time.Now()
	c := &clusterState{view: fleet.New(time.Second), changed: make(chan struct{}), confirmedAt: now}
	const wait = 800 * time.Millisecond
	got := c.serveFollow(t.Context(), peer.FollowRequest{Confirmed: true, Age: time.Second, Wait: wait})
	if elapsed := time.Since(now); !got.Confirmed || elapsed > wait/2 {
		t.Errorf("later confirmation: reply after %v, want it at once", elapsed)
	}
	start := time.Now()
	time.AfterFunc(wait/4, func() { c.recordConfirmation(time.Now()) })
	got = c.serveFollow(t.Context(), peer.FollowRequest{Confirmed: true, Age: time.Since(now), Wait: wait})
	if elapsed := time.Since(start); elapsed < wait/8 || elapsed > wait*3/4 || got.Age > wait/4 {
		t.Errorf("confirmation during the wait: reply after %v with age %v, want it as soon as the store confirms", elapsed, got.Age)
	}
}
