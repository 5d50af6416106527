package edge

import (
	"fmt"
	"testing"
	"time"
)

// Entries that nobody takes must not accumulate: the index of an instance that
// serves 1,000 requests a second for an hour holds those of two periods at most.
func TestPeerIndexDropsWhatIsNeverTaken(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	x := newPeerIndex(now)
	most := 0
	for i := range 3600 {
		var keys []string
		for k := range 10 {
			keys = append(keys, fmt.Sprint(i, "-", k))
		}
		x.record(now, keys, "peer:1")
		most = max(most, x.len())
		now = now.Add(time.Second)
	}
	if limit := 2 * 10 * int(peerIndexRetention/time.Second); most > limit {
		t.Errorf("the index held %d entries, want at most %d", most, limit)
	}
	x.record(now, []string{"last"}, "peer:2")
	now = now.Add(peerIndexRetention)
	x.record(now, nil, "")
	if got := x.take("last"); got != "peer:2" {
		t.Errorf("take() = %q one period later, want peer:2", got)
	}
	if got := x.take("last"); got != "" {
		t.Errorf("take() = %q the second time, want none", got)
	}
}
