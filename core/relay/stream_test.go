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
	return &stream{caller: Caller{Write: func(p []byte) error { out.Write(p); return nil }}}
}

func TestOnlyWholeEventsAreRelayed(t *testing.T) {
	var out bytes.Buffer
	s := newStream(&out)
	err := s.pump(io.MultiReader(bytes.NewBufferString("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(io.ErrUnexpectedEOF)), func(int) {})
	if !errors.Is(err, io.ErrUnexpectedEOF) || out.String() != "id: 1\ndata: a\n\n" || s.last != "1" {
		t.Errorf("relayed %q up to event %q: %v", out.String(), s.last, err)
	}
}

func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	var out bytes.Buffer
	if err := newStream(&out).pump(bytes.NewBufferString("id: 1\ndata: a\n\nid: 2\n"), func(int) {}); err == nil {
		t.Error("a stream that ends within an event is taken as complete")
	}
}

// However the bytes of a stream are cut into reads, they are relayed as they came.
func TestReadsDoNotChangeTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		var in bytes.Buffer
		n := rapid.IntRange(0, 20).Draw(t, "events")
		for range n {
			in.WriteString("id: " + rapid.StringMatching("[0-9]{1,4}").Draw(t, "id") + end)
			in.WriteString("data: " + rapid.StringMatching("[a-z ]{0,40}").Draw(t, "data") + end + end)
		}
		want := in.String()
		var out bytes.Buffer
		s := newStream(&out)
		if err := s.pump(iotest.OneByteReader(&in), func(int) {}); err != nil || out.String() != want || s.events != n {
			t.Fatalf("relayed %d of %d events, %q for %q: %v", s.events, n, out.String(), want, err)
		}
	})
}
