package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"chervilpath/platform/stand"
)

const (
	staleRounds = 5
	// restartDelay is the pause between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// leaveAfter is how long after the processes were killed a server leaves.
	leaveAfter = 150 * time.Millisecond
	// lingerTime is how long a server serves after its entry was removed.
	lingerTime = 6 * time.Second
)

// leavingServer is a server of which the case knows when its entry was removed.
type leavingServer struct {
	*stand.Server
	mu        sync.Mutex
	removedAt time.Time
}

func (s *leavingServer) removed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removedAt
}

// staleView kills some processes at the same moment, starts them again, and removes the
// entry of a server meanwhile. Requests through the processes that were not killed must
// not reach that server more than drainTime later.
func staleView(f *fleet, o options) error {
	rng := rand.New(rand.NewPCG(o.seed, 1))
	n := 0
	addServer := func() *leavingServer {
		n++
		s := &leavingServer{Server: stand.NewServer(fmt.Sprintf("desk-%d", n), "jobdesk", []string{"midrand", "germiston", "roodepoort"}[n%3])}
		s.WorkTime, s.Born = 20*time.Millisecond, time.Now().UnixMilli()
		s.Intercept = func(w http.ResponseWriter, _ *http.Request) bool {
			if !s.removed().IsZero() {
				w.Header().Set("Connection", "close")
			}
			return false
		}
		f.store.PutEntry(s.Server, stand.Ready)
		return s
	}
	var servers, all []*leavingServer
	for range 4 {
		servers = append(servers, addServer())
	}
	all = append(all, servers...)
	f.store.PutConfig(1, map[string][]string{"tenant": {apiKey}}, []stand.Service{{Name: "jobdesk"}},
		[]stand.Route{{Name: "status", Service: "jobdesk", Kind: stand.Idempotent, Timeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond}})
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c := newCallers(f)
	ctx, cancel := context.WithCancel(context.Background())
	wg := c.load(ctx, "status", 1500*time.Millisecond, 60*time.Millisecond)
	time.Sleep(contactTime)
	for round := range staleRounds {
		readers := f.readers(1200 * time.Millisecond)
		killed := f.machines[:0:0]
		if o.trouble {
			killed = append(killed, readers...)
			for len(killed) < 4 {
				if m := f.machines[rng.IntN(len(f.machines))]; !slices.Contains(killed, m) {
					killed = append(killed, m)
				}
			}
			killed = killed[:4]
			names := ""
			for _, m := range killed {
				m.signal(syscall.SIGKILL)
				names += " " + m.name
			}
			f.log("round %d: killed%s", round, names)
		}
		time.Sleep(leaveAfter)
		leaving := servers[0]
		servers = servers[1:]
		f.store.RemoveServer(leaving.ID)
		leaving.mu.Lock()
		leaving.removedAt = time.Now()
		leaving.mu.Unlock()
		f.log("round %d: the entry of %s is removed; it serves for %v more", round, leaving.ID, lingerTime)
		time.AfterFunc(lingerTime, leaving.Close)
		time.Sleep(restartDelay - leaveAfter)
		for _, m := range killed {
			if err := m.start(); err != nil {
				cancel()
				return err
			}
		}
		time.Sleep(lingerTime + 500*time.Millisecond)
		s := addServer()
		servers, all = append(servers, s), append(all, s)
		time.Sleep(contactTime)
	}
	cancel()
	wg.Wait()
	var standIns []*stand.Server
	for _, s := range all {
		standIns = append(standIns, s.Server)
	}
	c.recordAll(standIns)
	late := 0
	for _, s := range all {
		byMachine := make(map[string]int)
		var last time.Time
		for _, a := range s.Arrivals() {
			r := c.find(a.RequestID)
			if s.removed().IsZero() || r == nil || a.At.Sub(s.removed()) <= drainTime || !r.machine.inTouchDuring(r.sent) {
				continue
			}
			byMachine[r.machine.name]++
			last = a.At
			late++
		}
		for name, count := range byMachine {
			f.log("DRAIN: %s got %d requests through %s, which was in touch, more than %v after its entry was removed at %s, the last of all at %s", s.ID, count, name, drainTime, f.at(s.removed()), f.at(last))
		}
	}
	if late > 0 {
		return errBroken
	}
	return nil
}
