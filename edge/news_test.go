package edge

import (
	"testing"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/io/peer"
)

// An instance that asks just after the store has confirmed what is known hears
// of it at once, not after its wait: else what it has looks old.
func TestLaterConfirmationIsNews(t *testing.T) {
	now := time.Now()
	b := &beliefs{view: fleet.New(time.Second), changed: make(chan struct{}), confirmed: now}
	const wait = 800 * time.Millisecond
	got := b.news(t.Context(), peer.Asked{Confirmed: true, Age: time.Second, Wait: wait})
	if took := time.Since(now); !got.Confirmed || took > wait/2 {
		t.Errorf("a later confirmation is told after %v", took)
	}
	began := time.Now()
	time.AfterFunc(wait/4, func() { b.confirm(time.Now()) })
	got = b.news(t.Context(), peer.Asked{Confirmed: true, Age: time.Since(now), Wait: wait})
	if took := time.Since(began); took < wait/8 || took > wait*3/4 || got.Age > wait/4 {
		t.Errorf("a confirmation during the wait is told after %v, %v old", took, got.Age)
	}
}
