package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilpath/platform/stand"
)

const (
	// brokenPause is the mean time between two servers that begin to send broken answers.
	brokenPause = 3 * time.Second

	// brokenStream selects the random numbers for brokenFaults.
	brokenStream = 1<<32 + 2
)

// brokenFaults are drawn beside the others.
var brokenFaults = []fault{{"broken answers", 1, breakAnswers}}

// breakAnswers makes a random server send broken answers for some time. They hold nothing back, so that
// only the requests that reach the server are disturbed.
func breakAnswers(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s, kind, d := servers[rng.IntN(len(servers))], stand.BrokenAnswers[rng.IntN(len(stand.BrokenAnswers))], drawFaultDuration(rng)/2
	end := h.checker.beginBrokenAnswers(h.instances, s.ID)
	s.SendBroken(kind, d)
	time.AfterFunc(d, end)
	return fmt.Sprintf("%s for %v: %s", s.ID, d.Round(time.Millisecond), kind)
}
