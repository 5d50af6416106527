package delta

import (
	"bytes"
	"iter"
)

// records returns an iterator over the records of a text. A record ends with a
// closing brace and has at least minRecordBytes, except the last one.
func records(text []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(text) > 0 {
			end := len(text)
			if len(text) > minRecordBytes {
				if i := bytes.IndexByte(text[minRecordBytes-1:], '}'); i >= 0 {
					end = minRecordBytes + i
				}
			}
			if !yield(text[:end]) {
				return
			}
			text = text[end:]
		}
	}
}
