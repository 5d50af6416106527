// Package caller serves callers over HTTP, with JSON bodies and with server-sent
// events for streams. openapi.json describes the API and is served along with it.
//
// It owns authentication, limits on what a caller may send, and the format of
// answers and errors. It must not decide how a request is served.
package caller

import (
	"context"
	_ "embed" // for openapi.json
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/once"
	"chervilpath/core/pipeline"
)

const (
	// minDeadline is the shortest deadline that a caller may request.
	minDeadline = 10 * time.Millisecond

	// writeTimeout is how long a caller may take to read an answer, or one event
	// of a stream.
	writeTimeout = 10 * time.Second

	// maxTokens is the maximum number of tokens that a caller may request, and
	// defaultTokens the number if the request has none.
	maxTokens     = 32768
	defaultTokens = 256

	headerTimeout        = "X-Request-Timeout"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "X-Priority"
	contentEventStream   = "text/event-stream"
	contentJSON          = "application/json"
)

type (
	// Config limits what callers may send.
	Config struct {
		MaxBodyBytes int64
	}

	// Deps holds the dependencies of a Server.
	Deps struct {
		Now func() time.Time
		// NewID returns a new unique ID.
		NewID func() string
		// Declarations returns the declarations in force, or nil if there are
		// none yet.
		Declarations func() *declare.Set
		// Run runs an idempotent request through its pipeline.
		Run func(ctx context.Context, r pipeline.Request) (pipeline.Answer, error)
		// Observe is called when a request has ended.
		Observe func(Completion)
		// Coordinator serves the requests that run at most once.
		Coordinator *once.Coordinator
		Log         *zap.Logger
	}

	// Completion describes how a request ended.
	Completion struct {
		RequestID    string
		Organisation string
		Kind         string
		Took         time.Duration
		// Deadline is the time that the request was given.
		Deadline time.Duration
		// Err is nil if the request got a complete answer.
		Err *fault.Error
	}

	// Server serves callers. Use New to create one. It is safe for concurrent
	// use.
	Server struct {
		cfg  Config
		deps Deps

		mu       sync.Mutex
		inFlight map[string]int
	}

	// Body is the JSON body of a request.
	Body struct {
		Text      string   `json:"text"`
		Images    []string `json:"images"`
		Documents []string `json:"documents"`
		MaxTokens int      `json:"maxTokens"`
		Stream    bool     `json:"stream"`
	}

	// answerBody is the JSON of a complete answer.
	answerBody struct {
		RequestID string `json:"requestId"`
		Ran       string `json:"ran"`
		pipeline.Answer
	}

	// errorBody is the JSON of an error.
	errorBody struct {
		RequestID string      `json:"requestId"`
		Error     errorDetail `json:"error"`
	}

	errorDetail struct {
		Kind    string `json:"kind"`
		Stage   string `json:"stage,omitempty"`
		Message string `json:"message"`
		// Ran says whether non-idempotent work has run: "no", "yes" or
		// "unknown".
		Ran string `json:"ran"`
		// Retry says whether the caller may send the same request again.
		Retry bool `json:"retry"`
	}

	ticketBody struct {
		Ticket  string    `json:"ticket"`
		Expires time.Time `json:"expires"`
	}

	// call is one HTTP request that is being served.
	call struct {
		server  *Server
		w       http.ResponseWriter
		r       *http.Request
		id      string
		arrived time.Time
		// set holds the declarations in force when the request arrived.
		set  *declare.Set
		org  *declare.Organisation
		kind *declare.Kind
		// deadline is when the request has to be answered, and timeLimit the
		// time from its arrival until then.
		deadline  time.Time
		timeLimit time.Duration
		body      Body
		rawBody   []byte
	}
)

//go:embed openapi.json
var openAPI []byte

// New returns a server for callers.
func New(cfg Config, deps Deps) *Server {
	return &Server{cfg: cfg, deps: deps, inFlight: make(map[string]int)}
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/kinds/{kind}", s.serveKind)
	mux.HandleFunc("POST /v1/tickets", s.serveTicket)
	mux.HandleFunc("GET /v1/outcomes/{key}", s.serveOutcome)
	mux.HandleFunc("GET /openapi.json", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentJSON)
		_, _ = w.Write(openAPI)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		c := s.newCall(w, r)
		c.writeError(fault.Errorf(fault.NotFound, "%s %s does not exist; see /openapi.json", r.Method, r.URL.Path))
	})
	return mux
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, v := range s.inFlight {
		n += v
	}
	return n
}

func (s *Server) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{server: s, w: w, r: r, id: s.deps.NewID(), arrived: s.deps.Now()}
	w.Header().Set(headerRequestID, c.id)
	return c
}

func (s *Server) serveKind(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	err := c.parse()
	if err == nil {
		err = c.acquireSlot()
	}
	if err != nil {
		c.finish(c.withEarlierAttempts(err))
		c.writeError(c.withEarlierAttempts(err))
		return
	}
	defer c.releaseSlot()
	if c.kind.Idempotent() {
		c.serveIdempotent()
		return
	}
	c.serveNonIdempotent()
}

// withEarlierAttempts returns the error of a request that was rejected before its
// idempotency key was looked up. If it has a key, Ran is unknown, since an earlier
// attempt with the same key may have run.
func (c *call) withEarlierAttempts(err error) *fault.Error {
	e := fault.From(err)
	if c.r.Header.Get(headerIdempotencyKey) != "" && (c.kind == nil || !c.kind.Idempotent()) {
		return e.WithRan(fault.RanUnknown)
	}
	return e
}

// parse decodes and checks the whole request before anything runs.
func (c *call) parse() error {
	if err := c.authenticate(); err != nil {
		return err
	}
	name := c.r.PathValue("kind")
	kind, ok := c.set.Kind(name)
	if !ok {
		return fault.Errorf(fault.NotFound, "the kind %q is not declared", name)
	}
	c.kind = kind
	if err := c.parseDeadline(); err != nil {
		return err
	}
	if err := c.parsePriority(); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	if !c.kind.Idempotent() {
		return once.CheckKey(c.r.Header.Get(headerIdempotencyKey))
	}
	return nil
}

func (c *call) authenticate() error {
	c.set = c.server.deps.Declarations()
	if c.set == nil {
		return fault.Errorf(fault.Draining, "the instance has no declarations yet")
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		c.w.Header().Set("WWW-Authenticate", "Bearer")
		return fault.Errorf(fault.Unauthenticated, "the Authorization header is missing; send Bearer and your organisation's key")
	}
	org, ok := c.set.Authenticate(strings.TrimSpace(key))
	if !ok {
		c.w.Header().Set("WWW-Authenticate", "Bearer")
		return fault.Errorf(fault.Unauthenticated, "the key belongs to no organisation")
	}
	c.org = org
	return nil
}

func (c *call) parseDeadline() error {
	c.timeLimit = c.kind.Deadline()
	if text := c.r.Header.Get(headerTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < minDeadline || d > c.kind.Deadline() {
			return fault.Errorf(fault.BadRequest, "header %s is %q; send a duration from %v to %v, such as 1500ms", headerTimeout, text, minDeadline, c.kind.Deadline())
		}
		c.timeLimit = d
	}
	c.deadline = c.arrived.Add(c.timeLimit)
	return nil
}

func (c *call) parsePriority() error {
	text := c.r.Header.Get(headerPriority)
	if text == "" {
		return nil
	}
	p, ok := declare.ParsePriority(text)
	if !ok || p < c.kind.Priority() {
		return fault.Errorf(fault.BadRequest, "header %s is %q; send high, normal or low, and no higher than the kind's", headerPriority, text)
	}
	c.kind = c.kind.WithPriority(p)
	return nil
}

func (c *call) readBody() error {
	if t, _, err := mime.ParseMediaType(c.r.Header.Get("Content-Type")); err != nil || t != contentJSON {
		return fault.Errorf(fault.BadRequest, "header Content-Type is %q; send %s", c.r.Header.Get("Content-Type"), contentJSON)
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.server.cfg.MaxBodyBytes))
	if tooLarge, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return fault.Errorf(fault.TooLarge, "the body has more than %d bytes; send less", tooLarge.Limit)
	}
	if err != nil {
		return fault.Errorf(fault.BadRequest, "reading the body: %w", err)
	}
	c.rawBody = data
	c.body, err = Decode(data)
	if err != nil {
		return err
	}
	if strings.Contains(c.r.Header.Get("Accept"), contentEventStream) {
		c.body.Stream = true
	}
	return nil
}

// acquireSlot counts the request against its organisation's limit on requests in
// flight, and fails if the limit is reached.
func (c *call) acquireSlot() error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.inFlight[c.org.Name()]; n >= c.org.MaxConcurrent() {
		return fault.Errorf(fault.Overloaded, "the organisation has %d requests in flight, which is its limit", n)
	}
	s.inFlight[c.org.Name()]++
	return nil
}

func (c *call) releaseSlot() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[c.org.Name()]--; s.inFlight[c.org.Name()] == 0 {
		delete(s.inFlight, c.org.Name())
	}
}

// Decode decodes the body of a request. An error names the field, its value and
// what is allowed.
func Decode(data []byte) (Body, error) {
	var b Body
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		if t, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
			return b, fault.Errorf(fault.BadRequest, "field %q of the body is a %s; send a %s", t.Field, t.Value, t.Type)
		}
		return b, fault.Errorf(fault.BadRequest, "the body is not a valid request: %w; its fields are text, images, documents, maxTokens and stream", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return b, fault.Errorf(fault.BadRequest, "the body has data after its JSON value; send one value")
	}
	if b.Text == "" && len(b.Images) == 0 {
		return b, fault.Errorf(fault.BadRequest, "fields \"text\" and \"images\" of the body are empty; send at least one")
	}
	if b.MaxTokens < 0 || b.MaxTokens > maxTokens {
		return b, fault.Errorf(fault.BadRequest, "field \"maxTokens\" of the body is %d; send a number from 0 to %d", b.MaxTokens, maxTokens)
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultTokens
	}
	return b, nil
}

// Payload returns the body as the input of the first stage.
func (b Body) Payload() pipeline.Payload {
	return pipeline.Payload{Text: b.Text, Images: b.Images, Documents: b.Documents, MaxTokens: b.MaxTokens}
}
