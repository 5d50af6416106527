// Package standin simulates the endpoints of stages, which are model engines, stage
// pools and plain services, and the authority that signs certificates.
//
// The stand-ins inject faults and count what ran. They are for tests, demos and
// development; serving instances must not use them.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// ServerFaults are the faults that an engine, a pool member or a service
	// injects.
	ServerFaults struct {
		// Down closes every connection without an answer.
		Down bool `json:"down"`
		// Slow multiplies the duration of each call; 0 means 1.
		Slow float64 `json:"slow"`
		// Refuse rejects every call, as a full server does.
		Refuse bool `json:"refuse"`
		// Drain rejects new calls, as a server that is leaving does, and completes
		// the others.
		Drain bool `json:"drain"`
		// LoseAnswers is how many of the next calls run but get no answer.
		LoseAnswers int `json:"loseAnswers"`
		// Cross makes answers carry the identity of another attempt.
		Cross bool `json:"cross"`
		// CutAfter aborts each stream after this many tokens; 0 means never.
		CutAfter int `json:"cutAfter"`
		// StallAfter stalls each stream after this many tokens without closing
		// it; 0 means never.
		StallAfter int `json:"stallAfter"`
		// BrokenHead breaks the heads of answers: "status" or "field", or "" for sound ones.
		BrokenHead string `json:"brokenHead"`
		// Truncate ends answers early without aborting the connection.
		Truncate bool `json:"truncate"`
	}

	// ServerCounts counts what a server did.
	ServerCounts struct {
		// Runs counts the calls that did their work, by stage and request.
		Runs map[string]int `json:"runs"`
		// Units sums the units of work done, by organisation and stage.
		Units map[string]float64 `json:"units"`
		Calls int64              `json:"calls"`
		// CachedUnits is the number of prompt tokens found in the cache.
		CachedUnits float64 `json:"cachedUnits"`
	}

	// Load is a server's load at a time.
	Load struct {
		Load   float64   `json:"load"`
		At     time.Time `json:"at"`
		Loaded []string  `json:"loaded,omitempty"`
	}

	// StageConfig configures a pool member or a plain service.
	StageConfig struct {
		Name  string
		Slots int
		// UnitTime is the duration of one unit of work.
		UnitTime time.Duration
		// ReportLag is the age of load reports.
		ReportLag time.Duration
	}

	// server holds what engines and stages have in common.
	server struct {
		mu          sync.Mutex
		faults      ServerFaults
		counts      ServerCounts
		slots       chan struct{}
		inFlight    int
		loadHistory []Load
		reportLag   time.Duration
	}

	// Stage stands in for a member of a stage pool or a plain service. Use
	// NewStage to create one.
	Stage struct {
		server
		cfg StageConfig
	}

	// stageRequest and stageAnswer are the JSON of pools and services.
	stageRequest struct {
		Attempt      string     `json:"attempt"`
		RequestID    string     `json:"requestId"`
		Organisation string     `json:"organisation"`
		Input        stageInput `json:"input"`
	}

	stageInput struct {
		Text      string   `json:"text"`
		Images    []string `json:"images"`
		Documents []string `json:"documents"`
	}

	stageOutput struct {
		Text      string   `json:"text,omitempty"`
		Documents []string `json:"documents,omitempty"`
	}

	stageAnswer struct {
		Attempt string      `json:"attempt"`
		Ran     string      `json:"ran"`
		Units   float64     `json:"units"`
		Output  stageOutput `json:"output"`
		Error   string      `json:"error,omitempty"`
	}
)

const (
	maxBodyBytes       = 8 << 20
	numRetrieved       = 8
	numReranked        = 3
	maxLoadHistory     = 4096
	pathControl        = "/control"
	pathCounts         = "/counts"
	pathLoad           = "/load"
	contentJSON        = "application/json"
	headerContentType  = "Content-Type"
	headerRequestID    = "X-Request-Id"
	headerOrganisation = "X-Organisation"
)

func newServer(slots int, reportLag time.Duration) server {
	return server{
		slots:     make(chan struct{}, slots),
		reportLag: reportLag,
		counts:    ServerCounts{Runs: make(map[string]int), Units: make(map[string]float64)},
	}
}

// NewStage returns a stand-in for a pool member or a service.
func NewStage(cfg StageConfig) *Stage {
	return &Stage{server: newServer(max(1, cfg.Slots), cfg.ReportLag), cfg: cfg}
}

// Handler returns the stand-in's HTTP handler, with paths to set faults and to read
// the counts.
func (s *Stage) Handler() http.Handler {
	mux := http.NewServeMux()
	s.registerControl(mux)
	mux.HandleFunc("GET "+pathLoad, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.load(time.Now())) })
	mux.HandleFunc("POST /run/{stage}", s.withBrokenHeads(s.serve))
	return mux
}

// SetFaults replaces the faults to inject.
func (s *server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns a copy of the counts.
func (s *server) Counts() ServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts
	out.Runs = make(map[string]int, len(s.counts.Runs))
	for k, v := range s.counts.Runs {
		out.Runs[k] = v
	}
	out.Units = make(map[string]float64, len(s.counts.Units))
	for k, v := range s.counts.Units {
		out.Units[k] = v
	}
	return out
}

func (s *server) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("PUT "+pathControl, func(w http.ResponseWriter, r *http.Request) {
		var f ServerFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("GET "+pathCounts, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.Counts()) })
}

// beginCall counts a call and returns the faults to inject into it.
func (s *server) beginCall() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls++
	s.recordLoad(1)
	f := s.faults
	if f.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	return f
}

// setLoadHeader reports the load in an answer's header, in the format of the
// standard Open Request Cost Aggregation (ORCA).
func (s *server) setLoadHeader(w http.ResponseWriter) {
	load := s.load(time.Now())
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf(`JSON {"named_metrics":{"in_flight":%g}}`, load.Load))
}

func (s *server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLoad(-1)
}

// recordLoad records a change of the number of calls in flight in the history, from
// which delayed reports are made. The caller holds mu.
func (s *server) recordLoad(change int) {
	s.inFlight += change
	s.loadHistory = append(s.loadHistory, Load{Load: float64(s.inFlight), At: time.Now()})
	if len(s.loadHistory) > maxLoadHistory {
		s.loadHistory = append(s.loadHistory[:0], s.loadHistory[maxLoadHistory/2:]...)
	}
}

// load returns the load as it was one reportLag before now.
func (s *server) load(now time.Time) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-s.reportLag)
	out := Load{At: at}
	for _, l := range s.loadHistory {
		if l.At.After(at) {
			break
		}
		out.Load = l.Load
	}
	return out
}

func (s *server) recordRun(requestID, organisation, stage string, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs[stage+" "+requestID]++
	s.counts.Units[organisation+" "+stage] += units
}

// runInSlot waits for a free slot and occupies it for d. It reports false if ctx
// is done before that.
func (s *server) runInSlot(ctx context.Context, d time.Duration) bool {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.slots }()
	return sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// refusalStatus returns the status code with which a new call is rejected, or 0 if
// it is accepted.
func (f ServerFaults) refusalStatus() int {
	switch {
	case f.Refuse:
		return http.StatusTooManyRequests
	case f.Drain:
		return http.StatusServiceUnavailable
	}
	return 0
}

func (f ServerFaults) scaleTime(d time.Duration) time.Duration {
	if f.Slow <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.Slow)
}

func (s *Stage) serve(w http.ResponseWriter, r *http.Request) {
	var req stageRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := s.beginCall()
	defer s.endCall()
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	s.setLoadHeader(w)
	if code := f.refusalStatus(); code != 0 {
		w.WriteHeader(code)
		writeJSON(w, stageAnswer{Attempt: req.Attempt, Ran: "no", Error: "the server accepts no new calls"})
		return
	}
	stage := r.PathValue("stage")
	units := float64(max(1, len(req.Input.Images)))
	if !s.runInSlot(r.Context(), f.scaleTime(time.Duration(units)*s.cfg.UnitTime)) {
		return
	}
	s.recordRun(req.RequestID, req.Organisation, stage, units)
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, f, req, stage, units)
}

func (s *Stage) writeAnswer(w http.ResponseWriter, f ServerFaults, req stageRequest, stage string, units float64) {
	answer := stageAnswer{Attempt: req.Attempt, Ran: "yes", Units: units, Output: newOutput(stage, req)}
	if f.Cross {
		answer.Attempt = "other-" + req.Attempt
		answer.Output.Text = "somebody else's result"
	}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerContentType, contentJSON)
	if f.Truncate {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}

// newOutput returns a result that shows to which request it belongs.
func newOutput(stage string, req stageRequest) stageOutput {
	subject := firstWord(req.Input.Text)
	switch {
	case strings.HasPrefix(stage, "retrieve"):
		var docs []string
		for i := range numRetrieved {
			docs = append(docs, fmt.Sprintf("%s document %d", subject, i))
		}
		return stageOutput{Documents: docs}
	case strings.HasPrefix(stage, "rerank"):
		return stageOutput{Documents: req.Input.Documents[:min(numReranked, len(req.Input.Documents))]}
	}
	return stageOutput{Text: subject + " " + stage}
}

func firstWord(text string) string {
	word, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	return word
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set(headerContentType, contentJSON)
	_ = json.NewEncoder(w).Encode(v)
}
