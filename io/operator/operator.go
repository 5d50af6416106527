// Package operator serves health, readiness, metrics, status and profiles to
// operators and their tools, on a separate address from the one for callers.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"net/url"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chervilpath/core/status"
	"chervilpath/io/http1"
)

type (
	// Deps holds the dependencies of a Server.
	Deps struct {
		// Ready returns the reason why the instance accepts no new requests, or
		// nil if it does.
		Ready    func() error
		Status   func() status.Instance
		Registry *prometheus.Registry
		// Token is required for everything but health and readiness, unless it
		// is "".
		Token string
	}

	// Server serves operators. Use New to create one.
	Server struct {
		deps Deps
	}
)

// maxMessageBytes is the length up to which an error message of an instance is printed.
const maxMessageBytes = 1 << 10

// ReleasePath is where an instance on the platform releases a part of prompts that is held
// back.
const ReleasePath = "/quarantine/release"

// client makes the calls to instances for commands.
var client = http1.NewClient()

// New returns a server for operators.
func New(deps Deps) *Server { return &Server{deps: deps} }

// Handler returns the HTTP handler for operators.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /status", s.requireToken(http.HandlerFunc(s.serveStatus)))
	mux.Handle("GET /metrics", s.requireToken(promhttp.HandlerFor(s.deps.Registry, promhttp.HandlerOpts{})))
	mux.Handle("GET /debug/pprof/", s.requireToken(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", s.requireToken(http.HandlerFunc(pprof.Profile)))
	mux.Handle("GET /debug/pprof/trace", s.requireToken(http.HandlerFunc(pprof.Trace)))
	return mux
}

// requireToken returns a handler that calls h only for requests with the
// operators' token.
func (s *Server) requireToken(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.deps.Token != "" && subtle.ConstantTimeCompare([]byte(got), []byte(s.deps.Token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := s.deps.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.deps.Status())
}

// FetchStatus requests the status of an instance. The address is its address for
// operators, or the URL if it does not use plain HTTP. The token may be "".
func FetchStatus(ctx context.Context, address, token string) (status.Instance, error) {
	var out status.Instance
	resp, err := call(ctx, http.MethodGet, address, "/status", token)
	if err != nil {
		return out, fmt.Errorf("requesting the status of %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("requesting the status of %s: HTTP status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, fmt.Errorf("decoding the status of %s: %w", address, err)
	}
	return out, nil
}

// Release has an instance release a part of a service's prompts that is held back. The
// address and the token are those of FetchStatus.
func Release(ctx context.Context, address, token, service, part string) error {
	query := url.Values{"service": {service}, "part": {part}}
	resp, err := call(ctx, http.MethodPost, address, ReleasePath+"?"+query.Encode(), token)
	if err != nil {
		return fmt.Errorf("releasing a part at %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
		return fmt.Errorf("releasing a part at %s: HTTP status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(message)))
	}
	return nil
}

func call(ctx context.Context, method, address, target, token string) (*http.Response, error) {
	baseURL := address
	if !strings.Contains(address, "://") {
		baseURL = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, method, baseURL+target, nil)
	if err != nil {
		return nil, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return client.Do(req)
}
