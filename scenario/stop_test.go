package scenario_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chervilpath/cmd"
	"chervilpath/platform/stand"
)

const (
	// processVariable makes the test binary run the command line instead of tests.
	processVariable = "CHERVILPATH_TEST_PROCESS"

	// headerWork is forwarded to the servers and says for how many milliseconds they
	// work on the request.
	headerWork = "Work-Ms"

	stopGrace = 8 * time.Second

	// lastOffset is the time after SIGTERM until which the platform's rules tolerate
	// that a request is cut off while its server works on it, and atWorkFrom the time
	// from which they tolerate it.
	lastOffset = 3 * time.Second
	atWorkFrom = stopGrace * 5 / 6

	// noSendsTime is the time before the end of the process in which nothing may reach a
	// server. Streams that have begun keep the process until the end.
	noSendsTime = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

type (
	// stopRequest is one request around the stop of an instance. Times count from
	// SIGTERM.
	stopRequest struct {
		route  string
		offset time.Duration
		// kept is set if it is sent on a connection that carried a request before.
		kept    bool
		chunked bool
		// work is how long the server takes, and deadline what the request says, or 0
		// if it says nothing.
		work, deadline time.Duration
		// bodyAt is when the last byte of the body is sent, or 0 if at once.
		bodyAt time.Duration
		pieces []int

		id     string
		status int
		err    error
		// started is set if the head of a response has come.
		started bool
		ended   time.Duration
		// reachedAt is when it first reached a server, or 0 if it did not.
		reachedAt time.Duration
	}

	// stopSite is an instance in a process of its own before servers of several
	// services.
	stopSite struct {
		t       *testing.T
		store   *stand.Store
		servers []*stand.Server
		process *exec.Cmd
		exited  chan struct{}
		log     *bytes.Buffer

		settingsFile, settings         string
		callerAddress, operatorAddress string
		sigterm                        time.Time

		mu      sync.Mutex
		reached map[string]time.Time
	}
)

func (r *stopRequest) String() string {
	connection := "new"
	if r.kept {
		connection = "kept"
	}
	reached := "no"
	if r.reachedAt != 0 {
		reached = seconds(r.reachedAt)
	}
	outcome := strconv.Itoa(r.status)
	if r.err != nil {
		outcome = "closed"
		if r.started {
			outcome = "broken off"
		}
	}
	return fmt.Sprintf("%-7s sent %5s body %5s %-4s chunked %-5v work %5s deadline %5s: %-10s at %5s, reached a server: %s",
		r.route, seconds(r.offset), seconds(r.bodyAt), connection, r.chunked, seconds(r.work), seconds(r.deadline), outcome, seconds(r.ended), reached)
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

func (s *stopSite) addServers(service string, n int, change func(*stand.Server)) {
	for range n {
		server := stand.NewServer(fmt.Sprintf("%s-%d", service, len(s.servers)), service, "a")
		server.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			s.mu.Lock()
			if id := stand.RequestID(r); s.reached[id].IsZero() {
				s.reached[id] = time.Now()
			}
			s.mu.Unlock()
			work, err := strconv.Atoi(r.Header.Get(headerWork))
			if err != nil {
				return false
			}
			select {
			case <-time.After(time.Duration(work) * time.Millisecond):
			case <-r.Context().Done():
			}
			return false
		}
		if change != nil {
			change(server)
		}
		s.servers = append(s.servers, server)
		s.store.PutEntry(server, stand.Ready)
		s.t.Cleanup(server.Close)
	}
}

func startStopSite(t *testing.T) *stopSite { return startStopSiteWith(t, "") }

// startStopSiteWith starts an instance with further settings.
func startStopSiteWith(t *testing.T, settings string) *stopSite {
	s := &stopSite{t: t, store: stand.NewStore(), reached: make(map[string]time.Time), log: new(bytes.Buffer), exited: make(chan struct{})}
	t.Cleanup(s.store.Close)
	s.addServers("desk", 12, nil)
	s.addServers("full", 1, nil)
	s.addServers("rest", 1, nil)
	s.addServers("llm", 2, func(server *stand.Server) { server.NumEvents, server.EventGap = 300, 100*time.Millisecond })
	s.addServers("photos", 1, func(server *stand.Server) { server.WorkTime = stopGrace })
	plain := func(name, service string, kind stand.Kind, timeout time.Duration) stand.Route {
		return stand.Route{Name: name, Service: service, Kind: kind, Timeout: timeout, TargetLatency: 300 * time.Millisecond}
	}
	stream := func(name string, stages ...string) stand.Route {
		return stand.Route{Name: name, Service: "llm", Kind: stand.Streaming, Timeout: time.Minute, TargetLatency: 10 * time.Second, Stages: stages}
	}
	s.store.PutConfig(1, map[string][]string{"sandton": {siteKey}}, []stand.Service{
		{Name: "desk"}, {Name: "full"}, {Name: "rest"}, {Name: "llm", Engine: true}, {Name: "photos", Pieces: true},
	}, []stand.Route{
		plain("look", "desk", stand.Idempotent, time.Minute), plain("book", "desk", stand.NonIdempotent, time.Minute),
		plain("open", "desk", stand.NonIdempotent, 0), plain("full", "full", stand.NonIdempotent, time.Minute),
		plain("rest", "rest", stand.Idempotent, time.Minute), stream("draft"), stream("staged", "photos"),
	})
	ip := siteIP()
	address := func(port string) string { return net.JoinHostPort(ip, port) }
	s.callerAddress, s.operatorAddress = address("8080"), address("8082")
	s.settingsFile = filepath.Join(t.TempDir(), "entry.ini")
	s.settings = fmt.Sprintf("[site]\nname = edge-0\nfailureDomain = a\ncallerAddress = %s\npeerAddress = %s\noperatorAddress = %s\nseeds = %s\n[store]\naddress = %s\n[bounds]\ngrace = %v\n",
		s.callerAddress, address(sitePeerPort), s.operatorAddress, address(sitePeerPort), s.store.Address(), stopGrace) + settings
	s.writeSettings(s.settings)
	s.process = exec.Command(os.Args[0], "entry", "--settings", s.settingsFile)
	s.process.Env = append(os.Environ(), processVariable+"=1")
	s.process.Stdout, s.process.Stderr = s.log, s.log
	if err := s.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit status is not an error: the process may be killed.
		_ = s.process.Wait()
		close(s.exited)
	}()
	t.Cleanup(func() {
		_ = s.process.Process.Kill()
		<-s.exited
		if t.Failed() {
			t.Logf("log of the process:\n%s", s.log)
		}
	})
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		if resp, err := http.Get("http://" + s.operatorAddress + "/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return s
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("the instance is not ready")
		}
	}
}

func (s *stopSite) writeSettings(text string) {
	if err := os.WriteFile(s.settingsFile, []byte(text), 0o600); err != nil {
		s.t.Error(err)
	}
}

func (s *stopSite) signal(sig syscall.Signal) {
	if err := s.process.Process.Signal(sig); err != nil {
		s.t.Errorf("signal %v: %v", sig, err)
	}
}

func (s *stopSite) newRequest(r *stopRequest, body io.Reader) *http.Request {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+s.callerAddress+"/"+r.route+"/x", body)
	if err != nil {
		s.t.Error(err)
		return nil
	}
	req.Host = stand.Host
	req.Header.Set(stand.HeaderRequestID, r.id)
	if r.deadline > 0 {
		req.Header.Set(stand.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	req.Header.Set("Authorization", "Bearer "+siteKey)
	if r.work > 0 {
		req.Header.Set(headerWork, strconv.FormatInt(r.work.Milliseconds(), 10))
	}
	if len(r.pieces) > 0 {
		req.Header.Set(stand.HeaderPieces, strconv.Itoa(r.pieces[0]))
		req.Header.Set(stand.HeaderPieceKey, stand.PieceKey(r.id))
	}
	return req
}

// slowBody is a body whose second half comes at a given time.
type slowBody struct {
	parts []string
	at    time.Time
}

func (b *slowBody) Read(p []byte) (int, error) {
	switch len(b.parts) {
	case 0:
		return 0, io.EOF
	case 1:
		time.Sleep(time.Until(b.at))
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// send sends a request at its time and records what comes of it.
func (s *stopSite) send(r *stopRequest, sigterm <-chan struct{}) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	if r.kept {
		resp, err := client.Do(s.newRequest(&stopRequest{route: "look", id: r.id + "-first", deadline: 3 * time.Second}, strings.NewReader("first")))
		if err != nil {
			s.t.Errorf("the first request on the connection: %v", err)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	<-sigterm
	time.Sleep(time.Until(s.sigterm.Add(r.offset)))
	var body io.Reader = strings.NewReader("body of " + r.id)
	if r.bodyAt > 0 {
		body = &slowBody{parts: []string{"body ", "of it"}, at: s.sigterm.Add(r.bodyAt)}
	} else if r.chunked {
		body = io.MultiReader(body)
	}
	req := s.newRequest(r, body)
	if r.bodyAt > 0 && !r.chunked {
		req.ContentLength = int64(len("body of it"))
	}
	resp, err := client.Do(req)
	if err == nil {
		r.status, r.started = resp.StatusCode, true
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	r.err, r.ended = err, time.Since(s.sigterm)
}

// stopRequests returns the requests of the test.
func stopRequests() []*stopRequest {
	var out []*stopRequest
	add := func(r stopRequest) { out = append(out, &r) }
	offsets := []time.Duration{0, time.Second, 2 * time.Second, 2400 * time.Millisecond, 2600 * time.Millisecond, 3 * time.Second, 5 * time.Second, 7 * time.Second, 7500 * time.Millisecond}
	for _, offset := range offsets {
		for _, kept := range []bool{false, true} {
			for _, route := range []string{"look", "book"} {
				for _, work := range []time.Duration{50 * time.Millisecond, 1500 * time.Millisecond, 20 * time.Second} {
					add(stopRequest{route: route, offset: offset, kept: kept, work: work, deadline: 2 * time.Second})
				}
				add(stopRequest{route: route, offset: offset, kept: kept, work: 20 * time.Second, deadline: 30 * time.Second})
			}
			add(stopRequest{route: "open", offset: offset, kept: kept, work: time.Second})
			add(stopRequest{route: "open", offset: offset, kept: kept, work: 20 * time.Second, chunked: true})
			add(stopRequest{route: "draft", offset: offset, kept: kept, deadline: 30 * time.Second})
			add(stopRequest{route: "draft", offset: offset, kept: kept, work: 20 * time.Second, deadline: 30 * time.Second})
			add(stopRequest{route: "full", offset: offset, kept: kept, work: time.Second, deadline: 30 * time.Second})
			add(stopRequest{route: "rest", offset: offset, kept: kept, work: time.Second, deadline: 50 * time.Second})
			add(stopRequest{route: "staged", offset: offset, kept: kept, deadline: 40 * time.Second, pieces: []int{1}})
		}
	}
	for _, offset := range []time.Duration{0, 2 * time.Second, 2400 * time.Millisecond} {
		for _, bodyAt := range []time.Duration{2600 * time.Millisecond, 5 * time.Second, 7 * time.Second, 7500 * time.Millisecond} {
			for _, chunked := range []bool{false, true} {
				for _, deadline := range []time.Duration{30 * time.Second, bodyAt + time.Second - offset} {
					add(stopRequest{route: "book", offset: offset, bodyAt: bodyAt, chunked: chunked, work: 20 * time.Second, deadline: deadline})
				}
			}
		}
	}
	// Their deadlines end just before the end of the stop.
	for _, deadline := range []time.Duration{2300 * time.Millisecond, 2400 * time.Millisecond, 2500 * time.Millisecond, 2590 * time.Millisecond, 2600 * time.Millisecond, 2610 * time.Millisecond, 2700 * time.Millisecond} {
		for range 4 {
			add(stopRequest{route: "book", offset: 5 * time.Second, kept: true, work: 20 * time.Second, deadline: deadline})
		}
	}
	for i, r := range out {
		r.id = fmt.Sprintf("r-%d", i)
	}
	return out
}

// In a planned stop, requests that waited for a server were closed at the end of the
// grace period without an answer.
func TestPlannedStopAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	s := startStopSite(t)
	for _, server := range s.servers {
		if server.Service == "rest" {
			server.RefuseFor(20 * time.Second)
		}
	}
	requests := stopRequests()
	sigterm := make(chan struct{})
	// The places of the full service are taken, and it is known that the resting one
	// wants nothing.
	var others, sent sync.WaitGroup
	for i := range 40 {
		others.Go(func() {
			r := &stopRequest{route: "full", id: fmt.Sprint("fill-", i), work: 30 * time.Second, deadline: 55 * time.Second}
			if resp, err := http.DefaultClient.Do(s.newRequest(r, strings.NewReader("b"))); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	others.Go(func() {
		r := &stopRequest{route: "rest", id: "learn", deadline: time.Second}
		if resp, err := http.DefaultClient.Do(s.newRequest(r, strings.NewReader("b"))); err == nil {
			_ = resp.Body.Close()
		}
	})
	for _, r := range requests {
		sent.Go(func() { s.send(r, sigterm) })
	}
	time.Sleep(time.Second)
	s.sigterm = time.Now()
	s.signal(syscall.SIGTERM)
	close(sigterm)
	// Nothing else that the platform may do then ends the stop earlier.
	time.AfterFunc(time.Second, func() {
		s.writeSettings(strings.Replace(s.settings, "grace = 8s", "grace = 4s", 1))
		s.signal(syscall.SIGHUP)
		s.signal(syscall.SIGTERM)
	})
	select {
	case <-s.exited:
	case <-time.After(stopGrace):
		t.Errorf("the process did not exit within %v", stopGrace)
		_ = s.process.Process.Kill()
	}
	exited := time.Since(s.sigterm)
	sent.Wait()
	others.Wait()
	t.Logf("the process exited after %v", exited)
	s.check(requests, exited)
}

// check checks what came of the requests. The process exited at the given time.
func (s *stopSite) check(requests []*stopRequest, exited time.Duration) {
	s.mu.Lock()
	for _, r := range requests {
		if at, ok := s.reached[r.id]; ok {
			r.reachedAt = max(1, at.Sub(s.sigterm))
		}
	}
	s.mu.Unlock()
	slices.SortStableFunc(requests, func(a, b *stopRequest) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.offset, b.offset))
	})
	for _, r := range requests {
		s.t.Log(r)
		runs := 0
		for _, server := range s.servers {
			runs += server.Runs(r.id)
		}
		stream := r.route == "draft" && r.started
		switch {
		case r.err != nil && stream && r.offset < lastOffset && r.ended >= atWorkFrom:
			// Its server was still at work.
		case r.err != nil && errors.Is(r.err, syscall.ECONNREFUSED):
		case r.err != nil && r.bodyAt > 0 && r.ended < r.bodyAt:
			// The request had not been read to its end.
		case r.err != nil:
			s.t.Errorf("no complete answer (%v): %v", r.err, r)
		case r.status == http.StatusServiceUnavailable && runs > 0:
			s.t.Errorf("refused after it had run: %v", r)
		case r.status == http.StatusOK && runs == 0:
			s.t.Errorf("answered though it has not run: %v", r)
		case r.reachedAt > exited-noSendsTime:
			s.t.Errorf("sent to a server at the end: %v", r)
		case runs > 1 && r.route != "look" && r.route != "rest":
			s.t.Errorf("run %d times: %v", runs, r)
		}
	}
}
