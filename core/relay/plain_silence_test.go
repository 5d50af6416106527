package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

// plainService is a relay in front of the servers of a plain service, which its field
// send stands for.
type plainService struct {
	relay *Relay
	stage *stage.Stage
	send  func(context.Context, Attempt) (*Response, error)
}

func newPlainService(t *testing.T, kind route.Kind, servers int) *plainService {
	t.Helper()
	table, err := route.New(1, []route.Route{{
		Name: "desk", Host: "h", Prefix: "/", Kind: kind, MaxAttempts: 2, TargetLatency: 300 * time.Millisecond, Timeout: 20 * time.Second, Public: true,
		Targets: []route.Target{{Service: "desk", Weight: 1}},
	}}, []route.Service{{Name: "desk"}}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	var listed []fleet.Server
	var endpoints []*declare.Endpoint
	for i := range servers {
		s := fleet.Server{ID: fmt.Sprintf("s-%d", i), Service: "desk", Address: fmt.Sprintf("a:%d", i+1), Slots: 8}
		listed = append(listed, s)
		endpoints = append(endpoints, declare.NewEndpoint(s.ID, s.Address, "", s.Slots))
	}
	view.Replace(time.Now(), listed, 1)
	p := &plainService{}
	p.stage = stage.New(declare.NewStage("desk", 100, endpoints), "i", 1, systemClock, rand.New(rand.NewPCG(1, 1)), stage.Policy{})
	deps := newDeps(t.Context(), table, view)
	deps.Log = func(d Decision) { t.Logf("%v %s %s %s", d.Elapsed, d.Step, d.Server, d.Outcome) }
	deps.PlainStage = func(string) *stage.Stage { return p.stage }
	deps.Send = func(ctx context.Context, a Attempt) (*Response, error) { return p.send(ctx, a) }
	p.relay = New(deps)
	return p
}

// serve sends one request and returns the answer of its server.
func (p *plainService) serve(ctx context.Context, id string, timeout time.Duration) (body string, err error) {
	_, err = p.relay.Serve(ctx, &Request{ID: id, Host: "h", Path: "/x", Timeout: timeout, Arrived: time.Now()}, ResponseWriter{
		Respond: func(_ int, _ map[string][]string, b []byte) { body = string(b) },
	})
	return body, err
}

// run runs a subtest in virtual time.
func run(t *testing.T, name string, f func(*testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// awaitOrEnd waits for d, or returns the error of ctx.
func awaitOrEnd(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a request to a plain service that ends, or is sent a second time, since
// its server is silent for a while before its answer or within it.
func TestSilentPlainServerKeepsItsRequest(t *testing.T) {
	for _, kind := range []route.Kind{route.Idempotent, route.NonIdempotent} {
		for _, inBody := range []bool{false, true} {
			run(t, fmt.Sprint(kind, inBody), func(t *testing.T) {
				p := newPlainService(t, kind, 2)
				sends := 0
				p.send = func(ctx context.Context, _ Attempt) (*Response, error) {
					sends++
					pieces := &drip{ctx: ctx, pause: 10 * time.Millisecond, pieces: []string{"ans", "wer"}}
					if inBody {
						pieces.pause = 1800 * time.Millisecond
					} else if err := awaitOrEnd(ctx, 1800*time.Millisecond); err != nil {
						return nil, &SendError{Err: err}
					}
					return &Response{Status: http.StatusOK, Body: io.NopCloser(io.LimitReader(pieces, 6))}, nil
				}
				body, err := p.serve(t.Context(), "r", 6*time.Second)
				if err != nil || body != "answer" || sends != 1 {
					t.Errorf("kind %v, silent in the body %v: answer %q after %d sends, error %v", kind, inBody, body, sends, err)
				}
			})
		}
	}
}

// Guards against a small plain service that refuses requests after all of its servers
// were silent at once: the requests in progress are answered, and later ones are served
// at once.
func TestSilentPlainServersAreUsedAgain(t *testing.T) {
	const pause = 1800 * time.Millisecond
	for _, kind := range []route.Kind{route.Idempotent, route.NonIdempotent} {
		run(t, fmt.Sprint(kind), func(t *testing.T) {
			p := newPlainService(t, kind, 3)
			start := time.Now()
			p.send = func(ctx context.Context, _ Attempt) (*Response, error) {
				d := 20 * time.Millisecond
				if since := time.Since(start); since > time.Second && since < time.Second+pause {
					d = time.Second + pause - since
				}
				if err := awaitOrEnd(ctx, d); err != nil {
					return nil, &SendError{Err: err}
				}
				return &Response{Status: http.StatusOK, Body: io.NopCloser(bytes.NewBufferString("answer"))}, nil
			}
			var wg sync.WaitGroup
			for i := range 200 {
				wg.Go(func() {
					began := time.Now()
					body, err := p.serve(t.Context(), fmt.Sprint(i), 6*time.Second)
					took := time.Since(began)
					if err != nil || body != "answer" {
						t.Errorf("kind %v, at %v: answer %q after %v, error %v", kind, began.Sub(start), body, took, err)
					}
					if began.Sub(start) > time.Second+pause+500*time.Millisecond && took > 300*time.Millisecond {
						t.Errorf("kind %v, at %v: answered after %v", kind, began.Sub(start), took)
					}
				})
				time.Sleep(25 * time.Millisecond)
			}
			wg.Wait()
		})
	}
}

// Guards against requests that are refused because their servers, which are sound, take
// no new connections for a while.
func TestServersWithoutNewConnectionsAreAwaited(t *testing.T) {
	const dialTime = 250 * time.Millisecond
	for _, kind := range []route.Kind{route.Idempotent, route.NonIdempotent} {
		for _, servers := range []int{1, 3} {
			for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond} {
				run(t, fmt.Sprint(kind, servers, pause), func(t *testing.T) {
					p := newPlainService(t, kind, servers)
					start, runs := time.Now(), 0
					p.send = func(ctx context.Context, _ Attempt) (*Response, error) {
						if time.Since(start) < pause {
							if err := awaitOrEnd(ctx, dialTime); err != nil {
								return nil, &SendError{Err: err, NotSent: true}
							}
							return nil, &SendError{Err: errors.New("dial timeout"), NotSent: true, Unanswered: true}
						}
						runs++
						return &Response{Status: http.StatusOK, Body: io.NopCloser(bytes.NewBufferString("answer"))}, nil
					}
					body, err := p.serve(t.Context(), "r", 6*time.Second)
					if err != nil || body != "answer" || runs != 1 {
						t.Errorf("kind %v, %d servers, %v without connections: answer %q, %d runs, error %v after %v", kind, servers, pause, body, runs, err, time.Since(start))
					}
				})
			}
		}
	}
}

// Guards against a request that is held for most of its time although no server answers.
func TestServersThatDoNotAnswerEndInARefusal(t *testing.T) {
	const dialTime, timeout = 250 * time.Millisecond, 6 * time.Second
	run(t, "", func(t *testing.T) {
		p := newPlainService(t, route.NonIdempotent, 3)
		start := time.Now()
		p.send = func(ctx context.Context, _ Attempt) (*Response, error) {
			if err := awaitOrEnd(ctx, dialTime); err != nil {
				return nil, &SendError{Err: err, NotSent: true}
			}
			return nil, &SendError{Err: errors.New("dial timeout"), NotSent: true, Unanswered: true}
		}
		_, err := p.serve(t.Context(), "r", timeout)
		_, refused := errors.AsType[*Refusal](err)
		if took := time.Since(start); !refused || took > timeout*2/3 {
			t.Errorf("error %v after %v", err, took)
		}
	})
}
