package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chervilpath/platform/stand"
)

const (
	// greyShare is the share of its requests that the failing server fails, and greyTime
	// for how long it does.
	greyShare = 0.4
	greyTime  = 6500 * time.Millisecond
)

// failedRun lets one server of a service fail some of the requests that it runs. Its
// answer is 503 with its stamp, and does not say that it did not run the request. A
// request that is not idempotent and has run must not be answered with a status that
// promises that it has not.
func failedRun(f *fleet, o options) error {
	var mu sync.Mutex
	ran := make(map[string]int)
	var failing atomic.Bool
	var count atomic.Int64
	var servers []*stand.Server
	for i, zone := range []string{"midrand", "germiston", "roodepoort"} {
		s := stand.NewServer(fmt.Sprintf("desk-%d", i+1), "jobdesk", zone)
		s.WorkTime, s.Born = 60*time.Millisecond, time.Now().UnixMilli()
		s.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			id := stand.RequestID(r)
			mu.Lock()
			ran[id]++
			mu.Unlock()
			if i != 0 || !failing.Load() || float64(count.Add(1)%10) >= 10*greyShare {
				return false
			}
			// The booking has been made. What follows it fails.
			time.Sleep(s.WorkTime)
			w.Header().Set(stand.HeaderServerStamp, s.ID+"."+id)
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "the booking of "+id+" could not be confirmed")
			return true
		}
		f.store.PutEntry(s, stand.Ready)
		servers = append(servers, s)
	}
	f.store.PutConfig(1, map[string][]string{"tenant": {apiKey}}, []stand.Service{{Name: "jobdesk"}},
		[]stand.Route{{Name: "book", Service: "jobdesk", Kind: stand.NonIdempotent, Timeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond}})
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	c := newCallers(f)
	ctx, cancel := context.WithCancel(context.Background())
	wg := c.load(ctx, "book", 1500*time.Millisecond, 300*time.Millisecond)
	time.Sleep(3 * time.Second)
	if o.trouble {
		f.log("desk-1 fails %v of its requests for %v", greyShare, greyTime)
		failing.Store(true)
	}
	time.Sleep(greyTime)
	failing.Store(false)
	f.log("desk-1 is sound")
	time.Sleep(3 * time.Second)
	cancel()
	wg.Wait()
	c.recordAll(servers)
	broken := 0
	for _, r := range c.all() {
		switch r.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			continue
		}
		if n := ran[r.id]; n > 0 {
			broken++
			f.logAt(r.ended, "REFUSED: %s, not idempotent, is answered %d and has run %d time", r.id, r.status, n)
		}
	}
	f.log("%d requests were answered with a promise and had run", broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
