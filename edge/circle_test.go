package edge

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/confirm"
)

// Guards against a fleet that takes an old confirmation for a recent one: instances that follow
// each other pass it round, none of them reads the store, and a version is in force nowhere
// while the store refuses those that watch it for all.
func TestVersionIsInForceWithinBoundThoughStoreRefusesAllWatchers(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := newVirtualFleet(t, 8, func() time.Duration { return time.Millisecond + rand.N(time.Millisecond) })
			defer f.stop()
			time.Sleep(10 * time.Second)
			watchers := f.watchers()
			if len(watchers) != numStoreWatchers {
				t.Fatalf("%d instances watch the store, want %d", len(watchers), numStoreWatchers)
			}
			f.setRefused(true, watchers...)
			for version := 2; version <= 4; version++ {
				time.Sleep(time.Second)
				f.putVersion(version)
				time.Sleep(virtualBound)
				for _, in := range f.instances {
					if got := in.state.table().Version(); got != int64(version) {
						last := in.state.lastConfirmation()
						t.Errorf("%s: version %d is in force %v after the store has accepted version %d; confirmed %v ago by %s, %d hops",
							in.name, got, virtualBound, version, time.Since(last.At), last.Origin, last.Hops)
					}
				}
			}
		})
	}
}

// Guards against a confirmation that grows younger by the time that a message is on its way,
// for each kind of object, whoever follows whom.
func TestNoConfirmationIsYoungerThanTheLastAnswerOfTheStore(t *testing.T) {
	for _, longest := range []time.Duration{2 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond} {
		for n := 3; n <= 8; n++ {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, n, func() time.Duration { return rand.N(longest) })
				defer f.stop()
				time.Sleep(10 * time.Second)
				f.setRefused(true, f.instances...)
				lastAnswer := time.Now()
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					for _, in := range f.instances {
						in.state.mu.Lock()
						known := in.state.confirmed
						in.state.mu.Unlock()
						for kind, c := range map[string]confirm.Confirmation{"configuration": known.config, "servers": known.servers, "evacuations": known.evacuations} {
							if c.At.After(lastAnswer) {
								t.Fatalf("%d instances, messages take up to %v: %s believes that the store confirmed the %s %v ago (origin %s, %d hops), it last answered %v ago",
									n, longest, in.name, kind, time.Since(c.At), c.Origin, c.Hops, time.Since(lastAnswer))
							}
						}
					}
				}
			})
		}
	}
}
