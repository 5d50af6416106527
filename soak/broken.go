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

// beginBrokenAnswers records that a server begins to send broken answers to all instances. It returns
// a function that records the end.
func (c *checker) beginBrokenAnswers(instances []*instance, server string) (end func()) {
	var begun []*disturbance
	c.locked(func() {
		for _, in := range instances {
			d := &disturbance{from: time.Now(), server: server, answersOnly: true}
			c.disturbances[in.number] = append(c.disturbances[in.number], d)
			begun = append(begun, d)
		}
	})
	return func() {
		c.locked(func() {
			for _, d := range begun {
				d.to = time.Now()
			}
		})
	}
}
