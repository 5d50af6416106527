package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"chervilpath/platform/stand"
)

const (
	callerKey = "key-of-roofs"

	// meanCallerPause is the mean time that a caller waits between two requests.
	meanCallerPause = 30 * time.Millisecond

	// abandonRatio is the fraction of requests that their caller abandons early.
	abandonRatio = 0.03

	// lateRatio is the fraction of requests that go to an instance that is shutting down,
	// if there is one. Half of these open a connection.
	lateRatio = 0.3

	// One in slowCallers callers reads slowReadBytes at a time, and then pauses for
	// slowReadPause.
	slowCallers   = 4
	slowReadBytes = 8 << 10
	slowReadPause = 10 * time.Millisecond

	// Of a large answer such a caller reads nothing for slowReadStart.
	slowReadStart = 500 * time.Millisecond

	// orderBytes is the size of a request for routeOrder.
	orderBytes = 300_000
)

var (
	routes = []string{routeBook, routeStatus, routeDraft, routeReassigned, routeOrder, routeChat, routeNote}

	// draftPieces are the numbers of pieces of the stages of a request for routeDraft.
	draftPieces = [...]int{2, 1}
)

// runCaller sends requests to random instances, one after the other, until ctx is
// done. It keeps its connections open, so that requests also reach an instance that is
// shutting down, and prefers such an instance at times. Every slowCallers-th caller reads
// slowly.
func (h *harness) runCaller(ctx context.Context, caller int, rng *rand.Rand) {
	slow := caller%slowCallers == slowCallers-1
	clients := make([]*http.Client, len(h.instances))
	for i := range clients {
		clients[i] = newClient(slow, false)
		defer clients[i].CloseIdleConnections()
	}
	for n := 0; ctx.Err() == nil; n++ {
		i, fresh := rng.IntN(len(h.instances)), false
		if stopping := h.stoppingInstances(); len(stopping) > 0 && rng.Float64() < lateRatio {
			i, fresh = stopping[rng.IntN(len(stopping))], rng.IntN(2) == 0
		}
		r := &request{id: fmt.Sprintf("c%d-%d", caller, n), route: routes[rng.IntN(len(routes))], key: h.drawKey(rng), instance: i, slow: slow}
		if isStream(r.route) {
			r.prompt = sharedParts(caller + n)
		}
		client := clients[i]
		if fresh {
			client = newClient(slow, true)
		}
		h.send(client, r, rng.Float64() < abandonRatio)
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(2 * meanCallerPause)))):
		case <-ctx.Done():
		}
	}
}

// newClient returns a client that keeps its connections, unless oneShot is set. If slow is
// set, little of an answer fits into its receive buffer.
func newClient(slow, oneShot bool) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DisableKeepAlives: oneShot}
	if slow {
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return conn, conn.(*net.TCPConn).SetReadBuffer(slowReadBytes)
		}
	}
	return &http.Client{Transport: transport}
}

// stoppingInstances returns the numbers of the instances whose process has received SIGTERM
// and runs.
func (h *harness) stoppingInstances() []int {
	var out []int
	for _, in := range h.instances {
		process, exited := in.currentProcess()
		select {
		case <-exited:
			continue
		default:
		}
		h.checker.locked(func() {
			if _, ok := h.checker.stoppedAt[[2]int{in.number, process}]; ok {
				out = append(out, in.number)
			}
		})
	}
	return out
}

// callerRequest returns what the caller of a request sends.
func (r *request) callerRequest() stand.Request {
	c := stand.Request{ID: r.id, APIKey: r.key, Path: "/" + r.route + "/1", Timeout: 1500 * time.Millisecond, Body: "body of " + r.id, Prompt: r.prompt}
	switch r.route {
	case routeDraft:
		c.Timeout, c.Pieces = 4*time.Second, draftPieces[:]
	case routeChat, routeNote:
		c.Timeout = 4 * time.Second
	case routeOrder:
		c.Timeout = 4 * time.Second
		c.Body = strings.Repeat(c.Body+"\n", orderBytes/len(c.Body))
	}
	return c
}

// send sends a request and records its result. If abandon is set, the caller gives up
// after 10 ms.
func (h *harness) send(client *http.Client, r *request, abandon bool) {
	c := r.callerRequest()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	if abandon {
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Millisecond)
	}
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			h.checker.locked(func() { r.written = time.Now() })
		}
	}})
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
		if r.slow && r.route == routeOrder {
			time.Sleep(slowReadStart)
		}
		body, err = readAnswer(resp.Body, r.slow)
		_ = resp.Body.Close()
	}
	h.checker.locked(func() {
		r.ended = time.Now()
		r.abandoned = ctx.Err() != nil
		r.received, r.err = len(body), err
		if err != nil {
			return
		}
		r.status = resp.StatusCode
		r.quarantined = r.status == http.StatusServiceUnavailable && strings.Contains(string(body), "quarantined")
		serverID := stand.ServerFromStamp(resp, r.id)
		r.valid = serverID != "" && r.isAnswer(string(body), c.Body)
		r.service = h.serviceOf(serverID)
	})
}

// readAnswer reads the body of an answer, a part at a time with pauses if slow is set.
func readAnswer(body io.Reader, slow bool) ([]byte, error) {
	if !slow {
		return io.ReadAll(body)
	}
	var out []byte
	part := make([]byte, slowReadBytes)
	for {
		n, err := body.Read(part)
		out = append(out, part[:n]...)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		time.Sleep(slowReadPause)
	}
}

// isAnswer reports whether an answer is the whole answer to the request.
func (r *request) isAnswer(answer, body string) bool {
	if isStream(r.route) {
		return stand.IsCompleteStream(answer, 8)
	}
	return answer == "answer to "+r.id+body
}

// isStream reports whether the answers of a route are streams, by model engines.
func isStream(route string) bool {
	return route == routeDraft || route == routeChat || route == routeNote
}

// nonIdempotent reports whether a request of the route must run at most once.
func nonIdempotent(route string) bool {
	return route == routeBook || route == routeOrder || route == routeChat
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
