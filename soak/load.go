package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilpath/platform/stand"
)

// Work at a server beside a noisy neighbour takes slowFactor times as long for slowTime.
const (
	slowFactor = 2.5
	slowTime   = 600 * time.Millisecond
)

// slowServer makes a random server slow for a while. Its load headers say so, unless it is an
// engine. It disturbs nothing.
func slowServer(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s := servers[rng.IntN(len(servers))]
	s.SlowFor(slowFactor, slowTime)
	return s.ID
}

// sayOddLoad makes a random plain or stage server send load headers that cannot be used. It
// disturbs nothing.
func sayOddLoad(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s, values := servers[rng.IntN(len(servers))], stand.OddLoads[rng.IntN(len(stand.OddLoads))]
	s.SayOddLoad(values, drawFaultDuration(rng))
	return fmt.Sprintf("%s: %.30q", s.ID, values)
}
