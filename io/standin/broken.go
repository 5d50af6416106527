package standin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
)

// brokenHeads are the beginnings of heads that HTTP/1.1 does not allow, by the values of the
// fault BrokenHead.
var brokenHeads = map[string]string{
	"status": "HTTP/1.1 000 OK\r\n",
	"field":  "HTTP/1.1 200 OK\r\nX Extra: 1\r\n",
}

// withBrokenHeads serves calls as next does, and breaks the heads of the answers while that fault
// is set.
func (s *server) withBrokenHeads(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		head, ok := brokenHeads[s.faults.BrokenHead]
		s.mu.Unlock()
		if !ok {
			next(w, r)
			return
		}
		answer := httptest.NewRecorder()
		next(answer, r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = conn.Close() }()
		// A caller that has gone needs no answer.
		_, _ = fmt.Fprintf(conn, "%s%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", head, headerRequestID, answer.Header().Get(headerRequestID),
			headerContentType, answer.Header().Get(headerContentType), answer.Body.Len(), answer.Body)
	}
}
