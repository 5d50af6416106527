package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"chervilpath/core/route"
)

// Callers of one route wait for different times, so that a short wait alone is
// no sign of an earlier attempt.
func TestFirstAttemptsHaveTheirWholeAim(t *testing.T) {
	r, rt := New(Deps{}), &route.Route{Name: "quote"}
	rng := rand.New(rand.NewPCG(1, 2))
	wait := func() time.Duration { return time.Duration((0.85 + 0.15*rng.Float64()) * float64(20*time.Second)) }
	for range 500 {
		r.spent(rt, wait())
	}
	wrong := 0
	for range 1000 {
		if spent := r.spent(rt, wait()); spent > 400*time.Millisecond {
			wrong++
		}
	}
	if wrong > 50 {
		t.Errorf("%d of 1000 first attempts are taken for late ones", wrong)
	}
	if spent := r.spent(rt, 14*time.Second); spent < 2500*time.Millisecond {
		t.Errorf("a caller that comes back after 3 s or more is taken to have used %v", spent)
	}
}
