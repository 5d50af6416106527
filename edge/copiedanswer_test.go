package edge_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// copyingStage is a server of a stage service that sends each answer to a stage call a second time:
// on the same connection, once the next call has arrived there and before that is worked on.
type copyingStage struct {
	// reasonsOf returns the reasons that the pieces of the n-th call have no results, or "" for
	// a piece that has one.
	reasonsOf func(n, pieces int) []string
	// calls counts all calls, and copies the answers that were sent again.
	calls, copies atomic.Int32

	mu sync.Mutex
	// madeFor holds the ID of the request for which a result was made, by handle.
	madeFor map[string]string
}

// workTime is how long a copyingStage works on a call. It is longer than the pause between two
// requests of the tests, so that the next call is at hand when a copy arrives.
const workTime = 60 * time.Millisecond

func (s *copyingStage) serve(_ *rawServer, conn net.Conn, next func() (*http.Request, string, bool)) {
	again := ""
	for {
		req, body, ok := next()
		if !ok {
			return
		}
		if !strings.HasSuffix(req.URL.Path, "run") {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			continue
		}
		if again != "" {
			s.copies.Add(1)
			_, _ = conn.Write([]byte(again))
		}
		time.Sleep(workTime)
		again = s.answer(conn.LocalAddr().String(), body)
		if _, err := conn.Write([]byte(again)); err != nil {
			return
		}
	}
}

func (s *copyingStage) answer(address, body string) string {
	var call struct {
		Items []struct {
			ID    string `json:"id"`
			Piece int    `json:"piece"`
		} `json:"items"`
	}
	_ = json.Unmarshal([]byte(body), &call)
	reasons := s.reasonsOf(int(s.calls.Add(1)), len(call.Items))
	var items []string
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, it := range call.Items {
		if reasons[i] != "" {
			items = append(items, fmt.Sprintf(`{"reason":%q}`, reasons[i]))
			continue
		}
		handle := fmt.Sprintf("%s/%s-%d-%d", address, it.ID, it.Piece, len(s.madeFor))
		s.madeFor[handle] = it.ID
		items = append(items, fmt.Sprintf(`{"handle":%q}`, handle))
	}
	out := `{"items":[` + strings.Join(items, ",") + "]}"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(out), out)
}

// Guards against a late copy of the answer to a stage call that is taken for the answer to the next
// one: answers without any result look alike, so that engines got the results of other requests.
func TestLateCopyOfAStageAnswerIsNotGivenToAnotherRequest(t *testing.T) {
	t.Parallel()
	// Every third call gets reasons, its pieces in turn.
	everyThird := func(reasons ...string) func(n, pieces int) []string {
		return func(n, pieces int) []string {
			out := make([]string, pieces)
			for i := range out {
				if n%3 == 0 {
					out[i] = reasons[i%len(reasons)]
				}
			}
			return out
		}
	}
	for name, reasonsOf := range map[string]func(n, pieces int) []string{
		"room":            everyThird("room"),
		"error":           everyThird("error"),
		"late":            everyThird("late"),
		"gone":            everyThird("gone"),
		"mixed reasons":   everyThird("room", "error"),
		"some results":    everyThird("", "room"),
		"results":         everyThird(""),
		"unknown reasons": everyThird("other"),
	} {
		for _, pieces := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d pieces", name, pieces), func(t *testing.T) {
				t.Parallel()
				stage := &copyingStage{reasonsOf: reasonsOf, madeFor: make(map[string]string)}
				photos := newRawServer(t, stage.serve)
				engine := stand.NewServer("e-1", "llm", "a")
				t.Cleanup(engine.Close)
				engine.NumEvents = 1
				config := configSpec(1, apiKeys, routeSpec("draft", "streaming", "llm", map[string]any{
					"timeoutMs": 3000, "targetLatencyMs": 1500, "stages": []any{map[string]any{"service": "photos", "after": []int{}, "bytes": 10}},
				}))
				// All calls have the same number of pieces.
				config["services"] = []any{config["services"].([]any)[2], map[string]any{"name": "photos", "pieces": map[string]any{
					"slots": 1, "queue": 2, "batch": pieces, "callMs": workTime.Milliseconds(), "itemMs": 1, "roomMb": 10, "handleS": 4,
				}}}
				s := startSiteWith(t, config, map[string]string{"photos": photos.address})
				s.store.Put("servers", "e-1", engine.Entry("ready"))
				time.Sleep(propagationBound / 4)
				const requests = 40
				var served atomic.Int32
				var wg sync.WaitGroup
				for i := range requests {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * workTime / 2)
						got := s.send(t.Context(), 0, http.MethodPost, "/draft/1", fmt.Sprint("r-", i), http.Header{
							stand.HeaderPieces: {fmt.Sprint(pieces)}, stand.HeaderPieceKey: {fmt.Sprint("k-", i)},
						}, "")
						if got.status == http.StatusOK {
							served.Add(1)
						}
					})
				}
				wg.Wait()
				heads, _ := engine.Requests()
				stage.mu.Lock()
				defer stage.mu.Unlock()
				for _, head := range heads {
					for handle := range strings.SplitSeq(head.Header.Get(stand.HeaderInputs), ",") {
						if id := head.Header.Get(stand.HeaderRequestID); stage.madeFor[handle] != id {
							t.Errorf("request %s was given a result made for request %q", id, stage.madeFor[handle])
						}
					}
				}
				if n := served.Load(); n < requests/3 {
					t.Errorf("%d of %d requests were served", n, requests)
				}
			})
		}
	}
}
