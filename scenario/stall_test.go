package scenario_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

const (
	// stallIdleTime is how long an instance keeps an idle connection: the configuration's
	// limit and the propagation time.
	stallIdleTime = 500*time.Millisecond + 2*time.Second

	// The process stands still from stallBefore before the end of the idle time of
	// stallConns connections until stallAfter after it. Their requests come at stallSend
	// before it.
	stallBefore = 140 * time.Millisecond
	stallSend   = 100 * time.Millisecond
	stallAfter  = 110 * time.Millisecond
	stallConns  = 40

	// minStallLeft is the least time before the end of the idle time at which a request
	// counts as sent in time.
	minStallLeft = 10 * time.Millisecond
)

// Guards against requests that get no answer: a process that stood still across the end of a
// connection's idle time closed it although a request had come in time.
func TestRequestThatCameInTimeIsAnsweredAfterAStall(t *testing.T) {
	t.Parallel()
	s := startStopSite(t)
	s.putSpec(map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 500, "idleTimeoutMs": 500})
	// The limits hold for connections that become idle from now on.
	time.Sleep(versionTime)
	var ready, done sync.WaitGroup
	var inTime atomic.Int64
	var idleSince time.Time
	start := make(chan struct{})
	for i := range stallConns {
		conn, err := net.Dial("tcp", s.callerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		ready.Add(1)
		done.Go(func() {
			// The connection is idle later than this.
			idleAfter := time.Now()
			err := exchange(conn, r, fmt.Sprint("first-", i))
			ready.Done()
			if err != nil {
				t.Errorf("the first request of connection %d: %v", i, err)
				return
			}
			<-start
			time.Sleep(time.Until(idleSince.Add(stallIdleTime - stallSend)))
			sent := time.Now()
			err = exchange(conn, r, fmt.Sprint("second-", i))
			if time.Now().Before(idleAfter.Add(stallIdleTime)) || !sent.Before(idleAfter.Add(stallIdleTime-minStallLeft)) {
				// The stall did not matter, or this machine sent the request too late.
				return
			}
			inTime.Add(1)
			if err != nil {
				t.Errorf("connection %d: a request that came before the end of the idle time: %v", i, err)
			}
		})
	}
	ready.Wait()
	idleSince = time.Now()
	close(start)
	time.Sleep(time.Until(idleSince.Add(stallIdleTime - stallBefore)))
	s.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(idleSince.Add(stallIdleTime + stallAfter)))
	s.signal(syscall.SIGCONT)
	done.Wait()
	if inTime.Load() == 0 {
		t.Error("no request came in time and waited for the end of the stall")
	}
}

// putSpec writes the second version of the configuration, with the given limits: the route look
// at plain servers and the route draft, which may be resumed, at engines.
func (s *stopSite) putSpec(limits map[string]any) {
	spec := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": stand.Host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": 5000, "targetLatencyMs": 300,
			"gapAimMs": 300, "maxAttempts": 2, "resumable": kind == "streaming",
		}
	}
	s.store.Put("config", "main", map[string]any{
		"version": 2, "tenants": []any{}, "limits": limits,
		"services": []any{
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 200},
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConns": 200, "engine": map[string]any{"slots": 32, "kvCapacity": 100000}},
		},
		"routes": []any{spec("look", "idempotent", "desk"), spec("draft", "streaming", "llm")},
	})
}

// exchange sends a request on a connection and reads a successful response.
func exchange(conn net.Conn, r *bufio.Reader, id string) error {
	text := fmt.Sprintf("POST /look/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\nContent-Length: 4\r\n\r\nbody", stand.Host, stand.HeaderRequestID, id, stand.HeaderDeadline)
	if _, err := io.Copy(conn, strings.NewReader(text)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
