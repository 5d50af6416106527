package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"chervilpath/platform/stand"
)

// Guards against an error of the next server, after a stream had begun and broken off,
// that reaches the caller in the middle of its stream, or ends it as if it were
// complete.
func TestErrorAfterABrokenStreamStaysOutOfIt(t *testing.T) {
	t.Parallel()
	const events = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
	named := func(status, more string) func(id string) string {
		return func(id string) string {
			body := "the engine\n\nfailed\n\n"
			return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, stand.HeaderRequestID, id, more, len(body), body)
		}
	}
	stamp := stand.HeaderServerStamp + ": s\r\n"
	for name, next := range map[string]func(id string) string{
		"500":                   named("500 Internal Server Error", stamp),
		"503 that may have run": named("503 Service Unavailable", ""),
		"503 not run":           named("503 Service Unavailable", stand.HeaderNotExecuted+": 1\r\n"),
		"400":                   named("400 Bad Request", stamp),
		"409 not run":           named("409 Conflict", stand.HeaderNotExecuted+": 1\r\n"),
		"302":                   named("302 Found", stamp+"Location: /other\r\n"),
		"200 that is no stream": named("200 OK", stamp+"Content-Type: text/plain\r\n"),
		"200 with events again": func(id string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", stand.HeaderRequestID, id, stamp, len(events), events)
		},
		"a head that ends early": func(id string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Ty", stand.HeaderRequestID, id, stamp)
		},
		"no answer in the protocol": func(string) string { return "the engine failed\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int32
			serve := func(_ *rawServer, conn net.Conn, request func() (*http.Request, string, bool)) {
				req, _, ok := request()
				if !ok {
					return
				}
				id := stand.RequestID(req)
				text := next(id)
				if attempts.Add(1) == 1 {
					text = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", stand.HeaderRequestID, id, stamp, len(events), events)
				}
				_, _ = conn.Write([]byte(text))
			}
			r := routeSpec("draft", "streaming", "llm", map[string]any{"resumable": true, "sticky": true, "maxAttempts": 3})
			s := startSiteWith(t, configSpec(1, apiKeys, r), map[string]string{"llm": newRawServer(t, serve).address})
			second := stand.NewServer("e-2", "llm", "a")
			t.Cleanup(second.Close)
			second.AdvertisedAddress = newRawServer(t, serve).address
			s.store.Put("servers", "e-2", second.Entry("ready"))
			got := s.post(0, "/draft/1", "r-1")
			if got.status != http.StatusOK || got.body != events || got.err == nil {
				t.Errorf("status %d, body %q, error %v, want 200, the two events and a broken connection", got.status, got.body, got.err)
			}
			if n := attempts.Load(); n < 2 {
				t.Errorf("%d attempts, want another one after the stream broke off", n)
			}
		})
	}
}
