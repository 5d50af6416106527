package relay

import (
	"bytes"
	"io"
	"time"
)

// maxEventBytes is the largest incomplete event that is buffered.
const maxEventBytes = 1 << 20

// stream relays a streamed response to the caller. It relays only complete
// events, so that the stream can resume at another server.
type stream struct {
	w       ResponseWriter
	started bool
	// lastEventID is the ID of the last event that was relayed to the caller,
	// in this or an earlier attempt, or "".
	lastEventID string
	eventCount  int
	pending     []byte
}

// start writes the head of the first server's response to the caller. Later
// calls have no effect.
func (s *stream) start(status int, header map[string][]string) {
	if s.started {
		return
	}
	s.started = true
	s.w.WriteHeader(status, header)
}

// relayEvents relays events until the body ends. After each read it calls
// onRead with the number of events relayed. It returns nil if the stream is
// complete.
func (s *stream) relayEvents(body io.Reader, onRead func(events int)) error {
	s.pending = s.pending[:0]
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			s.pending = append(s.pending, buf[:n]...)
			events, writeErr := s.relayCompleteEvents()
			if writeErr != nil {
				return writeErr
			}
			onRead(events)
		}
		if err == io.EOF {
			if len(s.pending) > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(s.pending) > maxEventBytes {
			return io.ErrShortBuffer
		}
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
			s.lastEventID = id
		}
		end += n
		events++
	}
	if end == 0 {
		return 0, nil
	}
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

// stallTimeout returns how long a server may send nothing on a stream that can
// resume at another one.
func stallTimeout(targetGap time.Duration) time.Duration {
	return max(minStallTimeout, stallTimeoutGapFactor*targetGap)
}

const (
	// The stall timeout is minStallTimeout or stallTimeoutGapFactor times the
	// target gap, whichever is longer. The minimum is below the two seconds
	// after which callers give up.
	minStallTimeout       = 900 * time.Millisecond
	stallTimeoutGapFactor = 3
)
