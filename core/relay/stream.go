package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"chervilpath/core/memory"
)

// maxEventBytes is the largest incomplete event that is buffered.
const maxEventBytes = 1 << 20

// stream relays a streamed response to the caller. It relays only complete
// events, so that the stream can resume at another server.
type stream struct {
	w ResponseWriter
	// started is set once the head has been written to the caller.
	started bool
	// head is the head of the response that is to be relayed, until it is written.
	head *Response
	// resuming is set until the first event of a later server's response.
	resuming bool
	// lastEventID is the ID of the last event that was relayed to the caller,
	// in this or an earlier attempt, or "".
	lastEventID string
	eventCount  int
	// pending holds the beginning of an event that is not complete. If it is large, reserved
	// is the room for it, which reserve gets.
	pending  []byte
	reserved memory.Reservation
	hasRoom  bool
	reserve  func(n int64) (memory.Reservation, error)
}

var (
	errNoStream      = errors.New("the response after a broken stream is no stream")
	errEventRepeated = errors.New("the response repeats an event that was relayed before")
)

// begin takes the head of a response, which is written to the caller before its first
// event: until then a request that fails can still get an error response. It returns an
// error if an earlier response has been relayed in part and this one is no stream.
func (s *stream) begin(resp *Response) error {
	if !s.started {
		s.head = resp
		return nil
	}
	if !resp.EventStream {
		return errNoStream
	}
	s.resuming = true
	return nil
}

// start writes the head to the caller unless one has been written.
func (s *stream) start() {
	if s.started || s.head == nil {
		return
	}
	s.started = true
	s.w.WriteHeader(s.head.Status, s.head.Header)
}

// relayEvents relays events until the body ends. After each read it calls
// onRead with the number of events relayed. It returns nil if the stream is
// complete. One whose end is that of its connection is not if it has no event.
func (s *stream) relayEvents(body io.Reader, endsWithConnection bool, onRead func(events int)) error {
	s.pending = s.pending[:0]
	defer s.releasePending()
	before := s.eventCount
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			s.pending = append(s.pending, buf[:n]...)
			events, relayErr := s.relayCompleteEvents()
			if relayErr != nil {
				return relayErr
			}
			onRead(events)
		}
		if err == io.EOF {
			if len(s.pending) > 0 || endsWithConnection && s.eventCount == before {
				return io.ErrUnexpectedEOF
			}
			s.start()
			return nil
		}
		if err != nil {
			return err
		}
		if len(s.pending) > maxEventBytes {
			return io.ErrShortBuffer
		}
		if err := s.reservePending(); err != nil {
			return err
		}
	}
}

// reservePending reserves room for an incomplete event that has become large, and gives it back
// once there is none any more.
func (s *stream) reservePending() error {
	if len(s.pending) <= memory.SmallBytes {
		s.releasePending()
		return nil
	}
	if s.hasRoom || s.reserve == nil {
		return nil
	}
	reserved, err := s.reserve(maxEventBytes)
	s.reserved, s.hasRoom = reserved, err == nil
	return err
}

// releasePending gives back the room for an incomplete event, and its buffer if that is large.
func (s *stream) releasePending() {
	s.reserved.Release()
	s.hasRoom = false
	if cap(s.pending) > memory.SmallBytes {
		s.pending = append([]byte(nil), s.pending...)
	}
}

// relayCompleteEvents relays the pending events that are complete and returns
// their number.
func (s *stream) relayCompleteEvents() (int, error) {
	end, events := 0, 0
	for {
		n := eventLen(s.pending[end:])
		if n == 0 {
			break
		}
		if id, ok := eventID(s.pending[end : end+n]); ok {
			if s.resuming && !follows(s.lastEventID, id) {
				return 0, fmt.Errorf("%w: %q after %q", errEventRepeated, id, s.lastEventID)
			}
			s.resuming = false
			s.lastEventID = id
		}
		end += n
		events++
	}
	if end == 0 {
		return 0, nil
	}
	s.start()
	if err := s.w.Write(s.pending[:end]); err != nil {
		return 0, &callerWriteError{err}
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.eventCount += events
	return events, nil
}

// callerWriteError is an error of a write to the caller.
type callerWriteError struct{ err error }

func (e *callerWriteError) Error() string { return "writing to the caller: " + e.err.Error() }
func (e *callerWriteError) Unwrap() error { return e.err }

// eventLen returns the length of the first event including its blank line, or 0
// if the event is incomplete.
func eventLen(b []byte) int {
	for i := 0; i < len(b); {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return 0
		}
		if line := bytes.TrimSuffix(b[i:i+j], []byte("\r")); len(line) == 0 {
			return i + j + 1
		}
		i += j + 1
	}
	return 0
}

// eventID returns the ID of an event and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// follows reports whether an event with the given ID may come after the one with the
// ID last, or "" if there is none: numeric IDs increase.
func follows(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
