package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/confirm"
	"chervilpath/io/peer"
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

// Guards against an answer of the store that comes late and counts as a recent confirmation: that
// of a watch that ended with a change, and which a freeze or a lost packet held up.
func TestLateAnswerOfTheStoreIsNoRecentConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 4, func() time.Duration { return rand.N(5 * time.Millisecond) })
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.setAnswerDelay(func() time.Duration {
			if rand.N(3) == 0 {
				return rand.N(2 * time.Second)
			}
			return 0
		})
		for step := range 300 {
			time.Sleep(100 * time.Millisecond)
			switch step % 10 {
			case 2:
				f.putVersion(step)
			case 5:
				f.store.PutServer("i-1", "10.0.1.1:80", "a", []string{"ready", "draining"}[step/10%2])
			case 7:
				f.store.Put("evacuations", fmt.Sprint("zone-", step), map[string]any{})
			}
			for _, in := range f.instances {
				in.state.mu.Lock()
				known := in.state.confirmed
				in.state.mu.Unlock()
				for kind, c := range map[string]confirm.Confirmation{"config": known.config, "servers": known.servers, "evacuations": known.evacuations} {
					if last := f.lastAnswer(kind); c.At.After(last) {
						t.Fatalf("%s believes that the store confirmed the %s %v after the latest answer that has arrived was made (origin %s, %d hops)",
							in.name, kind, c.At.Sub(last), c.Origin, c.Hops)
					}
				}
			}
		}
	})
}

// Guards against watches that end with changes all the time and confirm only what held when they
// were sent, so that all instances look for other sources.
func TestConfirmationsStayRecentBesideChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 4, func() time.Duration { return rand.N(5 * time.Millisecond) })
		defer f.stop()
		time.Sleep(5 * time.Second)
		for version := 2; version < 300; version++ {
			time.Sleep(rand.N(200 * time.Millisecond))
			if rand.N(10) == 0 {
				time.Sleep(time.Second)
			}
			f.putVersion(version)
			for _, in := range f.instances {
				if age, longest := in.state.confirmationAge(), in.state.propagationTime(unconfirmedFraction); age > longest {
					t.Fatalf("%s: the last confirmation is %v old, %v is the age from which another source is looked for", in.name, age, longest)
				}
			}
		}
	})
}

// Guards against a machine that was suspended and takes what it knew before for recent, since its
// monotonic clock stood still: it denies requests by it and tells others so.
func TestSuspendedMachineKnowsThatItsConfirmationsAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 4, func() time.Duration { return rand.N(5 * time.Millisecond) })
		defer f.stop()
		in := f.instances[3]
		time.Sleep(5 * time.Second)
		if !in.state.configFresh() {
			t.Fatal("the configuration is not fresh before the machine is suspended")
		}
		const pause = 4 * time.Second
		f.suspend(in, pause)
		reply, _, _ := in.state.followReply(peer.FollowRequest{}, in.bootTime())
		if age := in.state.confirmationAge(); age < pause || reply.Confirmation.Age < pause || in.state.configFresh() {
			t.Errorf("after a pause of %v: the last confirmation is %v old, others are told %v, the configuration is fresh: %v",
				pause, age, reply.Confirmation.Age, in.state.configFresh())
		}
		// What was on its way to it when it was suspended is as old.
		time.Sleep(time.Second)
		if age, longest := in.state.confirmationAge(), in.state.propagationTime(unconfirmedFraction); age > longest {
			t.Errorf("a second later: the last confirmation is %v old, want at most %v", age, longest)
		}
	})
}
