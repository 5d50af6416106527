package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"chervilpath/platform/stand"
)

// faultPauses are mean times between two faults, of which the seed draws one: in
// the first they overlap, in the last most bounds hold.
var faultPauses = []time.Duration{700 * time.Millisecond, 2 * time.Second, 4 * time.Second}

// fault harms the world. It returns what it did; what has to be undone is
// undone by itself, before ctx of the run ends or after.
type fault struct {
	name   string
	weight int
	inject func(w *world, rng *rand.Rand) string
}

var faults = []fault{
	{"kill", 3, func(w *world, rng *rand.Rand) string { return w.restart(rng, syscall.SIGKILL) }},
	{"stop", 4, func(w *world, rng *rand.Rand) string { return w.restart(rng, syscall.SIGTERM) }},
	{"freeze", 2, freeze},
	{"reload", 1, func(w *world, rng *rand.Rand) string {
		in := w.instances[rng.IntN(len(w.instances))]
		in.signal(syscall.SIGHUP)
		return fmt.Sprint("instance ", in.number)
	}},
	{"link to the store", 3, func(w *world, rng *rand.Rand) string {
		in := w.instances[rng.IntN(len(w.instances))]
		return harm(w.judge, in.number, in.store, rng)
	}},
	{"store", 3, harmStore},
	{"link to a server", 3, func(w *world, rng *rand.Rand) string {
		live := w.live()
		s := live[rng.IntN(len(live))]
		// Nobody can tell a caller whose request was on the link.
		return s.ID + " " + harmAll(w, s.link, rng)
	}},
	{"server leaves", 4, leave},
	{"server crashes", 2, crash},
	{"configuration", 4, func(w *world, rng *rand.Rand) string {
		moves := []string{serviceDesk, serviceMoved}[rng.IntN(2)]
		w.configure(moves)
		return moves
	}},
}

// harmFor returns how long a fault lasts.
func harmFor(rng *rand.Rand) time.Duration {
	return 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second)))
}

// injectAll injects faults until ctx is done.
func (w *world) injectAll(ctx context.Context, rng *rand.Rand, log func(format string, args ...any)) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	pause := faultPauses[rng.IntN(len(faultPauses))]
	for {
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(2 * pause)))):
		case <-ctx.Done():
			return
		}
		k := rng.IntN(total)
		for _, f := range faults {
			if k -= f.weight; k < 0 {
				log("%s: %s", f.name, f.inject(w, rng))
				break
			}
		}
	}
}

// restart ends the process of an instance by a signal and starts another one
// once it is gone.
func (w *world) restart(rng *rand.Rand, how syscall.Signal) string {
	in := w.instances[rng.IntN(len(w.instances))]
	process, exited := in.current()
	select {
	case <-exited:
		return fmt.Sprintf("instance %d is down", in.number)
	default:
	}
	down := time.Duration(rng.Int64N(int64(time.Second)))
	end := func() {}
	if how == syscall.SIGKILL {
		end = w.judge.trouble(in.number)
	} else {
		w.judge.note(func() {
			if _, ok := w.judge.stops[[2]int{in.number, process}]; !ok {
				w.judge.stops[[2]int{in.number, process}] = time.Now()
			}
		})
	}
	in.signal(how)
	go func() {
		select {
		case <-exited:
		case <-time.After(grace):
			in.signal(syscall.SIGCONT)
			in.signal(syscall.SIGKILL)
			<-exited
		}
		time.Sleep(down)
		if now, _ := in.current(); now == process {
			// A failure to start shows as an instance that is never ready.
			_ = w.start(in)
		}
		end()
	}()
	return fmt.Sprintf("instance %d", in.number)
}

func freeze(w *world, rng *rand.Rand) string {
	in := w.instances[rng.IntN(len(w.instances))]
	end := w.judge.trouble(in.number)
	in.signal(syscall.SIGSTOP)
	time.AfterFunc(harmFor(rng), func() {
		in.signal(syscall.SIGCONT)
		end()
	})
	return fmt.Sprintf("instance %d", in.number)
}

// harm treats a link badly for a while, which is trouble of an instance.
func harm(j *judge, instance int, link *proxy, rng *rand.Rand) string {
	m := mode(1 + rng.IntN(len(modeNames)-1))
	end := j.trouble(instance)
	link.set(m)
	time.AfterFunc(harmFor(rng), func() {
		// Held connections are lost with the path.
		link.set(reset)
		link.set(pass)
		end()
	})
	return fmt.Sprintf("instance %d %s", instance, modeNames[m])
}

// harmAll treats a link badly that all instances use.
func harmAll(w *world, link *proxy, rng *rand.Rand) string {
	m := mode(1 + rng.IntN(len(modeNames)-1))
	end := w.judge.troubleAll(w.instances)
	link.set(m)
	time.AfterFunc(harmFor(rng), func() {
		link.set(reset)
		link.set(pass)
		end()
	})
	return modeNames[m]
}

func harmStore(w *world, rng *rand.Rand) string {
	how := []string{"down", "slow", "refuses", "mute and compacted"}[rng.IntN(4)]
	end := w.judge.trouble(theStore)
	undo := func() { w.store.SetFaults(stand.Faults{}) }
	switch how {
	case "down":
		w.store.SetFaults(stand.Faults{Down: true})
	case "slow":
		w.store.SetFaults(stand.Faults{DelayMs: 300})
	case "refuses":
		kind := stand.CallFault(1 + rng.IntN(4))
		w.store.SetCallFault(func(*http.Request) stand.CallFault { return kind })
		undo = func() { w.store.SetCallFault(nil) }
	default:
		w.store.MuteWatches(true)
		undo = func() {
			w.store.Compact()
			w.store.MuteWatches(false)
		}
	}
	time.AfterFunc(harmFor(rng), func() {
		undo()
		end()
	})
	return how
}

// leave has a server drain, or lose its entry, and go; another one comes first.
func leave(w *world, rng *rand.Rand) string {
	live := w.live()
	s := live[rng.IntN(len(live))]
	if _, err := w.addServer(s.Service); err != nil {
		return err.Error()
	}
	w.mu.Lock()
	s.leaving = true
	w.mu.Unlock()
	if rng.IntN(2) == 0 {
		w.store.PutEntry(s.Server, stand.Draining)
	} else {
		w.store.RemoveServer(s.ID)
	}
	w.judge.note(func() { w.judge.leaves[s.ID] = time.Now() })
	time.AfterFunc(2*drainBound+grace, func() { w.store.RemoveServer(s.ID) })
	return s.ID
}

// crash ends a server without a word; its entry lapses later.
func crash(w *world, rng *rand.Rand) string {
	live := w.live()
	s := live[rng.IntN(len(live))]
	if _, err := w.addServer(s.Service); err != nil {
		return err.Error()
	}
	w.mu.Lock()
	s.leaving = true
	w.mu.Unlock()
	end := w.judge.troubleAll(w.instances)
	s.link.set(reset)
	time.AfterFunc(harmFor(rng), func() {
		w.store.RemoveServer(s.ID)
		end()
	})
	return s.ID
}
