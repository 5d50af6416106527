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

	// meanCallerPause is the mean time that a caller waits between two requests.
	meanCallerPause = 30 * time.Millisecond

	// abandonRatio is the fraction of requests that their caller abandons early.
	abandonRatio = 0.03
)

var (
	routes = []string{routeBook, routeStatus, routeDraft, routeReassigned}

	// draftPieces are the numbers of pieces of the stages of a request for routeDraft.
	draftPieces = [...]int{2, 1}
)

// runCaller sends requests to random instances, one after the other, until ctx is
// done. It keeps its connections open, so that requests also reach an instance that is
// shutting down.
func (h *harness) runCaller(ctx context.Context, caller int, rng *rand.Rand) {
	clients := make([]*http.Client, len(h.instances))
	for i := range clients {
		transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		defer transport.CloseIdleConnections()
		clients[i] = &http.Client{Transport: transport}
	}
	for n := 0; ctx.Err() == nil; n++ {
		i := rng.IntN(len(h.instances))
		r := &request{id: fmt.Sprintf("c%d-%d", caller, n), route: routes[rng.IntN(len(routes))], key: h.drawKey(rng), instance: i}
		h.send(clients[i], r, rng.Float64() < abandonRatio)
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(2 * meanCallerPause)))):
		case <-ctx.Done():
		}
	}
}

// send sends a request and records its result. If abandon is set, the caller gives up
// after 10 ms.
func (h *harness) send(client *http.Client, r *request, abandon bool) {
	timeout := 1500 * time.Millisecond
	c := stand.Request{ID: r.id, APIKey: r.key, Path: "/" + r.route + "/1", Timeout: timeout, Body: "body of " + r.id}
	if r.route == routeDraft {
		c.Timeout, c.Pieces = 4*time.Second, draftPieces[:]
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	if abandon {
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Millisecond)
	}
	defer cancel()
	req, err := stand.NewRequest(ctx, h.instances[r.instance].callerAddress, c)
	if err != nil {
		panic(err)
	}
	r.processNumber, _ = h.instances[r.instance].currentProcess()
	r.sent = time.Now()
	h.checker.locked(func() { h.checker.requests[r.id] = r })
	resp, err := client.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	h.checker.locked(func() {
		r.ended = time.Now()
		r.abandoned = ctx.Err() != nil
		if err != nil {
			return
		}
		r.status = resp.StatusCode
		serverID := stand.ServerFromStamp(resp, r.id)
		r.valid = serverID != "" && (r.route == routeDraft && stand.IsCompleteStream(string(body), 8) || string(body) == "answer to "+r.id)
		r.service = h.serviceOf(serverID)
	})
}

// serviceOf returns the service of a present or past server, or "" if there never was
// a server with this ID.
func (h *harness) serviceOf(serverID string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		if s.ID == serverID {
			return s.Service
		}
	}
	return ""
}
