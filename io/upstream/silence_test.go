package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chervilpath/core/fleet"
	"chervilpath/core/relay"
)

// pausePoint is where a server falls silent.
type pausePoint string

const (
	pauseBeforeAccept pausePoint = "before accepting"
	pauseBeforeBody   pausePoint = "before reading"
	pauseWithinBody   pausePoint = "within the body"
	pauseBeforeHead   pausePoint = "before the head"
	pauseWithinHead   pausePoint = "within the head"
	pauseWithinAnswer pausePoint = "within the answer"

	answer          = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
	numKeptRequests = 2

	// A machine that is gone may go unnoticed for maxDetectionTime, or for
	// maxClosedWindowTime if it may have had no window for the rest of a body.
	maxDetectionTime    = 2500 * time.Millisecond
	maxClosedWindowTime = 5 * time.Second
	// delayedAckTime is more than the time for which Linux delays an acknowledgement.
	delayedAckTime = 100 * time.Millisecond
)

var errPaused = errors.New("the server ends after its pause")

// serveWithPause serves the requests of one connection and calls pause once, at the
// given point of the last of them. It ends with the error of pause, if any.
func serveWithPause(l net.Listener, at pausePoint, pause func(*net.TCPConn) error) error {
	if at == pauseBeforeAccept {
		if err := pause(nil); err != nil {
			return err
		}
	}
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	pauseAt := func(p pausePoint) error {
		if at == p {
			return pause(conn.(*net.TCPConn))
		}
		return nil
	}
	r := bufio.NewReader(conn)
	for n := range numKeptRequests {
		last := n == numKeptRequests-1
		if last {
			if err := pauseAt(pauseBeforeBody); err != nil {
				return err
			}
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return err
		}
		if last && at == pauseWithinBody {
			if _, err := io.CopyN(io.Discard, req.Body, req.ContentLength/2); err != nil {
				return err
			}
			if err := pauseAt(pauseWithinBody); err != nil {
				return err
			}
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return err
		}
		if !last {
			if _, err := io.WriteString(conn, answer); err != nil {
				return err
			}
			continue
		}
		if err := pauseAt(pauseBeforeHead); err != nil {
			return err
		}
		for _, part := range []struct {
			text string
			next pausePoint
		}{{answer[:20], pauseWithinHead}, {answer[20 : len(answer)-3], pauseWithinAnswer}, {answer[len(answer)-3:], ""}} {
			if _, err := io.WriteString(conn, part.text); err != nil {
				return err
			}
			if err := pauseAt(part.next); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendKept sends requests with a body of the given size over one connection, and
// returns the first error.
func sendKept(ctx context.Context, address string, size int) error {
	client := newClient()
	for range numKeptRequests {
		resp, err := client.Send(ctx, relay.Attempt{
			Request: &relay.Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/x", Body: make([]byte, size)},
			Server:  fleet.Server{ID: "s", Address: address},
		})
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if string(body) != "answer" {
			return fmt.Errorf("received %q", body)
		}
	}
	return nil
}

// Guards against a send that ends because its server, which is sound, is silent for a
// while: it reads nothing or answers nothing, on a new connection or a kept one.
func TestSilentServerKeepsItsRequest(t *testing.T) {
	var wg sync.WaitGroup
	for _, size := range []int{100, 200 << 10, 4 << 20} {
		for _, at := range []pausePoint{pauseBeforeAccept, pauseBeforeBody, pauseWithinBody, pauseBeforeHead, pauseWithinHead, pauseWithinAnswer} {
			for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond, 2500 * time.Millisecond} {
				wg.Go(func() {
					sendErr, serveErr := sendToPausing(t, size, at, func(*net.TCPConn) error { time.Sleep(pause); return nil })
					if sendErr != nil || serveErr != nil {
						t.Errorf("%d bytes, %v %s: error %v, at the server %v", size, pause, at, sendErr, serveErr)
					}
				})
			}
		}
	}
	wg.Wait()
}

// Guards against a send that waits for a machine that is gone: one that acknowledges
// nothing is noticed soon, before and within a body of any size, and while it is to
// answer.
func TestMachineThatIsGoneEndsTheSend(t *testing.T) {
	var wg sync.WaitGroup
	for _, size := range []int{100, 200 << 10, 4 << 20} {
		for _, at := range []pausePoint{pauseBeforeBody, pauseWithinBody, pauseBeforeHead, pauseWithinAnswer} {
			wg.Go(func() {
				var gone time.Time
				sendErr, serveErr := sendToPausing(t, size, at, func(conn *net.TCPConn) error {
					if at == pauseWithinAnswer {
						time.Sleep(delayedAckTime)
					}
					gone = time.Now()
					err := dropIncoming(conn)
					time.Sleep(maxClosedWindowTime)
					return errors.Join(err, errPaused)
				})
				limit := maxDetectionTime
				if at == pauseWithinBody && size > 100 {
					limit = maxClosedWindowTime
				}
				if sendErr == nil {
					t.Errorf("%d bytes, gone %s: no error", size, at)
					return
				}
				took := sendErr.at.Sub(gone)
				if !errors.Is(sendErr, syscall.ETIMEDOUT) && !errors.Is(sendErr, syscall.EPIPE) || took > limit {
					t.Errorf("%d bytes, gone %s: error %v after %v", size, at, sendErr, took)
				}
				if !errors.Is(serveErr, errPaused) {
					t.Errorf("%d bytes, gone %s: error %v at the server", size, at, serveErr)
				}
			})
		}
	}
	wg.Wait()
}

// timedError is the error of a send and the time at which it came.
type timedError struct {
	error
	at time.Time
}

func (e *timedError) Unwrap() error { return e.error }

// sendToPausing sends requests to a server that pauses. It returns the error of the
// sends, or nil, and that of the server.
func sendToPausing(t *testing.T, size int, at pausePoint, pause func(*net.TCPConn) error) (sendErr *timedError, serveErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	served := make(chan error, 1)
	go func() { served <- serveWithPause(l, at, pause) }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := sendKept(ctx, l.Addr().String(), size); err != nil {
		sendErr = &timedError{err, time.Now()}
	}
	return sendErr, <-served
}

// dropIncoming has the kernel drop all segments that arrive for a connection, as if
// its machine were gone.
func dropIncoming(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}})
	})
	return errors.Join(err, optErr)
}

// Guards against a server whose queue of new connections is full for a while and that
// is taken for one that is gone: the send says that nothing answered, and a later one is
// served.
func TestFullQueueOfConnectionsIsReportedAsUnanswered(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = f.Close() }()
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	// A queue of length 0 takes one connection.
	queued, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = queued.Close() }()
	err = sendKept(t.Context(), l.Addr().String(), 100)
	if sendErr, ok := errors.AsType[*relay.SendError](err); !ok || !sendErr.NotSent || !sendErr.Unanswered {
		t.Errorf("error %v, want a SendError with NotSent and Unanswered", err)
	}
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	served := make(chan error, 1)
	go func() { served <- serveWithPause(l, pauseBeforeAccept, func(*net.TCPConn) error { return nil }) }()
	if err := sendKept(t.Context(), l.Addr().String(), 100); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Errorf("the server: %v", err)
	}
}
