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
	// maxAttempts is the maximum number of times that a ticket is requested, or
	// that a request with an unknown outcome is sent.
	maxAttempts = 4

	// requestTimeout is how long a caller waits for a complete answer.
	requestTimeout = 15 * time.Second
)

type (
	// request is a request and its result as its caller saw it.
	request struct {
		kind         string
		organisation string
		subject      string
		images       int
		// atMs is the time of the request in its trace, in milliseconds.
		atMs     int64
		took     time.Duration
		deadline time.Duration
		answered bool
		// text is the complete answer, and tokens what was streamed of it.
		text    string
		tokens  []token
		failure errorDetail
		// runID is the ID by which endpoints count the runs of a request that
		// runs at most once. It is empty for other requests.
		runID string
		// nonIdempotentStage is the stage of such a request that must not run
		// more than once.
		nonIdempotentStage string
	}

	// token is the data of a token event in a streamed answer.
	token struct {
		Sequence int    `json:"sequence"`
		Text     string `json:"text"`
	}

	// answer is the body of a response, or of the last event of a stream.
	answer struct {
		Text      string   `json:"text"`
		Documents []string `json:"documents"`
		Ran       string   `json:"ran"`
		Error     errorDetail
	}

	// errorDetail is the error of a request that failed.
	errorDetail struct {
		Kind    string `json:"kind"`
		Stage   string `json:"stage"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	}

	// loadGenerator sends requests to one deployment on behalf of many callers,
	// and records their results.
	loadGenerator struct {
		deployment *Deployment
		client     *http.Client
		// rate is the mean number of requests per second.
		rate float64
		rng  *mathrand.Rand
		// addresses are the caller addresses of a running system, if there is no
		// deployment, and keys the API keys of its organisations.
		addresses []string
		keys      map[string]string
		// via is the index of the entry instance that requests are sent to, or
		// negative for load balancing over all of them.
		via int

		mu           sync.Mutex
		requests     []request
		nextInstance int
	}
)

// organisations lists the organisations of each example. Their API keys are derived
// from their names, see authorise.
var organisations = map[string][]string{
	"kgotso":    {"gauteng-roofing", "sandton-homes", "soweto-landlords", "midrand-estates", "vaal-repairs"},
	"darbgalds": {"riga-workshops", "liepaja-service", "private-owners", "daugavpils-repair", "valmiera-tools"},
}

func newLoadGenerator(d *Deployment, rate float64, seed uint64) *loadGenerator {
	return &loadGenerator{
		deployment: d, rate: rate, via: -1, rng: mathrand.New(mathrand.NewPCG(seed, 7)),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// run sends requests at random intervals until ctx is done, and waits for their
// answers.
func (l *loadGenerator) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		interval := time.Duration(l.rng.ExpFloat64() / l.rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		r := l.drawRequest(n)
		stream := l.rng.IntN(2) == 0
		tokens := 40 + l.rng.IntN(120)
		callerKey := l.rng.IntN(3) == 0
		wg.Go(func() { l.record(l.send(r, stream, tokens, callerKey)) })
	}
}

// drawRequest returns a request of random kind and organisation. Its subject contains
// the number n, by which checkAnswer recognises the answer.
func (l *loadGenerator) drawRequest(n int) request {
	kinds := l.deployment.set.KindNames()
	kind, _ := l.deployment.set.Kind(kinds[l.rng.IntN(len(kinds))])
	orgs := organisations[l.deployment.name]
	return request{
		kind: kind.Name(), deadline: kind.Deadline(),
		organisation: orgs[l.rng.IntN(len(orgs))],
		subject:      fmt.Sprintf("case-%d", n),
	}
}

func (l *loadGenerator) record(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// progress returns how many requests have ended, and how many of those were answered.
func (l *loadGenerator) progress() (ended, answered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.answered {
			answered++
		}
	}
	return len(l.requests), answered
}

// nextAddress returns the base URL for the next request. Like the platform's load
// balancer, it chooses in turn among the entry instances that are ready.
func (l *loadGenerator) nextAddress() string {
	if len(l.addresses) > 0 {
		return randomAddress(l.addresses)
	}
	if l.via >= 0 {
		return "http://" + l.deployment.instances[l.via].CallerAddress()
	}
	instances := l.deployment.readyInstances()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(instances) == 0 {
		return "http://" + l.deployment.instances[0].CallerAddress()
	}
	l.nextInstance++
	return "http://" + instances[l.nextInstance%len(instances)].CallerAddress()
}

// send sends a request as its kind requires and returns it with its result. A kind
// that is not idempotent is sent with a key of the caller's own if callerKey is set,
// and with a ticket otherwise.
func (l *loadGenerator) send(r request, stream bool, tokens int, callerKey bool) request {
	start := time.Now()
	k, _ := l.deployment.set.Kind(r.kind)
	if k.Idempotent() {
		l.sendOnce(&r, requestBody(r, stream, tokens), "", stream)
	} else {
		l.sendAtMostOnce(&r, callerKey)
	}
	r.took = time.Since(start)
	return r
}

func requestBody(r request, stream bool, tokens int) []byte {
	data, _ := json.Marshal(caller.Body{
		Text: r.subject + " of " + r.organisation + " leaks at the ridge", Images: slices.Repeat([]string{"photo"}, max(1, r.images)),
		MaxTokens: tokens, Stream: stream,
	})
	return data
}

// sendAtMostOnce sends a request that must run at most once, with a ticket or with a
// key of the caller's own. While its outcome is unknown, it sends the request again
// with the same key, to other instances if possible.
func (l *loadGenerator) sendAtMostOnce(r *request, callerKey bool) {
	key := "own-" + rand.Text()
	if !callerKey {
		key = l.requestTicket(r.organisation)
		if key == "" {
			return
		}
	}
	r.nonIdempotentStage = l.nonIdempotentStage(r.kind)
	r.runID = once.RequestID(r.organisation, key)
	data := requestBody(*r, false, 0)
	for range maxAttempts {
		l.sendOnce(r, data, key, false)
		if r.answered || r.failure.Ran == fault.RanNo.String() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// nonIdempotentStage returns the name of the first stage of a kind that is not
// idempotent, or "" if it has none or there is no deployment.
func (l *loadGenerator) nonIdempotentStage(kind string) string {
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

// requestTicket returns a new ticket, or "" if none could be obtained.
func (l *loadGenerator) requestTicket(organisation string) string {
	for range maxAttempts {
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

// sendOnce sends a request once and stores its result in r.
func (l *loadGenerator) sendOnce(r *request, data []byte, key string, stream bool) {
	resp, err := l.post("/v1/kinds/"+r.kind, r.organisation, data, key)
	if err != nil {
		r.failure = errorDetail{Kind: "noAnswer", Message: err.Error(), Ran: "unknown"}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if stream && resp.StatusCode == http.StatusOK {
		r.readStream(resp.Body)
		return
	}
	var a answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		r.failure = errorDetail{Kind: "noAnswer", Message: err.Error(), Ran: "unknown"}
		return
	}
	r.setAnswer(resp.StatusCode, a)
}

func (r *request) setAnswer(status int, a answer) {
	r.answered = status == http.StatusOK
	r.failure = a.Error
	if r.answered {
		r.text = strings.Join(append([]string{a.Text}, a.Documents...), " ")
	}
}

func (l *loadGenerator) post(path, organisation string, data []byte, key string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, l.nextAddress()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	l.authorise(req, organisation)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// Without GetBody, net/http does not resend the request by itself.
		req.GetBody = nil
	}
	return l.client.Do(req)
}

// readStream reads the events of a streamed answer. Only a done or an error event
// determines the outcome: if the stream ends without either, the outcome is unknown.
func (r *request) readStream(body io.Reader) {
	r.failure = errorDetail{Kind: "noAnswer", Message: "the stream ended without a done or error event", Ran: "unknown"}
	scanner := bufio.NewScanner(body)
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
			r.tokens = append(r.tokens, t)
		case "done":
			var a answer
			_ = json.Unmarshal([]byte(data), &a)
			r.failure = errorDetail{}
			r.answered = true
			r.text = a.Text
		case "error":
			var a answer
			_ = json.Unmarshal([]byte(data), &a)
			r.failure = a.Error
		}
	}
}
