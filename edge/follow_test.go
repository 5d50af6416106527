package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chervilpath/core/confirm"
	"chervilpath/core/fleet"
	"chervilpath/io/peer"
)

// TestNewerConfirmationIsSentAtOnce checks that a peer gets a reply at once if the
// store has confirmed the configuration more recently than the peer knows. If the
// reply came only at the end of the wait, the peer's configuration would look
// stale although the store had confirmed it.
func TestNewerConfirmationIsSentAtOnce(t *testing.T) {
	now := time.Now()
	c := &clusterState{instance: &Instance{bootTime: time.Now}, view: fleet.New(time.Second), changed: make(chan struct{}), confirmed: confirmations{config: confirm.Confirmation{At: now}, servers: confirm.Confirmation{At: now}}}
	const wait = 800 * time.Millisecond
	got := c.serveFollow(t.Context(), peer.FollowRequest{Confirmed: true, Age: time.Second, Wait: wait})
	if elapsed := time.Since(now); !got.Confirmed || elapsed > wait/2 {
		t.Errorf("later confirmation: reply after %v, want it at once", elapsed)
	}
	start := time.Now()
	time.AfterFunc(wait/4, func() {
		now := confirm.Confirmation{At: time.Now()}
		c.recordConfirmations(sourceStore, confirmations{config: now, servers: now})
	})
	got = c.serveFollow(t.Context(), peer.FollowRequest{Confirmed: true, Age: time.Since(now), Wait: wait})
	if elapsed := time.Since(start); elapsed < wait/8 || elapsed > wait*3/4 || got.Confirmation.Age > wait/4 {
		t.Errorf("confirmation during the wait: reply after %v with age %v, want it as soon as the store confirms", elapsed, got.Confirmation.Age)
	}
}

// Pattern: 300 instances start at once before 3,000 servers, and a hundred followers
// ask each watcher for all of them. The list is encoded once for all followers, is
// small enough for links of 20 Mbit/s, and is encoded anew after a change.
func TestServersAreEncodedOnceForAllFollowers(t *testing.T) {
	now := time.Now()
	view := fleet.New(time.Second)
	var servers []fleet.Server
	for i := range 3000 {
		servers = append(servers, fleet.Server{
			ID: fmt.Sprintf("i-%08x", i*2654435761), Service: fmt.Sprint("service-", i%5), Address: fmt.Sprintf("10.%d.%d.%d:8080", i%5, i/250, i%250),
			Zone: fmt.Sprint("zone-", i%5), Build: "v1", Slots: 12, Born: 1_790_000_000_000 + int64(i), Revision: int64(i + 1),
		})
	}
	view.Replace(now, servers, 3000)
	c := &clusterState{instance: &Instance{bootTime: time.Now}, view: view, changed: make(chan struct{})}
	first := c.serveFollow(t.Context(), peer.FollowRequest{CompressedServers: true}).CompressedServers
	const maxBytes = 150 << 10
	if len(first) == 0 || len(first) > maxBytes {
		t.Fatalf("3000 servers have %d bytes, want at most %d", len(first), maxBytes)
	}
	if second := c.serveFollow(t.Context(), peer.FollowRequest{CompressedServers: true}).CompressedServers; &second[0] != &first[0] {
		t.Error("the servers are encoded again for the second follower")
	}
	view.Advance(3001)
	view.Remove(now, servers[0].ID)
	third := c.serveFollow(t.Context(), peer.FollowRequest{CompressedServers: true}).CompressedServers
	data, err := peer.Decompress(third, maxServersBytes)
	if err != nil {
		t.Fatal(err)
	}
	var changes fleet.Changes
	if err := json.Unmarshal(data, &changes); err != nil || len(changes.Servers) != 2999 || changes.Revision != 3001 {
		t.Errorf("after a removal %d servers as of revision %d, error %v", len(changes.Servers), changes.Revision, err)
	}
	plain := c.serveFollow(t.Context(), peer.FollowRequest{}).Servers
	if !bytes.Equal(plain, data) {
		t.Error("a peer that takes no compressed changes gets others")
	}
}
