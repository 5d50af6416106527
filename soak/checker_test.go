package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// undisturbedRequest returns a checker with a single request, which was answered, ran
// once and was not disturbed.
func undisturbedRequest(route string) (*checker, *request) {
	c := newChecker(56)
	at := time.Now()
	r := &request{id: "r", route: route, key: "k", sent: at, ended: at.Add(20 * time.Millisecond), status: 200, valid: true, service: serviceDesk}
	c.requests[r.id] = r
	c.runs[r.id] = 1
	return c, r
}

// draftPieceRuns returns the pieces of the first stage of a request, with the handles ID/0
// and ID/1.
func draftPieceRuns(id string) []stand.PieceRun {
	return []stand.PieceRun{
		{RequestID: id, Piece: 0, PieceKey: stand.PieceKey(id), Handle: id + "/0"},
		{RequestID: id, Piece: 1, PieceKey: stand.PieceKey(id), Handle: id + "/1"},
	}
}

// TestRefusalAfterStagesAlone tests that a refusal of a request whose pieces were computed
// but that no engine received is true.
func TestRefusalAfterStagesAlone(t *testing.T) {
	c, r := undisturbedRequest(routeDraft)
	r.status = 503
	c.runs[r.id] = 0
	c.pieceRuns = append(draftPieceRuns(r.id), stand.PieceRun{RequestID: r.id, Stage: 1, Inputs: []string{r.id + "/0", r.id + "/1"}, Handle: "x"})
	if got := c.violations(); len(got) != 0 {
		t.Errorf("violations: %v", got)
	}
}

// TestServersOwnFailureMayBeRelayed tests that a server's own answer after a run may reach the
// caller of what may run again.
func TestServersOwnFailureMayBeRelayed(t *testing.T) {
	c, r := undisturbedRequest(routeStatus)
	r.status, c.failedAfterRun[r.id] = 503, true
	if got := c.violations(); len(got) != 0 {
		t.Errorf("violations: %v", got)
	}
}

// twoVersions returns two versions of the configuration with the given keys. The second
// has to be in force since 3 s before the request.
func twoVersions(r *request, first, second []string) []version {
	older, newer := r.sent.Add(-20*time.Second), r.sent.Add(-5*time.Second)
	return []version{
		{number: 1, service: serviceDesk, keys: first, sent: older, acked: older},
		{number: 2, service: serviceAlternate, keys: second, sent: newer, acked: newer},
	}
}

// TestCheckerFindsPlantedViolations tests that a violation of each promise is reported,
// and that nothing is reported without it.
func TestCheckerFindsPlantedViolations(t *testing.T) {
	for name, test := range map[string]struct {
		route, want string
		plant       func(c *checker, r *request)
	}{
		"foreign answer": {routeStatus, "belongs to another request", func(_ *checker, r *request) { r.valid = false }},
		"false refusal":  {routeBook, "refused with 503", func(_ *checker, r *request) { r.status = 503 }},
		"run twice":      {routeBook, "ran 2 times", func(c *checker, r *request) { c.runs[r.id] = 2 }},
		"cut by a stop": {routeStatus, "cut off by the planned stop", func(c *checker, r *request) {
			r.status = 0
			c.stoppedAt[[2]int{0, 0}] = r.sent.Add(time.Millisecond)
		}},
		"old version": {routeReassigned, "only versions before 2", func(c *checker, r *request) {
			c.versions = twoVersions(r, []string{"k"}, []string{"k"})
		}},
		"revoked key": {routeStatus, "served with key k, which only versions before 2", func(c *checker, r *request) {
			c.versions = twoVersions(r, []string{"k"}, nil)
		}},
		"key denied": {routeStatus, "key k denied", func(c *checker, r *request) {
			r.status = 401
			c.versions = twoVersions(r, nil, []string{"k"})
		}},
		"late arrival": {routeStatus, "after the server was withdrawn", func(c *checker, r *request) {
			c.withdrawnAt["s"] = r.sent.Add(-3 * time.Second)
			c.arrivals = append(c.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
		}},
		"failure after a run that is taken for a refusal": {routeBook, "refused with 408", func(c *checker, r *request) {
			r.status, c.failedAfterRun[r.id] = 408, true
		}},
		"promise of this system's own after a run": {routeStatus, "refused with 421", func(_ *checker, r *request) { r.status = 421 }},
		"too much memory":                          {routeStatus, "took 300 MiB", func(c *checker, _ *request) { c.peaks[0] = 300 }},
		"refused after a run at an engine":         {routeDraft, "refused with 503", func(_ *checker, r *request) { r.status = 503 }},
		"piece of an unknown request": {routeDraft, "no caller sent", func(c *checker, r *request) {
			c.pieceRuns = append(c.pieceRuns, stand.PieceRun{RequestID: "other", PieceKey: stand.PieceKey("other")})
		}},
		"piece that the request does not have": {routeBook, "does not have", func(c *checker, r *request) {
			c.pieceRuns = append(c.pieceRuns, stand.PieceRun{RequestID: r.id, PieceKey: stand.PieceKey(r.id)})
		}},
		"piece with another key": {routeDraft, "computed with key", func(c *checker, r *request) {
			c.pieceRuns = append(c.pieceRuns, stand.PieceRun{RequestID: r.id, PieceKey: stand.PieceKey("other")})
		}},
		"piece with an input missing": {routeDraft, "other inputs", func(c *checker, r *request) {
			c.pieceRuns = append(draftPieceRuns(r.id), stand.PieceRun{RequestID: r.id, Stage: 1, Inputs: []string{r.id + "/0"}, Handle: "x"})
		}},
		"piece with an input twice": {routeDraft, "other inputs", func(c *checker, r *request) {
			c.pieceRuns = append(draftPieceRuns(r.id), stand.PieceRun{RequestID: r.id, Stage: 1, Inputs: []string{r.id + "/0", r.id + "/0"}, Handle: "x"})
		}},
		"piece with an input of another request": {routeDraft, "other inputs", func(c *checker, r *request) {
			c.requests["other"] = &request{id: "other", route: routeDraft, status: 200, valid: true, sent: r.sent, ended: r.ended}
			c.pieceRuns = append(draftPieceRuns(r.id), draftPieceRuns("other")...)
			c.pieceRuns = append(c.pieceRuns, stand.PieceRun{RequestID: r.id, Stage: 1, Inputs: []string{r.id + "/0", "other/1"}, Handle: "x"})
		}},
		"server told that it is leaving": {routeStatus, "had told instance 0 that it is leaving", func(c *checker, r *request) {
			first := &request{id: "first", route: routeStatus, key: "k", sent: r.sent.Add(-3 * time.Second), ended: r.sent.Add(-3 * time.Second), status: 200, valid: true}
			c.requests[first.id] = first
			c.notices = append(c.notices,
				notice{server: "s", Arrival: stand.Arrival{At: first.sent, RequestID: first.id, Leaving: true}}, notice{server: "s", Arrival: stand.Arrival{At: r.sent, RequestID: r.id}})
		}},
		"server told that it wants nothing": {routeStatus, "before it wants requests from instance 0", func(c *checker, r *request) {
			until := r.sent.Add(time.Second)
			c.notices = append(c.notices, notice{server: "s", Arrival: stand.Arrival{At: r.sent.Add(-time.Second), RequestID: r.id, RefusesUntil: until}})
			for range maxEarlyRequests + 1 {
				c.notices = append(c.notices, notice{server: "s", Arrival: stand.Arrival{At: r.sent, RequestID: r.id}})
			}
		}},
		"request to an evacuated zone": {routeStatus, "of zone d0", func(c *checker, r *request) {
			c.evacuations = append(c.evacuations, &evacuation{zone: "d0", acked: r.sent.Add(-evacuationBound - time.Second)})
			c.notices = append(c.notices, notice{server: "s", zone: "d0", Arrival: stand.Arrival{At: r.sent, RequestID: r.id}})
			c.disturbances[r.instance] = append(c.disturbances[r.instance], &disturbance{from: r.sent.Add(-time.Second), server: "other"})
		}},
		"stage call to an evacuated zone": {routeStatus, "a stage call reached server s of zone d0", func(c *checker, r *request) {
			c.evacuations = append(c.evacuations, &evacuation{zone: "d0", acked: r.sent.Add(-evacuationBound - time.Second)})
			c.notices = append(c.notices, notice{server: "s", zone: "d0", Arrival: stand.Arrival{At: r.sent, Path: pathStageRun}})
		}},
		"too many repeats": {routeStatus, "retries in", func(c *checker, r *request) {
			for range 70 {
				c.arrivals = append(c.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c, r := undisturbedRequest(test.route)
			if got := c.violations(); len(got) != 0 {
				t.Fatalf("violations before planting one: %v", got)
			}
			test.plant(c, r)
			if got := strings.Join(c.violations(), "\n"); !strings.Contains(got, test.want) {
				t.Errorf("violations = %q, want one that contains %q", got, test.want)
			}
		})
	}
}

// TestCheckerFindsTooManyRequestsToAColdServer tests that more requests in a second than a
// cold server bears are reported, unless they were held back before, or came from an instance
// that may not have known that the server had turned cold again.
func TestCheckerFindsTooManyRequestsToAColdServer(t *testing.T) {
	const many = coldRate*coldOver + coldSlack + 1
	for name, test := range map[string]struct {
		again bool
		after time.Duration
		n     int
		space time.Duration
		plant func(c *checker, at time.Time)
		want  bool
	}{
		"as many as it bears":            {n: many - 1, space: time.Millisecond},
		"one more":                       {n: many, space: time.Millisecond, want: true},
		"one more in more than a second": {n: many, space: 150 * time.Millisecond},
		"one more, an instance disturbed": {n: many, space: time.Millisecond, want: true, plant: func(c *checker, at time.Time) {
			c.disturbances[0] = []*disturbance{{from: at.Add(-time.Second)}}
		}},
		"one more, its link disturbed": {n: many, space: time.Millisecond, plant: func(c *checker, at time.Time) {
			c.disturbances[0] = []*disturbance{{from: at.Add(-time.Second), server: "s"}}
		}},
		"one more, silent before": {n: many, space: time.Millisecond, plant: func(c *checker, at time.Time) {
			c.silences = []silence{{"s", at.Add(-time.Second), at.Add(-100 * time.Millisecond)}}
		}},
		"cold again, not yet known": {again: true, after: configPropagation - 100*time.Millisecond, n: many, space: time.Millisecond},
		"cold again, known":         {again: true, after: configPropagation + 100*time.Millisecond, n: many, space: time.Millisecond, want: true},
		"cold again, an instance disturbed": {again: true, after: configPropagation + 100*time.Millisecond, n: many, space: time.Millisecond, plant: func(c *checker, at time.Time) {
			c.disturbances[0] = []*disturbance{{from: at.Add(-time.Second)}}
		}},
		"warm by then": {after: 6 * time.Second, n: many, space: time.Millisecond},
	} {
		c, start := newChecker(56), time.Now()
		c.addColdPeriod(coldPeriod{server: "s", from: start, until: start.Add(5 * time.Second), started: !test.again})
		for i := range test.n {
			c.notices = append(c.notices, notice{server: "s", Arrival: stand.Arrival{At: start.Add(test.after + time.Duration(i)*test.space)}})
		}
		if test.plant != nil {
			test.plant(c, start.Add(test.after))
		}
		if got := c.violations(); (len(got) > 0) != test.want {
			t.Errorf("%s: violations %v, want one: %v", name, got, test.want)
		}
	}
}

// TestCheckerExcusesArrivalsInEvacuations tests that what may reach an evacuated zone is not
// reported: within the bound, after the end, in another zone, while the instance is disturbed,
// late because the server was silent, and to free results.
func TestCheckerExcusesArrivalsInEvacuations(t *testing.T) {
	for name, change := range map[string]func(c *checker, r *request, e *evacuation, n *notice){
		"within the bound": func(_ *checker, r *request, e *evacuation, _ *notice) {
			e.acked = r.sent.Add(-evacuationBound + time.Millisecond)
		},
		"after the end": func(_ *checker, r *request, e *evacuation, _ *notice) { e.to = r.sent.Add(-time.Millisecond) },
		"another zone":  func(_ *checker, _ *request, _ *evacuation, n *notice) { n.zone = "d1" },
		"disturbed": func(c *checker, r *request, e *evacuation, _ *notice) {
			c.disturbances[r.instance] = append(c.disturbances[r.instance], &disturbance{from: e.acked, to: e.acked.Add(time.Second)})
		},
		"silent server": func(c *checker, r *request, e *evacuation, _ *notice) {
			c.silences = append(c.silences, silence{"s", e.acked, r.sent.Add(-time.Millisecond)})
		},
		"free": func(_ *checker, _ *request, _ *evacuation, n *notice) { n.RequestID, n.Path = "", "/stage-free" },
	} {
		t.Run(name, func(t *testing.T) {
			c, r := undisturbedRequest(routeStatus)
			e := &evacuation{zone: "d0", acked: r.sent.Add(-evacuationBound - time.Second)}
			n := notice{server: "s", zone: "d0", Arrival: stand.Arrival{At: r.sent, RequestID: r.id}}
			change(c, r, e, &n)
			c.evacuations, c.notices = append(c.evacuations, e), append(c.notices, n)
			if got := c.violations(); len(got) != 0 {
				t.Errorf("violations: %v", got)
			}
		})
	}
}

// cutOff returns a checker with a request that reached server s and was cut off after 1 s.
func cutOff() (*checker, *request) {
	c, r := undisturbedRequest(routeChat)
	r.status, r.ended = 0, r.sent.Add(time.Second)
	r.written = r.sent.Add(time.Millisecond)
	c.arrivals = append(c.arrivals, arrival{id: r.id, server: "s", service: serviceLLM, at: r.written})
	return c, r
}

// TestCheckerFindsPromptsThatCrashEngines tests that requests which reach engines too long
// after the fifth crash are reported, and sound ones that are held back.
func TestCheckerFindsPromptsThatCrashEngines(t *testing.T) {
	for name, test := range map[string]struct {
		late, held int
		disturbed  bool
		want       string
	}{
		"few late sends":                {late: 3},
		"too many":                      {late: 4, want: "requests that crash engines reached them"},
		"too many, disturbed":           {late: 4, disturbed: true},
		"a sound request that was held": {held: 1, want: "sound requests were refused"},
	} {
		c := newChecker(56)
		start := time.Now()
		for i := range 5 {
			c.crashes = append(c.crashes, start.Add(time.Duration(i)*time.Second))
		}
		for i := range test.late {
			id := fmt.Sprint("x-", i)
			c.requests[id] = &request{id: id, route: routeDraft, status: 502, crashes: true}
			c.arrivals = append(c.arrivals, arrival{id: id, service: serviceLLM, at: start.Add(10 * time.Second)})
		}
		for i := range test.held {
			id := fmt.Sprint("c-", i)
			c.requests[id] = &request{id: id, route: routeDraft, status: 503, quarantined: true}
		}
		if test.disturbed {
			c.disturbances[0] = []*disturbance{{from: start.Add(8 * time.Second), to: start.Add(9 * time.Second)}}
		}
		got := strings.Join(c.violations(), "\n")
		if (test.want == "") != (got == "") || !strings.Contains(got, test.want) {
			t.Errorf("%s: violations %q, want %q", name, got, test.want)
		}
	}
}

// TestCheckerFindsEndsWithoutAnAnswer tests that the end of a request without a complete
// answer is reported with what happened beside it, unless its server, its instance or the
// store was disturbed, its caller gave up, or it was not read.
func TestCheckerFindsEndsWithoutAnAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		// want is part of the violation, or "" if there must be none.
		want  string
		plant func(c *checker, r *request)
	}{
		"beside nothing": {"no stop, version or silence", func(*checker, *request) {}},
		"beside a silence of its server": {"server s fell silent 500ms before its end for 1s", func(c *checker, r *request) {
			c.silences = []silence{{"s", r.ended.Add(-500 * time.Millisecond), r.ended.Add(500 * time.Millisecond)}}
		}},
		"beside a version": {"version 2 written 500ms before its end", func(c *checker, r *request) {
			c.versions = []version{{number: 2, service: serviceDesk, keys: []string{"k"}, sent: r.ended.Add(-500 * time.Millisecond), acked: r.ended.Add(-490 * time.Millisecond)}}
		}},
		"in a stop, sent at its end": {"SIGTERM 4.5s before it was sent", func(c *checker, r *request) {
			c.stoppedAt[[2]int{0, 0}] = r.sent.Add(-4500 * time.Millisecond)
		}},
		"read but not passed on": {"no stop, version or silence", func(c *checker, r *request) { c.arrivals = nil }},
		"while another server is disturbed": {"no stop, version or silence", func(c *checker, r *request) {
			c.begin(0, disturbance{server: "other"})
			c.disturbances[0][0].from = r.sent
		}},
		"while its server is disturbed": {"", func(c *checker, r *request) {
			c.begin(0, disturbance{server: "s"})
			c.disturbances[0][0].from = r.sent
		}},
		"while its instance is disturbed": {"", func(c *checker, r *request) {
			c.beginDisturbance(0)
			c.disturbances[0][0].from = r.sent
		}},
		"while the store is disturbed": {"", func(c *checker, r *request) {
			c.beginDisturbance(storeNumber)
			c.disturbances[storeNumber][0].from = r.sent
		}},
		"given up by its caller": {"", func(_ *checker, r *request) { r.abandoned = true }},
		"closed before it was read": {"", func(c *checker, r *request) {
			c.arrivals, r.written = nil, r.ended.Add(-lossSlack)
		}},
		"at work at the end of the grace period": {"", func(c *checker, r *request) {
			r.sent = r.ended.Add(-gracePeriod + time.Second)
			c.stoppedAt[[2]int{0, 0}] = r.sent.Add(-stopWindow - 500*time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c, r := cutOff()
			test.plant(c, r)
			got := strings.Join(c.violations(), "\n")
			if test.want == "" && got != "" {
				t.Errorf("violations = %q, want none", got)
			}
			if !strings.Contains(got, test.want) {
				t.Errorf("violations = %q, want one that contains %q", got, test.want)
			}
			if counted := strings.Contains(c.endings(), "CUT"); counted != (test.want != "") {
				t.Errorf("counted as:\n%s", c.endings())
			}
		})
	}
}

// TestSilentServerGoesOn tests that a server that falls silent in the middle of a stream
// sends nothing for that time and then the rest.
func TestSilentServerGoesOn(t *testing.T) {
	const quiet = 300 * time.Millisecond
	s := stand.NewServer("s", serviceLLM, "a")
	defer s.Close()
	s.NumEvents, s.EventGap = 8, 10*time.Millisecond
	req, err := stand.NewRequest(t.Context(), s.Address(), stand.Request{ID: "r", Path: "/chat/1", Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	start := time.Now()
	s.FallSilent(quiet)
	body, err := io.ReadAll(resp.Body)
	if took := time.Since(start); err != nil || !stand.IsCompleteStream(string(body), 8) || took < quiet {
		t.Errorf("received %q after %v, error %v", body, took, err)
	}
}

// TestBrokenAnswersExcuseNoTimeBound tests that a server that sends broken answers excuses the end of a
// request that reached it, and neither that of another one nor a time bound.
func TestBrokenAnswersExcuseNoTimeBound(t *testing.T) {
	for reached, want := range map[string]string{"s": "", "other": "cut off after"} {
		c, r := undisturbedRequest(routeBook)
		r.status, r.written = 0, r.sent
		r.ended = r.sent.Add(time.Second)
		c.arrivals = append(c.arrivals, arrival{id: r.id, server: reached, service: serviceDesk, at: r.sent})
		end := c.beginBrokenAnswers([]*instance{{number: r.instance}}, "s")
		end()
		c.disturbances[r.instance][0].from, c.disturbances[r.instance][0].to = r.sent, r.ended
		if got := strings.Join(c.violations(), "\n"); (want == "") != (got == "") || !strings.Contains(got, want) {
			t.Errorf("reached %s: violations %q, want %q", reached, got, want)
		}
	}
	c, r := undisturbedRequest(routeStatus)
	c.withdrawnAt["s"] = r.sent.Add(-3 * time.Second)
	c.arrivals = append(c.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
	c.disturbances[r.instance] = []*disturbance{{from: r.sent.Add(-4 * time.Second), to: r.ended, server: "s", answersOnly: true}}
	if got := c.violations(); len(got) == 0 {
		t.Error("no violation reported, though answers alone were broken")
	}
}

// TestBrokenAnswersAreBroken tests that a server sends each kind of broken answer, and that a reset
// passes through a proxy as one.
func TestBrokenAnswersAreBroken(t *testing.T) {
	s := stand.NewServer("s", serviceDesk, "a")
	defer s.Close()
	link, err := newProxy(s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer link.close()
	for _, kind := range stand.BrokenAnswers {
		s.SendBroken(kind, time.Minute)
		repeats := 1
		if kind == stand.ResetAfterAPart {
			repeats = 20
		}
		for range repeats {
			conn, err := net.Dial("tcp", link.address())
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
			// Only a reset ends the connection.
			answer, whole := "", false
			for buf := make([]byte, 1024); err == nil && (kind == stand.ResetAfterAPart || !whole); {
				var n int
				n, err = conn.Read(buf)
				answer += string(buf[:n])
				whole = strings.Contains(answer, "answer to ")
			}
			_ = conn.Close()
			if isReset := errors.Is(err, syscall.ECONNRESET); isReset != (kind == stand.ResetAfterAPart) || !isReset && !whole {
				t.Errorf("%s: %q, error %v", kind, answer, err)
			}
		}
	}
}

// TestDisturbanceExcusesTimeBounds tests that a time bound is not checked while the
// instance or the store is disturbed or recovering, but is checked while only another
// instance is.
func TestDisturbanceExcusesTimeBounds(t *testing.T) {
	for _, number := range []int{0, storeNumber} {
		c, r := undisturbedRequest(routeStatus)
		c.withdrawnAt["s"] = r.sent.Add(-3 * time.Second)
		c.arrivals = append(c.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
		c.disturbances[number] = []*disturbance{{from: r.sent.Add(-4 * time.Second), to: r.sent.Add(-2 * time.Second)}}
		if got := c.violations(); len(got) != 0 {
			t.Errorf("violations despite a disturbance of %d: %v", number, got)
		}
		c.disturbances[number][0].to = r.sent.Add(-2 * time.Second)
		c.disturbances[number][0].from = c.disturbances[number][0].to.Add(-time.Second)
		c.disturbances = map[int][]*disturbance{1: c.disturbances[number]}
		if got := c.violations(); len(got) == 0 {
			t.Error("no violation reported, though only another instance was disturbed")
		}
	}
}

// TestShortRuns runs real processes under faults, for 8 s from each of three seeds, and
// expects no violation.
func TestShortRuns(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for seed := range uint64(3) {
		o := options{Seed: 3 + seed, Duration: 8 * time.Second, Instances: 3, Callers: 6, Port: 18600 + 20*(os.Getpid()%50), RepeatSlack: 56}
		t.Run(fmt.Sprint("seed ", o.Seed), func(t *testing.T) {
			var out strings.Builder
			violations, err := soak(o, &out)
			if err != nil || len(violations) > 0 {
				t.Errorf("soak() = error %v; output:\n%s", err, out.String())
			}
		})
	}
}
