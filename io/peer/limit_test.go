package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilpath/io/peer"
	"chervilpath/io/peer/peerpb"
	"chervilpath/io/upstream"
)

// maxTaken is what may be taken from an address that sends without end: the largest reply of
// the call, and what sockets and buffers hold of a body whose reader has closed.
func maxTaken(limit int64) int64 { return limit + 16<<20 }

// Guards against a process that runs out of memory: an address of an instance that is gone was
// in use again, by a server that answered a call with bytes without end.
func TestEndlessReplyOfAPeerIsEnded(t *testing.T) {
	calls := map[string]struct {
		limit int64
		call  func(context.Context, peerpb.Peer) error
	}{
		"Follow": {8 << 20, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Follow(ctx, &peerpb.FollowRequest{})
			return err
		}},
		"Ping": {1 << 20, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Ping(ctx, &peerpb.PingRequest{})
			return err
		}},
		"Sync": {1 << 20, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Sync(ctx, &peerpb.SyncRequest{})
			return err
		}},
		"Place": {1 << 20, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Place(ctx, &peerpb.PlaceRequest{})
			return err
		}},
		"Work": {1 << 20, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Work(ctx, &peerpb.WorkRequest{})
			return err
		}},
		"Settle": {1 << 20, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Settle(ctx, &peerpb.SettleRequest{})
			return err
		}},
		"Free": {1 << 20, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Free(ctx, &peerpb.FreeRequest{})
			return err
		}},
	}
	for name, c := range calls {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			for _, length := range []string{"", fmt.Sprint(int64(1) << 40)} {
				t.Run(fmt.Sprintf("%s/%d/length %s", name, status, length), func(t *testing.T) {
					sent := make(chan int64, 1)
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						w.Header().Set("Content-Type", "application/protobuf")
						if length != "" {
							w.Header().Set("Content-Length", length)
						}
						w.WriteHeader(status)
						n, chunk := int64(0), bytes.Repeat([]byte("x"), 64<<10)
						for {
							m, err := w.Write(chunk)
							if n += int64(m); err != nil || n > 64<<20 {
								sent <- n
								return
							}
						}
					}))
					defer server.Close()
					clients := peer.NewClients("", upstream.NewTransport(), nil, time.Now)
					ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
					defer cancel()
					if err := c.call(ctx, clients.For(strings.TrimPrefix(server.URL, "http://"))); err == nil {
						t.Error("the call succeeded")
					}
					if ctx.Err() != nil {
						t.Error("only the time of the call ended it")
					}
					if n := <-sent; n > maxTaken(c.limit) {
						t.Errorf("%d MiB were taken, want at most %d", n>>20, maxTaken(c.limit)>>20)
					}
				})
			}
		}
	}
}
