package demo

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/once"
	"chervilpath/io/caller"
)

const (
	bookingTries = 4
	slowCaller   = 15 * time.Second
)

type (
	// sent is one request as its caller saw it.
	sent struct {
		kind         string
		organisation string
		subject      string
		images       int
		// at is the time since the start, in milliseconds.
		at       int64
		took     time.Duration
		limit    time.Duration
		answered bool
		// text is the answer; tokens what was streamed before it.
		text   string
		tokens []token
		failed errorDetail
		// runID is the id under which a request that runs at most once runs.
		runID string
		// onceStage is the stage of such a request that is not idempotent.
		onceStage string
	}

	token struct {
		Sequence int    `json:"sequence"`
		Text     string `json:"text"`
	}

	answer struct {
		Text      string   `json:"text"`
		Documents []string `json:"documents"`
		Ran       string   `json:"ran"`
		Error     errorDetail
	}

	errorDetail struct {
		Kind    string `json:"kind"`
		Stage   string `json:"stage"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	}

	// load is callers that send requests to one deployment.
	load struct {
		deployment *Deployment
		client     *http.Client
		rate       float64
		rng        *mathrand.Rand
		// addresses are those of a running system, if there is no deployment,
		// and keys its organisations' keys.
		addresses []string
		keys      map[string]string
		// via is the instance to send to, or negative for the balancer's choice.
		via int

		mu   sync.Mutex
		all  []sent
		next int
	}
)

// organisations are those of the examples; their keys are made of their names.
var organisations = map[string][]string{
	"kgotso":    {"gauteng-roofing", "sandton-homes", "soweto-landlords", "midrand-estates", "vaal-repairs"},
	"darbgalds": {"riga-workshops", "liepaja-service", "private-owners", "daugavpils-repair", "valmiera-tools"},
}

func newLoad(d *Deployment, rate float64, seed uint64) *load {
	return &load{
		deployment: d, rate: rate, via: -1, rng: mathrand.New(mathrand.NewPCG(seed, 7)),
		client: &http.Client{Timeout: slowCaller, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// run sends requests until ctx ends and waits for their answers.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		gap := time.Duration(l.rng.ExpFloat64() / l.rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		r := l.draw(n)
		stream := l.rng.IntN(2) == 0
		tokens := 40 + l.rng.IntN(120)
		own := l.rng.IntN(3) == 0
		wg.Go(func() { l.note(l.one(r, stream, tokens, own)) })
	}
}

// draw chooses the kind and the organisation of a request.
func (l *load) draw(n int) sent {
	kinds := l.deployment.set.KindNames()
	k, _ := l.deployment.set.Kind(kinds[l.rng.IntN(len(kinds))])
	orgs := organisations[l.deployment.name]
	return sent{
		kind: k.Name(), limit: k.Deadline(),
		organisation: orgs[l.rng.IntN(len(orgs))],
		subject:      fmt.Sprintf("case-%d", n),
	}
}

func (l *load) note(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, s)
}

// progress returns the number of requests that ended and were answered.
func (l *load) progress() (ended, answered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.all {
		if s.answered {
			answered++
		}
	}
	return len(l.all), answered
}

// address stands in for the platform's balancer: it gives the instances in
// turn, without those that are lost or not ready.
func (l *load) address() string {
	if len(l.addresses) > 0 {
		return draw(l.addresses)
	}
	if l.via >= 0 {
		return "http://" + l.deployment.entries[l.via].CallerAddress()
	}
	live := l.deployment.live()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(live) == 0 {
		return "http://" + l.deployment.entries[0].CallerAddress()
	}
	l.next++
	return "http://" + live[l.next%len(live)].CallerAddress()
}

func (l *load) one(s sent, stream bool, tokens int, own bool) sent {
	began := time.Now()
	k, _ := l.deployment.set.Kind(s.kind)
	if k.Idempotent() {
		l.ask(&s, body(s, stream, tokens), "", stream)
	} else {
		l.book(&s, own)
	}
	s.took = time.Since(began)
	return s
}

func body(s sent, stream bool, tokens int) []byte {
	data, _ := json.Marshal(caller.Body{
		Text: s.subject + " of " + s.organisation + " leaks at the ridge", Images: slices.Repeat([]string{"photo"}, max(1, s.images)),
		MaxTokens: tokens, Stream: stream,
	})
	return data
}

// book sends a request that runs at most once, with a ticket or a key of its
// own, and sends it again at other instances while its outcome is unknown.
func (l *load) book(s *sent, own bool) {
	key := "own-" + rand.Text()
	if !own {
		key = l.ticket(s.organisation)
		if key == "" {
			return
		}
	}
	s.onceStage = l.onceStage(s.kind)
	s.runID = once.RequestID(s.organisation, key)
	data := body(*s, false, 0)
	for range bookingTries {
		l.ask(s, data, key, false)
		if s.answered || s.failed.Ran == fault.RanNo.String() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// onceStage returns the stage of a kind that is not idempotent.
func (l *load) onceStage(kind string) string {
	if l.deployment == nil {
		return ""
	}
	k, _ := l.deployment.set.Kind(kind)
	for _, stage := range k.Stages() {
		if !stage.Idempotent() {
			return stage.Name()
		}
	}
	return ""
}

func (l *load) ticket(organisation string) string {
	for range bookingTries {
		resp, err := l.post("/v1/tickets", organisation, nil, "")
		if err != nil {
			continue
		}
		var t struct {
			Ticket string `json:"ticket"`
		}
		_ = json.NewDecoder(resp.Body).Decode(&t)
		_ = resp.Body.Close()
		if t.Ticket != "" {
			return t.Ticket
		}
	}
	return ""
}

// ask sends a request once and reads its answer.
func (l *load) ask(s *sent, data []byte, key string, stream bool) {
	resp, err := l.post("/v1/kinds/"+s.kind, s.organisation, data, key)
	if err != nil {
		s.failed = errorDetail{Kind: "noAnswer", Message: err.Error(), Ran: "unknown"}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if stream && resp.StatusCode == http.StatusOK {
		s.readStream(resp.Body)
		return
	}
	var a answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		s.failed = errorDetail{Kind: "noAnswer", Message: err.Error(), Ran: "unknown"}
		return
	}
	s.take(resp.StatusCode, a)
}

func (s *sent) take(status int, a answer) {
	s.answered = status == http.StatusOK
	s.failed = a.Error
	if s.answered {
		s.text = strings.Join(append([]string{a.Text}, a.Documents...), " ")
	}
}

func (l *load) post(path, organisation string, data []byte, key string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, l.address()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	l.authorise(req, organisation)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// Without a body to read again net/http does not repeat by itself.
		req.GetBody = nil
	}
	return l.client.Do(req)
}

// readStream reads events up to the explicit end or error. Silence is neither.
func (s *sent) readStream(r io.Reader) {
	s.failed = errorDetail{Kind: "noAnswer", Message: "the stream ended without an end", Ran: "unknown"}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case "token":
			var t token
			_ = json.Unmarshal([]byte(data), &t)
			s.tokens = append(s.tokens, t)
		case "done":
			var a answer
			_ = json.Unmarshal([]byte(data), &a)
			s.failed = errorDetail{}
			s.answered = true
			s.text = a.Text
		case "error":
			var a answer
			_ = json.Unmarshal([]byte(data), &a)
			s.failed = a.Error
		}
	}
}
