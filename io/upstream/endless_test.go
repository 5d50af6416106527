package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/core/relay"
)

// Bytes that are no answer and come without end, in the head or as interim responses,
// end the send long before its deadline, after a bounded number of bytes.
func TestEndlessHeadEndsTheSend(t *testing.T) {
	for name, texts := range map[string][2]string{
		"header fields":     {"HTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"},
		"one header field":  {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 1000)},
		"no line":           {"", strings.Repeat("x", 1000)},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\nX-Filler: " + strings.Repeat("x", 1000) + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			sent := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				n, err := conn.Write([]byte(texts[0]))
				for err == nil {
					var m int
					m, err = conn.Write([]byte(texts[1]))
					n += m
				}
				sent <- n
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			start := time.Now()
			_, err = newClient().Send(ctx, relay.Attempt{
				Request: &relay.Request{ID: "r", Method: http.MethodGet, Host: "h", Target: "/x"}, Server: fleet.Server{ID: "s", Address: l.Addr().String()},
			})
			if err == nil || time.Since(start) > 10*time.Second {
				t.Errorf("error %v after %v", err, time.Since(start))
			}
			const maxBuffered = 16 << 20
			if n := <-sent; n > maxBuffered {
				t.Errorf("%d bytes were taken from the server", n)
			}
		})
	}
}
