package front_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chervilpath/core/fault"
	"chervilpath/core/memory"
	"chervilpath/core/relay"
)

const (
	numSlowEvents = 200
	callerPause   = 700 * time.Millisecond
)

var slowEvent = append(bytes.Repeat([]byte("x"), 10_000), "\n\n"...)

// newSlowClient returns a client whose connections have a small receive buffer.
func newSlowClient(t *testing.T) *http.Client {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10) })
	}}
	transport := &http.Transport{DialContext: dialer.DialContext}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// slowServer serves an answer, and returns its address, the time that the writes took, and the
// errors of the requests that were aborted.
func slowServer(t *testing.T, room int64, serve func(relay.ResponseWriter) error) (address string, took chan time.Duration, aborted chan error, waiting *memory.Waiting) {
	took, aborted, waiting = make(chan time.Duration, 100), make(chan error, 100), memory.NewWaiting(room)
	deps := newDeps(nil)
	deps.Serve = func(_ context.Context, _ *relay.Request, w relay.ResponseWriter) (bool, error) {
		start := time.Now()
		err := serve(w)
		took <- time.Since(start)
		return true, err
	}
	deps.RequestAborted = func(_ string, err error) { aborted <- err }
	return startFront(t, deps, waiting), took, aborted, waiting
}

func serveEvents(w relay.ResponseWriter) error {
	w.WriteHeader(http.StatusOK, nil)
	for range numSlowEvents {
		if err := w.Write(slowEvent); err != nil {
			return err
		}
	}
	return nil
}

// Guards against servers that are left unread, and answers that are lost, because their caller
// reads nothing for a while: all of it is delivered later, on a connection that is used again.
func TestSlowCallerGetsAllOfItsAnswer(t *testing.T) {
	whole := bytes.Repeat([]byte("y"), 900<<10)
	for name, tt := range map[string]struct {
		serve func(relay.ResponseWriter) error
		want  []byte
	}{
		"stream": {serveEvents, bytes.Repeat(slowEvent, numSlowEvents)},
		"answer": {func(w relay.ResponseWriter) error {
			w.Respond(http.StatusOK, map[string][]string{"Content-Length": {"921600"}}, whole)
			return nil
		}, whole},
	} {
		t.Run(name, func(t *testing.T) {
			address, took, aborted, waiting := slowServer(t, 8<<20, tt.serve)
			client := newSlowClient(t)
			for range 2 {
				resp, err := client.Get(address)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(callerPause)
				select {
				case d := <-took:
					if d > callerPause/2 {
						t.Errorf("the writes took %v", d)
					}
				default:
					t.Error("the writes wait for the caller")
				}
				if used, readers, _ := waiting.Used(); used == 0 || readers != 1 {
					t.Errorf("%d bytes wait for %d callers", used, readers)
				}
				got, err := io.ReadAll(resp.Body)
				if err != nil || !bytes.Equal(got, tt.want) {
					t.Errorf("%d of %d bytes, error %v", len(got), len(tt.want), err)
				}
				_ = resp.Body.Close()
			}
			if used, _, ended := waiting.Used(); used != 0 || ended != 0 || len(aborted) != 0 {
				t.Errorf("%d bytes are left, %d callers were ended", used, ended)
			}
		})
	}
}

// Guards against an answer that looks complete and is not: the slowest caller is ended by a reset
// when there is no room, and a quick one is served meanwhile.
func TestSlowestCallerIsEndedByAReset(t *testing.T) {
	address, _, aborted, waiting := slowServer(t, 3<<20, serveEvents)
	first, err := newSlowClient(t).Get(address)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(callerPause)
	second, err := newSlowClient(t).Get(address)
	if err != nil {
		t.Fatal(err)
	}
	quick, err := http.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	for _, resp := range []*http.Response{quick, second} {
		if data, err := io.ReadAll(resp.Body); err != nil || len(data) != numSlowEvents*len(slowEvent) {
			t.Errorf("%d of %d bytes, error %v", len(data), numSlowEvents*len(slowEvent), err)
		}
		_ = resp.Body.Close()
	}
	if data, err := io.ReadAll(first.Body); err == nil {
		t.Errorf("the answer to the slowest caller looks complete after %d bytes", len(data))
	}
	_ = first.Body.Close()
	if err := <-aborted; !errors.Is(err, memory.ErrTooSlow) || relay.CauseOfAbort(err, false) != relay.SlowCaller {
		t.Errorf("error %v of cause %v", err, relay.CauseOfAbort(err, false))
	}
	if _, _, ended := waiting.Used(); ended != 1 {
		t.Errorf("%d callers were ended, want 1", ended)
	}
}

// Guards against a stream that broke off while its caller read slowly and looks complete then, or
// is cut before the last event that had come.
func TestBrokenStreamToASlowCallerIsNotComplete(t *testing.T) {
	address, _, aborted, _ := slowServer(t, 8<<20, func(w relay.ResponseWriter) error {
		if err := serveEvents(w); err != nil {
			return err
		}
		return fault.Errorf(fault.AnswerIncomplete, "the stream broke")
	})
	resp, err := newSlowClient(t).Get(address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(callerPause)
	data, err := io.ReadAll(resp.Body)
	if err == nil || len(data) != numSlowEvents*len(slowEvent) {
		t.Errorf("%d of %d bytes, error %v", len(data), numSlowEvents*len(slowEvent), err)
	}
	if err := <-aborted; fault.From(err).Kind() != fault.AnswerIncomplete {
		t.Errorf("error %v", err)
	}
}
