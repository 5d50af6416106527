package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headerRequestID   = "Chervilpath-Request-Id"
	headerStamp       = "Chervilpath-Server-Stamp"
	headerNotExecuted = "Chervilpath-Not-Executed"
	headerExpect      = "Chervilpath-Expect-Instance"
	headerInstance    = "Chervilpath-Instance-Id"
	headerInputs      = "Chervilpath-Inputs"
	headerPieces      = "Chervilpath-Pieces"
	headerPieceKey    = "Chervilpath-Piece-Key"
	headerDeadline    = "Chervilpath-Deadline-Ms"
)

// results are the results that lie at stage servers, by handle.
type results struct {
	mu   sync.Mutex
	made map[string]result
}

type result struct {
	request      string
	stage, piece int
	bytes        int64
	server       *stageServer
	expires      time.Time
	freed        bool
}

// stageServer is a server of a stage service as PROTOCOL.md describes it: one call at a time, a
// short queue, room for results that lasts until they are freed or expire.
type stageServer struct {
	d        *drive
	id       string
	listener net.Listener
	all      *results
	config   stageConfig

	// turn is held by the call that is worked on.
	turn    chan struct{}
	mu      sync.Mutex
	inQueue int
	used    int64
	rng     *rand.Rand
	// garbles is set while some answers are written a second time, late.
	garbles bool
	answers int
	copies  int
	noRoom  int
}

type stageConfig struct {
	queue        int
	call, item   time.Duration
	room         int64
	handleTime   time.Duration
	resultBytes  int64
	copiedAnswer float64
}

func newStageServer(d *drive, id string, all *results, c stageConfig) (*stageServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &stageServer{d: d, id: id, listener: l, all: all, config: c, turn: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(d.seed, uint64(len(id))+uint64(id[len(id)-1])))}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *stageServer) address() string { return s.listener.Addr().String() }

func (s *stageServer) setGarbles(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garbles = on
}

// serve answers the requests of one connection, one after the other. If an answer is to be
// written twice, the second one is written when the next request has come, where its answer is
// expected.
func (s *stageServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	again := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if again != "" {
			s.d.log("%s: second answer on %v: %s", s.id, conn.RemoteAddr(), again[strings.Index(again, "\r\n\r\n")+4:])
			if _, err := io.WriteString(conn, again); err != nil {
				return
			}
			again = ""
		}
		text, mayRepeat := s.answer(req, body, conn.RemoteAddr().String())
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if mayRepeat && s.repeats() {
			again = text
		}
	}
}

// repeats reports whether an answer is written a second time.
func (s *stageServer) repeats() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if !s.garbles || s.rng.Float64() >= s.config.copiedAnswer {
		return false
	}
	s.copies++
	return true
}

func respond(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

func (s *stageServer) answer(req *http.Request, body []byte, from string) (text string, mayRepeat bool) {
	if want := req.Header.Get(headerExpect); want != "" && want != s.id {
		return respond(http.StatusMisdirectedRequest, headerInstance+": "+s.id+"\r\n", ""), false
	}
	switch req.URL.Path {
	case "/stage-run":
		return s.runPieces(body, from), true
	case "/stage-free":
		s.free(body)
		return respond(http.StatusOK, "", ""), false
	}
	return respond(http.StatusOK, headerInstance+": "+s.id+"\r\n", ""), false
}

func (s *stageServer) runPieces(body []byte, from string) string {
	var call struct {
		Items []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Piece int    `json:"piece"`
		} `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return respond(http.StatusBadRequest, headerNotExecuted+": 1\r\n", "")
	}
	s.mu.Lock()
	if s.inQueue > s.config.queue {
		s.mu.Unlock()
		return respond(http.StatusServiceUnavailable, headerNotExecuted+": 1\r\n", "")
	}
	s.inQueue++
	s.mu.Unlock()
	s.turn <- struct{}{}
	defer func() {
		s.mu.Lock()
		s.inQueue--
		s.mu.Unlock()
		<-s.turn
	}()
	// A result takes up room from the turn of its call.
	hasRoom := make([]bool, len(call.Items))
	n := 0
	for i := range call.Items {
		if hasRoom[i] = s.take(); hasRoom[i] {
			n++
		}
	}
	time.Sleep(s.config.call + time.Duration(n)*s.config.item)
	var items, ids []string
	for i, it := range call.Items {
		ids = append(ids, fmt.Sprintf("%s/%d", it.ID, it.Piece))
		if !hasRoom[i] {
			items = append(items, `{"reason":"room"}`)
			continue
		}
		items = append(items, fmt.Sprintf(`{"handle":%q}`, s.make(it.ID, it.Stage, it.Piece)))
	}
	s.d.log("%s: call from %s for pieces %s: %d with a result", s.id, from, strings.Join(ids, " "), n)
	return respond(http.StatusOK, "Chervilpath-Server-Load: 0,0,1\r\n", `{"items":[`+strings.Join(items, ",")+"]}")
}

// take takes room for one result and reports whether there is any.
func (s *stageServer) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+s.config.resultBytes > s.config.room {
		s.noRoom++
		return false
	}
	s.used += s.config.resultBytes
	return true
}

func (s *stageServer) give(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= n
}

// make stores a result and returns its handle. It lies there until it is freed or expires.
func (s *stageServer) make(request string, stage, piece int) string {
	handle := fmt.Sprintf("%s/%012x", s.address(), rand.Uint64()>>16)
	s.all.mu.Lock()
	s.all.made[handle] = result{request: request, stage: stage, piece: piece, bytes: s.config.resultBytes, server: s, expires: time.Now().Add(s.config.handleTime)}
	s.all.mu.Unlock()
	time.AfterFunc(s.config.handleTime, func() { s.all.free(handle) })
	return handle
}

func (s *stageServer) free(body []byte) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if json.Unmarshal(body, &call) != nil {
		return
	}
	for _, h := range call.Handles {
		s.all.free(h)
	}
}

func (r *results) free(handle string) {
	r.mu.Lock()
	res, ok := r.made[handle]
	if ok && !res.freed {
		res.freed = true
		r.made[handle] = res
		defer res.server.give(res.bytes)
	}
	r.mu.Unlock()
}

// get returns a result and whether it still lies at its server.
func (r *results) get(handle string) (result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	res, ok := r.made[handle]
	return res, ok && !res.freed
}
