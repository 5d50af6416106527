// Package delta encodes a text as its difference from another one that the
// receiver has. It is made for texts that consist of many similar records, such as
// configurations in JSON, of which few change.
//
// The package knows nothing of the texts but that their records end with a closing
// brace.
package delta

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRecordBytes is the least size of a record that is looked up in the old
	// text. Shorter ones are joined with the next one.
	minRecordBytes = 48

	// headerBytes is the size of the header: the digests of both texts.
	headerBytes = 16
)

// The operations of a delta. Each is followed by its operands as varints.
const (
	// opCopy copies from an offset of the old text a number of bytes.
	opCopy = iota
	// opInsert inserts a number of bytes, which follow.
	opInsert
)

// ErrBase is wrapped by the errors of deltas that were made for another old text.
var ErrBase = errors.New("the delta is for another text")

// Digest returns a number by which a text is recognised.
func Digest(text []byte) uint64 { return xxhash.Sum64(text) }

// Make returns the difference of a new text from an old one.
func Make(old, text []byte) []byte {
	offsets := make(map[string]int)
	offset := 0
	for record := range records(old) {
		offsets[string(record)] = offset
		offset += len(record)
	}
	w := &writer{text: text}
	w.out = binary.BigEndian.AppendUint64(w.out, Digest(old))
	w.out = binary.BigEndian.AppendUint64(w.out, Digest(text))
	position := 0
	for record := range records(text) {
		if at, ok := offsets[string(record)]; ok {
			w.copy(position, at, len(record))
		}
		position += len(record)
	}
	w.finish(position)
	return w.out
}

// writer collects the operations of a delta. The bytes of the new text between
// written and the pending copy are inserted.
type writer struct {
	out, text []byte
	// written is the number of bytes of the new text that have been encoded.
	written int
	// The pending copy starts at copyStart of the new text and at copyFrom of the
	// old one, and has copyLen bytes.
	copyStart, copyFrom, copyLen int
}

// copy encodes that n bytes of the new text from position on are those from an
// offset of the old one on.
func (w *writer) copy(position, from, n int) {
	if w.copyLen > 0 && position == w.copyStart+w.copyLen && from == w.copyFrom+w.copyLen {
		w.copyLen += n
		return
	}
	w.flush()
	w.copyStart, w.copyFrom, w.copyLen = position, from, n
}

// flush writes the pending copy and what has to be inserted before it.
func (w *writer) flush() {
	if w.copyLen == 0 {
		return
	}
	w.insert(w.copyStart)
	w.out = append(w.out, opCopy)
	w.out = binary.AppendUvarint(w.out, uint64(w.copyFrom))
	w.out = binary.AppendUvarint(w.out, uint64(w.copyLen))
	w.written, w.copyLen = w.copyStart+w.copyLen, 0
}

// insert writes the bytes of the new text up to a position.
func (w *writer) insert(end int) {
	if end == w.written {
		return
	}
	w.out = append(w.out, opInsert)
	w.out = binary.AppendUvarint(w.out, uint64(end-w.written))
	w.out = append(w.out, w.text[w.written:end]...)
	w.written = end
}

func (w *writer) finish(end int) {
	w.flush()
	w.insert(end)
}

// Target returns the digest of the text that a delta yields, and reports false if the delta
// has no header.
func Target(delta []byte) (uint64, bool) {
	if len(delta) < headerBytes {
		return 0, false
	}
	return binary.BigEndian.Uint64(delta[8:]), true
}

// Apply returns the new text, given the old one. It returns an error if the delta
// is invalid, was made for another old text, or yields more than limit bytes.
func Apply(old, delta []byte, limit int) ([]byte, error) {
	if len(delta) < headerBytes {
		return nil, fmt.Errorf("delta of %d bytes has no header", len(delta))
	}
	if binary.BigEndian.Uint64(delta) != Digest(old) {
		return nil, ErrBase
	}
	want := binary.BigEndian.Uint64(delta[8:])
	rest := bytes.NewReader(delta[headerBytes:])
	var out []byte
	for rest.Len() > 0 {
		next, err := readOperation(rest, old)
		if err != nil {
			return nil, err
		}
		if len(out)+len(next) > limit {
			return nil, fmt.Errorf("delta yields more than %d bytes", limit)
		}
		out = append(out, next...)
	}
	if Digest(out) != want {
		return nil, errors.New("delta does not yield the text that it was made for")
	}
	return out, nil
}

// readOperation returns the bytes that the next operation yields.
func readOperation(r *bytes.Reader, old []byte) ([]byte, error) {
	op, err := r.ReadByte()
	if err != nil {
		return nil, fmt.Errorf("reading an operation of a delta: %w", err)
	}
	first, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, fmt.Errorf("reading an operand of a delta: %w", err)
	}
	switch op {
	case opCopy:
		n, err := binary.ReadUvarint(r)
		if err != nil {
			return nil, fmt.Errorf("reading an operand of a delta: %w", err)
		}
		if first > uint64(len(old)) || n > uint64(len(old))-first {
			return nil, fmt.Errorf("delta copies %d bytes from offset %d of a text of %d", n, first, len(old))
		}
		return old[first : first+n], nil
	case opInsert:
		if first > uint64(r.Len()) {
			return nil, fmt.Errorf("delta inserts %d bytes but only %d follow", first, r.Len())
		}
		inserted := make([]byte, first)
		// The length was checked, so that the read is complete.
		_, _ = r.Read(inserted)
		return inserted, nil
	}
	return nil, fmt.Errorf("delta has an unknown operation %d", op)
}
