package front_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"chervilpath/core/memory"
	"chervilpath/core/relay"
	"chervilpath/io/front"
)

// startFront serves callers on loopback and returns the address.
func startFront(tb testing.TB, deps front.Deps, waiting *memory.Waiting) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	limits := func() front.Limits {
		return front.Limits{HeaderBytes: 1 << 16, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}
	server := &http.Server{Handler: front.New(deps), ConnState: front.TrackState, ConnContext: front.ConnContext}
	go func() { _ = server.Serve(front.NewListener(ln, limits, waiting)) }()
	tb.Cleanup(func() { _ = server.Close() })
	return "http://" + ln.Addr().String()
}

// processTime returns the processor time that the process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAnswers compares the processor time of answers to callers that read at usual speed,
// with writes that wait for them and with a bound on what waits. The time includes the caller's.
func BenchmarkAnswers(b *testing.B) {
	const events = 100
	event := append(bytes.Repeat([]byte("x"), 200), "\n\n"...)
	for _, kind := range []struct {
		name  string
		serve func(relay.ResponseWriter)
	}{
		{"100 events", func(w relay.ResponseWriter) {
			w.WriteHeader(http.StatusOK, nil)
			for range events {
				_ = w.Write(event)
			}
		}},
		{"2 KiB", func(w relay.ResponseWriter) { w.Respond(http.StatusOK, nil, make([]byte, 2<<10)) }},
		{"900 KiB", func(w relay.ResponseWriter) { w.Respond(http.StatusOK, nil, make([]byte, 900<<10)) }},
	} {
		for _, v := range []struct {
			name    string
			waiting *memory.Waiting
		}{{"waits", nil}, {"bounded", memory.NewWaiting(18 << 20)}} {
			b.Run(kind.name+"/"+v.name, func(b *testing.B) {
				deps := newDeps(nil)
				deps.Serve = func(_ context.Context, _ *relay.Request, w relay.ResponseWriter) (bool, error) {
					kind.serve(w)
					return true, nil
				}
				address := startFront(b, deps, v.waiting)
				start := processTime()
				for b.Loop() {
					resp, err := http.Get(address)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				b.ReportMetric(float64((processTime()-start).Microseconds())/float64(b.N), "cpu-us/op")
			})
		}
	}
}
