package relay

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

func newStream(out *bytes.Buffer) *stream {
	return &stream{w: ResponseWriter{Write: func(p []byte) error { out.Write(p); return nil }}}
}

func TestOnlyCompleteEventsAreRelayed(t *testing.T) {
	var out bytes.Buffer
	s := newStream(&out)
	err := s.relayEvents(io.MultiReader(bytes.NewBufferString("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(io.ErrUnexpectedEOF)), false, func(int) {})
	if !errors.Is(err, io.ErrUnexpectedEOF) || out.String() != "id: 1\ndata: a\n\n" || s.lastEventID != "1" {
		t.Errorf("relayed %q up to event %q: %v", out.String(), s.lastEventID, err)
	}
}

func TestStreamEndingWithinAnEventIsIncomplete(t *testing.T) {
	var out bytes.Buffer
	if err := newStream(&out).relayEvents(bytes.NewBufferString("id: 1\ndata: a\n\nid: 2\n"), false, func(int) {}); err == nil {
		t.Error("a stream that ends within an event is reported as complete")
	}
}

// The bytes of a stream are relayed unchanged, however they are split into
// reads.
func TestReadBoundariesDoNotAffectTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		var in bytes.Buffer
		n := rapid.IntRange(0, 20).Draw(t, "events")
		for range n {
			in.WriteString("id: " + rapid.StringMatching("[0-9]{1,4}").Draw(t, "id") + lineEnd)
			in.WriteString("data: " + rapid.StringMatching("[a-z ]{0,40}").Draw(t, "data") + lineEnd + lineEnd)
		}
		want := in.String()
		var out bytes.Buffer
		s := newStream(&out)
		if err := s.relayEvents(iotest.OneByteReader(&in), false, func(int) {}); err != nil || out.String() != want || s.eventCount != n {
			t.Fatalf("relayed %d of %d events, %q for %q: %v", s.eventCount, n, out.String(), want, err)
		}
	})
}
