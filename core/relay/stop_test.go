package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

// stopEnd is when the requests of a stopRig that have not begun to answer are ended.
const stopEnd = 3 * time.Second

// stopRig is a relay in a planned shutdown, before the plain service desk with one
// server and the engine service llm with one engine.
type stopRig struct {
	deps  Deps
	view  *fleet.View
	start time.Time

	mu sync.Mutex
	// sentAt holds the time of each send, and cancelledAt those at which a send was
	// cancelled.
	sentAt, cancelledAt []time.Duration
}

// newStopRig returns a relay whose shutdown began now. send answers what is sent.
func newStopRig(t *testing.T, slots int, send func(ctx context.Context, a Attempt) (*Response, error)) *stopRig {
	t.Helper()
	table, err := route.New(1, []route.Route{
		{Name: "book", Host: "h", Prefix: "/book/", Timeout: time.Minute, Public: true, MaxAttempts: 2, Targets: []route.Target{{Service: "desk", Weight: 1}}},
		{Name: "draft", Host: "h", Prefix: "/draft/", Kind: route.Streaming, Timeout: time.Minute, TargetLatency: 10 * time.Second, Public: true, MaxAttempts: 2, Targets: []route.Target{{Service: "llm", Weight: 1}}},
	}, []route.Service{{Name: "desk"}, {Name: "llm", Engine: &route.EngineConfig{Slots: 8}}}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	rig := &stopRig{view: fleet.New(time.Second), start: time.Now()}
	rig.view.Replace(time.Now(), []fleet.Server{{ID: "d-1", Service: "desk", Address: "a:1"}, {ID: "e-1", Service: "llm", Address: "b:1"}}, 1)
	clock := stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }}
	desk := stage.New(declare.NewStage("desk", 512, []*declare.Endpoint{declare.NewEndpoint("d-1", "a:1", "", slots)}), "i", 1, clock, rand.New(rand.NewPCG(1, 1)), stage.Policy{})
	ctx, end := context.WithCancel(context.Background())
	time.AfterFunc(stopEnd, end)
	rig.deps = Deps{
		Quarantine: newTracker(),
		Clock:      clock, AwaitReady: func(context.Context) bool { return true },
		Table: func() *route.Table { return table }, Random: func() float64 { return 0 }, Log: func(Decision) {},
		Shutdown: func() Shutdown {
			return Shutdown{RestrictFrom: rig.start.Add(time.Second), End: rig.start.Add(stopEnd)}
		},
		ShutdownCtx: ctx, RecordCall: func(string) {}, AllowRetry: func(string) bool { return true },
		Servers: func() *fleet.Snapshot { return rig.view.Snapshot() }, ResultZone: func(string) string { return "" }, FreeResults: func(string, []string) {},
		Place:      func(context.Context, string, engine.Query) (string, error) { return "e-1", nil },
		Settle:     func(string, string, string, balance.Outcome) {},
		PlainStage: func(string) *stage.Stage { return desk },
		Send: func(ctx context.Context, a Attempt) (*Response, error) {
			rig.note(&rig.sentAt)
			resp, err := send(ctx, a)
			if ctx.Err() != nil {
				rig.note(&rig.cancelledAt)
			}
			return resp, err
		},
	}
	return rig
}

func (rig *stopRig) note(times *[]time.Duration) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	*times = append(*times, time.Since(rig.start))
}

// serve serves a request and returns what the caller gets.
func (rig *stopRig) serve(path string, w ResponseWriter) (started bool, err error) {
	return New(rig.deps).Serve(context.Background(), &Request{ID: "r", Host: "h", Path: path, Timeout: 30 * time.Second, Arrived: time.Now()}, w)
}

// hangs is a server that does not answer.
func hangs(ctx context.Context, _ Attempt) (*Response, error) {
	<-ctx.Done()
	return nil, &SendError{Err: ctx.Err()}
}

// Requests that waited in a queue, for a placement or for servers that wanted none were
// closed unanswered at the end of a planned stop.
func TestWaitingRequestIsRefusedBeforeShutdownEnds(t *testing.T) {
	for name, tt := range map[string]struct {
		path   string
		change func(rig *stopRig)
	}{
		"queue": {"/book/x", func(rig *stopRig) {
			for range 3 {
				go func() { _, _ = rig.serve("/book/x", ResponseWriter{}) }()
			}
			synctest.Wait()
		}},
		"place": {"/draft/x", func(rig *stopRig) {
			rig.deps.Place = func(ctx context.Context, _ string, _ engine.Query) (string, error) {
				<-ctx.Done()
				return "", nil
			}
		}},
		"return of a plain server": {"/book/x", func(rig *stopRig) {
			rig.view.Exclude(fleet.Incarnation{ID: "d-1"}, time.Now().Add(10*time.Second))
		}},
		"return of an engine": {"/draft/x", func(rig *stopRig) {
			rig.view.Exclude(fleet.Incarnation{ID: "e-1"}, time.Now().Add(10*time.Second))
		}},
		"start": {"/book/x", func(rig *stopRig) {
			rig.deps.AwaitReady = func(ctx context.Context) bool {
				<-ctx.Done()
				return false
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rig := newStopRig(t, 1, hangs)
				tt.change(rig)
				sends := len(rig.sentAt)
				_, err := rig.serve(tt.path, ResponseWriter{})
				if f := fault.From(err); f.Kind() != fault.Draining || f.Ran() != fault.RanNo {
					t.Errorf("the request ends with %v (%v, ran %v), want a refusal since the instance shuts down", err, f.Kind(), f.Ran())
				}
				if took := time.Since(rig.start); took != stopEnd {
					t.Errorf("the request ended after %v, want %v", took, stopEnd)
				}
				synctest.Wait()
				if len(rig.sentAt) != sends {
					t.Errorf("it was sent to a server at %v", rig.sentAt[sends:])
				}
			})
		})
	}
}

// A request whose server had not answered was closed unanswered at the end of a planned
// stop; its work must end as well.
func TestSentRequestIsAnsweredBeforeShutdownEnds(t *testing.T) {
	for _, path := range []string{"/book/x", "/draft/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rig := newStopRig(t, 1, hangs)
				started, err := rig.serve(path, ResponseWriter{})
				if f := fault.From(err); started || f.Kind() != fault.EndpointFailed || f.Ran() != fault.RanUnknown {
					t.Errorf("the request ends with %v (%v, ran %v, started %v), want an error that promises nothing", err, f.Kind(), f.Ran(), started)
				}
				if len(rig.cancelledAt) != 1 || rig.cancelledAt[0] != stopEnd {
					t.Errorf("the work at the server was cancelled at %v, want once after %v", rig.cancelledAt, stopEnd)
				}
			})
		})
	}
}

// What is ended leaves its place to requests that wait: they were sent to a server at the
// very end of a planned stop and cut off.
func TestNothingIsSentAfterShutdownEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newStopRig(t, 4, hangs)
		done := make(chan struct{})
		for range 60 {
			go func() {
				defer func() { done <- struct{}{} }()
				_, _ = rig.serve("/book/x", ResponseWriter{})
			}()
		}
		for range 60 {
			<-done
		}
		for _, at := range rig.sentAt {
			if at >= stopEnd {
				t.Errorf("a request was sent to a server after %v", at)
			}
		}
	})
}

// A stream that has begun goes on after the requests that have not are ended.
func TestStartedStreamGoesOnWhenShutdownEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newStopRig(t, 1, func(ctx context.Context, _ Attempt) (*Response, error) {
			body := struct {
				io.Reader
				io.Closer
			}{io.LimitReader(&drip{ctx: ctx, pause: 500 * time.Millisecond, pieces: []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n", "id: 4\n\n", "id: 5\n\n", "id: 6\n\n", "id: 7\n\n", "id: 8\n\n"}}, 8*7), io.NopCloser(nil)}
			return &Response{Status: http.StatusOK, EventStream: true, Body: body}, nil
		})
		written := 0
		started, err := rig.serve("/draft/x", ResponseWriter{WriteHeader: func(int, map[string][]string) {}, Write: func(p []byte) error { written += len(p); return nil }})
		if !started || err != nil || written != 8*7 {
			t.Errorf("started %v, %d bytes, error %v; want the whole stream", started, written, err)
		}
	})
}

// A head that comes when the request has been ended must not be written: the stream
// would break off at once.
func TestStreamDoesNotBeginAfterShutdownEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newStopRig(t, 1, func(ctx context.Context, _ Attempt) (*Response, error) {
			<-ctx.Done()
			return &Response{Status: http.StatusOK, EventStream: true, Body: &drip{ctx: context.Background(), pause: time.Millisecond, pieces: []string{"id: 1\n\n"}}}, nil
		})
		started, err := rig.serve("/draft/x", ResponseWriter{
			WriteHeader: func(int, map[string][]string) { t.Error("the head was written") },
			Write:       func([]byte) error { t.Error("an event was written"); return errors.New("closed") },
		})
		if f := fault.From(err); started || f.Kind() != fault.EndpointFailed || f.Ran() != fault.RanUnknown {
			t.Errorf("the request ends with %v (%v, ran %v, started %v), want an error that promises nothing", err, f.Kind(), f.Ran(), started)
		}
	})
}

// pausedEnd is a body that ends without an event after a pause, whoever cancels it.
type pausedEnd time.Duration

func (p pausedEnd) Read([]byte) (int, error) {
	time.Sleep(time.Duration(p))
	return 0, io.EOF
}

func (p pausedEnd) Close() error { return nil }

// Guards against a success without a server's head: net/http sends one for a request that
// ends without an error and without a response.
func TestEmptyStreamThatEndsAfterShutdownIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newStopRig(t, 1, func(context.Context, Attempt) (*Response, error) {
			return &Response{Status: http.StatusOK, EventStream: true, Body: pausedEnd(stopEnd + time.Second)}, nil
		})
		started, err := rig.serve("/draft/x", ResponseWriter{WriteHeader: func(int, map[string][]string) { t.Error("the head was written") }})
		if f := fault.From(err); started || err == nil || f.Kind() != fault.EndpointFailed || f.Ran() != fault.RanUnknown {
			t.Errorf("started %v, error %v, want an error that promises nothing", started, err)
		}
	})
}
