package edge_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// rawServer is a server whose bytes on a connection a test decides.
type rawServer struct {
	address string
	mu      sync.Mutex
	// runs counts by ID the requests that the server has run.
	runs map[string]int
}

// newRawServer serves each connection by a call of serve, with a function that
// reports the ID of the connection's next request and its body, or false at its end.
func newRawServer(t *testing.T, serve func(s *rawServer, conn net.Conn, next func() (*http.Request, string, bool))) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{address: l.Addr().String(), runs: make(map[string]int)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				serve(s, conn, func() (*http.Request, string, bool) {
					req, err := http.ReadRequest(r)
					if err != nil {
						return nil, "", false
					}
					body, err := io.ReadAll(req.Body)
					return req, string(body), err == nil
				})
			}()
		}
	}()
	return s
}

func (s *rawServer) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *rawServer) numRuns(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func rawAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: i-1.%s\r\nContent-Length: %d\r\n\r\n%s", stand.HeaderRequestID, id, stand.HeaderServerStamp, id, len(body), body)
}

// rawRefusal is the answer of a full server. If id is "", it does not name the request.
func rawRefusal(id string) string {
	name := ""
	if id != "" {
		name = stand.HeaderRequestID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + name + stand.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
}

// startSiteWith starts one instance before servers of which each has the given service
// and address.
func startSiteWith(t *testing.T, config map[string]any, addresses map[string]string) *testSite {
	t.Helper()
	s := newTestSite(t, 0, config)
	for service, address := range addresses {
		entry := stand.NewServer("i-"+service, service, "a")
		t.Cleanup(entry.Close)
		entry.AdvertisedAddress = address
		s.store.Put("servers", entry.ID, entry.Entry("ready"))
	}
	seeds := freeAddress(t)
	s.start("edge-0", freeAddress(t), seeds, freeAddress(t), seeds)
	s.eventually("the instance to be ready", func() bool { return s.getStatus(s.instances[0].operatorAddress+"/ready") == http.StatusOK })
	return s
}

// Guards against a faulty server that writes an earlier refusal once more on a kept
// connection: the caller was told that its request did not run although it did, or the
// request was sent again.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	t.Parallel()
	for name, refusalID := range map[string]func(string) string{
		"names the request": func(id string) string { return id },
		"names none":        func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The server refuses the second request on each connection, and every third
			// one after that. Before it answers a request that follows a refusal, it
			// writes that refusal again.
			server := newRawServer(t, func(s *rawServer, conn net.Conn, next func() (*http.Request, string, bool)) {
				refusal := ""
				for n := 0; ; n++ {
					req, _, ok := next()
					if !ok {
						return
					}
					id, text := stand.RequestID(req), refusal
					refusal = ""
					if n%3 == 1 {
						refusal = rawRefusal(refusalID(id))
						text += refusal
					} else {
						s.run(id)
						text += rawAnswer(id, "answer to "+id)
					}
					if _, err := conn.Write([]byte(text)); err != nil {
						return
					}
				}
			})
			s := startSiteWith(t, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), map[string]string{"desk": server.address})
			const requests = 20
			answered := 0
			for i := range requests {
				id := fmt.Sprint("r-", i)
				got := s.post(0, "/book/1", id)
				time.Sleep(5 * time.Millisecond)
				runs := server.numRuns(id)
				if runs > 1 {
					t.Errorf("request %s ran %d times", id, runs)
				}
				if runs > 0 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
					t.Errorf("request %s ran and was answered %d, which says that it did not", id, got.status)
				}
				if got.status == http.StatusOK {
					answered++
					if got.body != "answer to "+id {
						t.Errorf("request %s got %q", id, got.body)
					}
				}
			}
			if answered == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

// Guards against the same on the connections of stage calls, whose answers name no
// call: the answer to one call was taken for that to the next, and pieces of one
// request went into another.
func TestRepeatedRefusalOfAStageCallShiftsNoAnswers(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	madeFor := make(map[string]string)
	// Every third call is refused at once. The refusal is written again while the next
	// call of the connection is being worked on.
	photos := newRawServer(t, func(_ *rawServer, conn net.Conn, next func() (*http.Request, string, bool)) {
		refused := false
		write := func(text string) { _, _ = conn.Write([]byte(text)) }
		for n := 0; ; n++ {
			req, body, ok := next()
			if !ok {
				return
			}
			if !strings.HasSuffix(req.URL.Path, "run") {
				write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			if n%3 == 1 {
				write(rawRefusal(""))
				refused = true
				continue
			}
			if refused {
				refused = false
				write(rawRefusal(""))
			}
			time.Sleep(150 * time.Millisecond)
			var call struct {
				Items []struct {
					ID    string `json:"id"`
					Piece int    `json:"piece"`
				} `json:"items"`
			}
			if err := json.Unmarshal([]byte(body), &call); err != nil {
				t.Error(err)
				return
			}
			var items []string
			mu.Lock()
			for _, it := range call.Items {
				handle := fmt.Sprintf("%s/%s-%d-%d", conn.LocalAddr(), it.ID, it.Piece, len(madeFor))
				madeFor[handle] = it.ID
				items = append(items, fmt.Sprintf(`{"handle":%q}`, handle))
			}
			mu.Unlock()
			answer := `{"items":[` + strings.Join(items, ",") + "]}"
			write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer))
		}
	})
	engine := stand.NewServer("e-1", "llm", "a")
	t.Cleanup(engine.Close)
	engine.NumEvents = 1
	r := routeSpec("draft", "streaming", "llm", map[string]any{
		"timeoutMs": 3000, "targetLatencyMs": 1500, "stages": []any{map[string]any{"service": "photos", "after": []int{}, "bytes": 10}},
	})
	s := startSiteWith(t, configSpec(1, apiKeys, r), map[string]string{"photos": photos.address})
	s.store.Put("servers", "e-1", engine.Entry("ready"))
	time.Sleep(propagationBound / 4)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			s.send(t.Context(), 0, http.MethodPost, "/draft/1", fmt.Sprint("r-", i), http.Header{
				stand.HeaderPieces: {"2"}, stand.HeaderPieceKey: {fmt.Sprint("k-", i)},
			}, "")
		})
	}
	wg.Wait()
	heads, _ := engine.Requests()
	mu.Lock()
	defer mu.Unlock()
	for _, head := range heads {
		for handle := range strings.SplitSeq(head.Header.Get(stand.HeaderInputs), ",") {
			if id := head.Header.Get(stand.HeaderRequestID); madeFor[handle] != id {
				t.Errorf("request %s was given a result made for request %q", id, madeFor[handle])
			}
		}
	}
	if len(heads) == 0 {
		t.Error("no request reached the engine")
	}
}

// Guards against a customer who pays twice: a server that had run a request and failed after it
// answered with a status that promises that nothing ran, and that was relayed. The 502 in its
// place bears neither the server's stamp nor its time to return.
func TestServersFailureAfterRunIsNoRefusal(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, kind := range []string{"non_idempotent", "idempotent"} {
			t.Run(fmt.Sprintf("%s/%d", kind, status), func(t *testing.T) {
				t.Parallel()
				server := newRawServer(t, func(s *rawServer, conn net.Conn, next func() (*http.Request, string, bool)) {
					for {
						req, _, ok := next()
						if !ok {
							return
						}
						id := stand.RequestID(req)
						s.run(id)
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Failed\r\n%s: %s\r\n%s: i-1.%s\r\nRetry-After: 1\r\nContent-Length: 6\r\n\r\nfailed", status, stand.HeaderRequestID, id, stand.HeaderServerStamp, id)
					}
				})
				s := startSiteWith(t, configSpec(1, apiKeys, routeSpec("book", kind, "desk", nil)), map[string]string{"desk": server.address})
				got := s.post(0, "/book/1", "r-1")
				if kind == "idempotent" {
					if got.status != status || got.header.Get(stand.HeaderServerStamp) == "" {
						t.Errorf("status %d, header %v, error %v, want the server's answer", got.status, got.header, got.err)
					}
					return
				}
				if got.status != http.StatusBadGateway || got.header.Get(stand.HeaderServerStamp) != "" || got.header.Get("Retry-After") != "" {
					t.Errorf("status %d, header %v, error %v, want 502 of the instance's own", got.status, got.header, got.err)
				}
				if runs := server.numRuns("r-1"); runs != 1 {
					t.Errorf("the request ran %d times", runs)
				}
			})
		}
	}
}
