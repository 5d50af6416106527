package relay

import (
	"bytes"
	"io"
	"time"
)

// maxEventBytes is the largest part of a stream that is held until its event ends.
const maxEventBytes = 1 << 20

// stream relays the events of a streamed answer, whole ones only, so that it
// can go on at another server.
type stream struct {
	w       ResponseWriter
	started bool
	// lastEventID is the id of the last event that was relayed, or "".
	lastEventID string
	eventCount  int
	pending     []byte
}

// start gives the head of the first server's answer to the caller.
func (s *stream) start(status int, header map[string][]string) {
	if s.started {
		return
	}
	s.started = true
	s.w.WriteHeader(status, header)
}

// relayEvents relays events until the body ends. It calls seen after each read. It
// returns nil if the stream is complete.
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

// relayCompleteEvents passes on what has ended of the events read so far.
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

// eventLen returns the length of the first event with its blank line, or 0 if
// it has not ended.
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

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// stallTimeout is how long a stream that may go on elsewhere may be silent.
func stallTimeout(targetGap time.Duration) time.Duration {
	return max(minStallTimeout, stallTimeoutGapFactor*targetGap)
}

const (
	// minStallTimeout and silenceGaps bound the silence of a resumable stream, below
	// the two seconds after which callers give up.
	minStallTimeout       = 900 * time.Millisecond
	stallTimeoutGapFactor = 3
)
