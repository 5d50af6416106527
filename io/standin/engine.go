package standin

import (
	"container/list"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

type (
	// EngineConfig configures a model engine.
	EngineConfig struct {
		Name  string
		Slots int
		// FirstTokenTime is the time to the first token of a prompt that is not
		// cached, and TokenTime the time between two tokens.
		FirstTokenTime time.Duration
		TokenTime      time.Duration
		// ReportLag is the age of load reports and of cache events.
		ReportLag time.Duration
		// CachedPrefixes is the maximum number of prompt prefixes in the cache.
		CachedPrefixes int
		Models         []string
		Adapters       []string
		Role           string
		// RefusesOldFence makes the engine reject orders with an old fencing
		// number.
		RefusesOldFence bool
	}

	// Engine stands in for a model engine with the OpenAI-compatible API. Use
	// NewEngine to create one.
	Engine struct {
		server
		cfg    EngineConfig
		cache  *list.List
		events []CacheEvent
		// sequence is the number of the last event, including the events that
		// are left out.
		sequence int
		fence    int64
		// models, adapters and role are those of cfg until an order or SetModels
		// changes them.
		models    []string
		adapters  []string
		role      string
		numOrders int
	}

	// CacheEvent reports that a prefix was stored in the cache or evicted.
	CacheEvent struct {
		Sequence int    `json:"sequence"`
		Prefix   uint64 `json:"prefix"`
		Stored   bool   `json:"stored"`

		at time.Time
	}

	// Order tells an engine which models and adapters it should have loaded,
	// and its role.
	Order struct {
		Fence    int64    `json:"fence"`
		Models   []string `json:"models"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	}

	// EngineState is what an engine has loaded.
	EngineState struct {
		Fence    int64    `json:"fence"`
		Models   []string `json:"models"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
		Orders   int      `json:"orders"`
	}

	chatRequest struct {
		Model     string        `json:"model"`
		Messages  []chatMessage `json:"messages"`
		MaxTokens int           `json:"max_tokens"`
		Stream    bool          `json:"stream"`
		User      string        `json:"user"`
	}

	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	chatChoice struct {
		Index        int          `json:"index"`
		Delta        *chatMessage `json:"delta,omitempty"`
		Message      *chatMessage `json:"message,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}

	chatUsage struct {
		PromptTokens     int         `json:"prompt_tokens"`
		CompletionTokens int         `json:"completion_tokens"`
		Details          chatDetails `json:"prompt_tokens_details"`
	}

	chatDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	chatAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage,omitempty"`
	}
)

const (
	prefixBytes      = 256
	maxEvents        = 1000
	eventGapInterval = 10
	// cachedTimeFraction is the fraction of FirstTokenTime that a cached prompt
	// takes.
	cachedTimeFraction = 0.25
)

// NewEngine returns a stand-in for a model engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.CachedPrefixes = max(1, cfg.CachedPrefixes)
	return &Engine{server: newServer(max(1, cfg.Slots), cfg.ReportLag), cfg: cfg, cache: list.New(), models: cfg.Models, adapters: cfg.Adapters, role: cfg.Role}
}

// Handler returns the engine's HTTP handler, with paths to set faults and to read
// the counts.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.registerControl(mux)
	mux.HandleFunc("GET "+pathLoad, func(w http.ResponseWriter, r *http.Request) {
		load := e.load(time.Now())
		state := e.State()
		load.Loaded = slices.Concat(state.Models, state.Adapters)
		writeJSON(w, load)
	})
	mux.HandleFunc("POST /v1/chat/completions", e.withBrokenHeads(e.serve))
	mux.HandleFunc("GET /cache-events", e.serveEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, e.State()) })
	return mux
}

// State returns what the engine has loaded.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{Fence: e.fence, Models: slices.Clone(e.models), Adapters: slices.Clone(e.adapters), Role: e.role, Orders: e.numOrders}
}

// SetModels changes what the engine has loaded, as an operator or a delayed order
// would. It removes the adapters and changes the role.
func (e *Engine) SetModels(models []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models, e.adapters, e.role = models, nil, "other"
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.RefusesOldFence && o.Fence < e.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.models, e.adapters = o.Models, o.Adapters
	if o.Role != "" {
		e.role = o.Role
	}
	e.numOrders++
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.FormValue("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []CacheEvent{}
	visibleBefore := time.Now().Add(-e.cfg.ReportLag)
	for _, ev := range e.events {
		if ev.Sequence > after && ev.at.Before(visibleBefore) {
			out = append(out, ev)
		}
	}
	writeJSON(w, out)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "the body is not a chat request", http.StatusBadRequest)
		return
	}
	f := e.beginCall()
	defer e.endCall()
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	e.setLoadHeader(w)
	if code := f.refusalStatus(); code != 0 {
		w.WriteHeader(code)
		return
	}
	id := r.Header.Get(headerRequestID)
	if f.Cross {
		id = "other-" + id
	}
	w.Header().Set(headerRequestID, id)
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.generate(w, r, f, id, req)
}

// generate writes the answer, as a stream of tokens if the request asks for one.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, f ServerFaults, id string, req chatRequest) {
	prompt := req.Messages[0].Content
	n := answerLength(prompt, req.MaxTokens)
	resumeAfter, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	cached := e.lookUpPrefix(prompt)
	firstTokenTime := e.cfg.FirstTokenTime
	if cached {
		firstTokenTime = time.Duration(float64(firstTokenTime) * cachedTimeFraction)
	}
	if !sleep(r.Context(), f.scaleTime(firstTokenTime)) {
		return
	}
	usage := &chatUsage{PromptTokens: len(prompt) / 4, CompletionTokens: n}
	if cached {
		usage.Details.CachedTokens = usage.PromptTokens
	}
	subject := firstWord(prompt)
	if !req.Stream {
		if !sleep(r.Context(), f.scaleTime(time.Duration(n)*e.cfg.TokenTime)) {
			return
		}
		e.recordTokens(r, req, n)
		e.writeAnswer(w, f, id, subject, n, usage)
		return
	}
	e.writeStream(w, r, f, id, subject, resumeAfter, n, req, usage)
}

func (e *Engine) writeAnswer(w http.ResponseWriter, f ServerFaults, id, subject string, n int, usage *chatUsage) {
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(tokenText(subject, i))
	}
	reason := "stop"
	text := b.String()
	if f.Truncate {
		text = text[:len(text)/2]
		reason = ""
	}
	a := chatAnswer{ID: id, Object: "chat.completion", Usage: usage, Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &reason}}}
	writeJSON(w, a)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, f ServerFaults, id, subject string, resumeAfter, n int, req chatRequest, usage *chatUsage) {
	w.Header().Set(headerContentType, "text/event-stream")
	generated := 0
	defer func() { e.recordTokens(r, req, generated) }()
	send := func(a chatAnswer) {
		a.ID, a.Object = id, "chat.completion.chunk"
		data, _ := json.Marshal(a)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		w.(http.Flusher).Flush()
	}
	for i := resumeAfter + 1; i <= n; i++ {
		if f.CutAfter > 0 && i-resumeAfter > f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if f.StallAfter > 0 && i-resumeAfter > f.StallAfter {
			<-r.Context().Done()
			return
		}
		if f.Truncate && i > n/2 {
			return
		}
		if e.cfg.TokenTime > 0 && !sleep(r.Context(), f.scaleTime(e.cfg.TokenTime)) {
			return
		}
		generated++
		send(chatAnswer{Choices: []chatChoice{{Delta: &chatMessage{Content: tokenText(subject, i)}}}})
	}
	reason := "stop"
	send(chatAnswer{Choices: []chatChoice{{Delta: &chatMessage{}, FinishReason: &reason}}})
	usage.CompletionTokens = n - resumeAfter
	send(chatAnswer{Choices: []chatChoice{}, Usage: usage})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) recordTokens(r *http.Request, req chatRequest, n int) {
	e.recordRun(r.Header.Get("X-Pipeline-Request-Id"), req.User, r.Header.Get("X-Stage"), float64(n))
}

// lookUpPrefix reports whether a prompt's prefix is in the cache. It makes the
// prefix the most recently used one, and evicts the least recently used one if
// there are too many.
func (e *Engine) lookUpPrefix(prompt string) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt[:min(prefixBytes, len(prompt))]))
	prefix := h.Sum64()
	e.mu.Lock()
	defer e.mu.Unlock()
	for el := e.cache.Front(); el != nil; el = el.Next() {
		if el.Value == prefix {
			e.cache.MoveToFront(el)
			e.counts.CachedUnits += float64(len(prompt) / 4)
			return true
		}
	}
	e.cache.PushFront(prefix)
	e.recordEvent(prefix, true)
	if e.cache.Len() > e.cfg.CachedPrefixes {
		evicted := e.cache.Remove(e.cache.Back()).(uint64)
		e.recordEvent(evicted, false)
	}
	return false
}

// recordEvent records a cache event, except for every eventGapInterval-th one:
// engines publish their events with gaps and a delay. The caller holds mu.
func (e *Engine) recordEvent(prefix uint64, stored bool) {
	e.sequence++
	if e.sequence%eventGapInterval == 0 {
		return
	}
	e.events = append(e.events, CacheEvent{Sequence: e.sequence, Prefix: prefix, Stored: stored, at: time.Now()})
	if len(e.events) > maxEvents {
		e.events = slices.Clone(e.events[maxEvents/2:])
	}
}

// answerLength derives the number of tokens of an answer from the prompt, so that
// the same request gets the same answer again.
func answerLength(prompt string, maxTokens int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	fraction := 0.4 + 0.6*float64(h.Sum32()%1000)/1000
	return max(1, int(float64(max(1, maxTokens))*fraction))
}

func tokenText(subject string, i int) string { return fmt.Sprintf("%s.%d ", subject, i) }
