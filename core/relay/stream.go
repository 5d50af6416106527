package relay

import (
	"bytes"
	"io"
	"time"
)

// maxEvent is the largest part of a stream that is held until its event ends.
const maxEvent = 1 << 20

// stream relays the events of a streamed answer, whole ones only, so that it
// can go on at another server.
type stream struct {
	caller Caller
	begun  bool
	// last is the id of the last event that was relayed, or "".
	last   string
	events int
	rest   []byte
}

// begin gives the head of the first server's answer to the caller.
func (s *stream) begin(status int, header map[string][]string) {
	if s.begun {
		return
	}
	s.begun = true
	s.caller.Begin(status, header)
}

// pump relays events until the body ends. It calls seen after each read. It
// returns nil if the stream is complete.
func (s *stream) pump(body io.Reader, seen func(events int)) error {
	s.rest = s.rest[:0]
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			s.rest = append(s.rest, buf[:n]...)
			events, werr := s.relayWhole()
			if werr != nil {
				return werr
			}
			seen(events)
		}
		if err == io.EOF {
			if len(s.rest) > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(s.rest) > maxEvent {
			return io.ErrShortBuffer
		}
	}
}

// relayWhole passes on what has ended of the events read so far.
func (s *stream) relayWhole() (int, error) {
	end, events := 0, 0
	for {
		n := eventLen(s.rest[end:])
		if n == 0 {
			break
		}
		if id, ok := eventID(s.rest[end : end+n]); ok {
			s.last = id
		}
		end += n
		events++
	}
	if end == 0 {
		return 0, nil
	}
	if err := s.caller.Write(s.rest[:end]); err != nil {
		return 0, &callerError{err}
	}
	s.rest = append(s.rest[:0], s.rest[end:]...)
	s.events += events
	return events, nil
}

// callerError is an error of a write to the caller.
type callerError struct{ err error }

func (e *callerError) Error() string { return "writing to the caller: " + e.err.Error() }
func (e *callerError) Unwrap() error { return e.err }

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

// silence is how long a stream that may go on elsewhere may be silent.
func silence(gapAim time.Duration) time.Duration {
	return max(minSilence, silenceGaps*gapAim)
}

const (
	// minSilence and silenceGaps bound the silence of a resumable stream, below
	// the two seconds after which callers give up.
	minSilence  = 900 * time.Millisecond
	silenceGaps = 3
)
