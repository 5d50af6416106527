package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"chervilpath/platform/stand"
)

const (
	callerKey = "key-of-roofs"

	// callerPause is the mean time between two requests of a caller.
	callerPause = 30 * time.Millisecond

	// leaves is the part of the callers that leave before their answer.
	leaves = 0.03
)

var routes = []string{routeBook, routeStatus, routeDraft, routeMoves}

// call sends requests to the instances, one after the other, until ctx is done.
// It keeps its connections, also while an instance stops.
func (w *world) call(ctx context.Context, caller int, rng *rand.Rand) {
	clients := make([]*http.Client, len(w.instances))
	for i := range clients {
		t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		defer t.CloseIdleConnections()
		clients[i] = &http.Client{Transport: t}
	}
	for n := 0; ctx.Err() == nil; n++ {
		i := rng.IntN(len(w.instances))
		r := &request{id: fmt.Sprintf("c%d-%d", caller, n), route: routes[rng.IntN(len(routes))], key: w.anyKey(rng), instance: i}
		w.send(clients[i], r, rng.Float64() < leaves)
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(2 * callerPause)))):
		case <-ctx.Done():
		}
	}
}

// send sends a request and notes what the caller saw.
func (w *world) send(client *http.Client, r *request, leave bool) {
	wait := 1500 * time.Millisecond
	c := stand.Request{ID: r.id, APIKey: r.key, Path: "/" + r.route + "/1", Timeout: wait, Body: "body of " + r.id}
	if r.route == routeDraft {
		c.Timeout, c.Pieces = 4*time.Second, []int{2, 1}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	if leave {
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Millisecond)
	}
	defer cancel()
	req, err := stand.NewRequest(ctx, w.instances[r.instance].callers, c)
	if err != nil {
		panic(err)
	}
	r.process, _ = w.instances[r.instance].current()
	r.sent = time.Now()
	w.judge.note(func() { w.judge.requests[r.id] = r })
	resp, err := client.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	w.judge.note(func() {
		r.ended = time.Now()
		r.excused = ctx.Err() != nil
		if err != nil {
			return
		}
		r.status = resp.StatusCode
		by := stand.ServerFromStamp(resp, r.id)
		r.own = by != "" && (r.route == routeDraft && stand.IsCompleteStream(string(body), 8) || string(body) == "answer to "+r.id)
		r.server = w.serviceOf(by)
	})
}

// serviceOf returns the service of a server that ever was, or "".
func (w *world) serviceOf(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.ID == id {
			return s.Service
		}
	}
	return ""
}
