package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// newRepeatingServer returns the address of a server that sends each answer on a
// connection a second time: before the answer to the next request if late is set, and
// at once otherwise. runs counts the requests that it has received.
func newRepeatingServer(t *testing.T, late bool) (address string, runs *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	runs = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				previous := ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					runs.Add(1)
					id := stand.RequestID(req)
					body := "answer to " + id
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: i-1.%s\r\nContent-Length: %d\r\n\r\n%s", stand.HeaderRequestID, id, stand.HeaderServerStamp, id, len(body), body)
					text := previous + answer
					if !late {
						text = answer + answer
					}
					if _, err := conn.Write([]byte(text)); err != nil {
						return
					}
					previous = answer
				}
			}()
		}
	}()
	return l.Addr().String(), runs
}

// A second, late copy of an answer on a connection in use again must not reach the
// caller of the next request, and no request runs twice because of it.
func TestLateCopyOfAnAnswerIsNotRelayed(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]bool{"at once": false, "before the next answer": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, runs := newRepeatingServer(t, late)
			s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)))
			entry := stand.NewServer("i-1", "desk", "a")
			t.Cleanup(entry.Close)
			entry.AdvertisedAddress = address
			s.store.Put("servers", "i-1", entry.Entry("ready"))
			seeds := freeAddress(t)
			s.start("edge-0", freeAddress(t), seeds, freeAddress(t), seeds)
			s.eventually("the instance to be ready", func() bool { return s.getStatus(s.instances[0].operatorAddress+"/ready") == http.StatusOK })
			const requests = 12
			answered := 0
			for i := range requests {
				id := fmt.Sprint("r-", i)
				got := s.post(0, "/book/1", id)
				if got.status == http.StatusOK && got.body != "answer to "+id {
					t.Errorf("request %s got %q", id, got.body)
				}
				if got.status == http.StatusOK {
					answered++
				}
				if i%3 == 0 {
					time.Sleep(20 * time.Millisecond)
				}
			}
			if n := runs.Load(); n > requests {
				t.Errorf("%d requests ran %d times", requests, n)
			}
			if answered < requests/3 {
				t.Errorf("%d of %d requests were answered", answered, requests)
			}
		})
	}
}
