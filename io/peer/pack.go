package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Compress compresses what many instances are told, since a configuration of
// hundreds of kilobytes would fill the links of small machines.
func Compress(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		// The level is one that the library has.
		panic(err)
	}
	// A buffer takes every write.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// Decompress returns what Pack compressed. An error says that it cannot be read or
// is larger than limit bytes.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	out, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("unpacking %d bytes of a peer: %w", len(compressed), err)
	}
	if int64(len(out)) > limit {
		return nil, fmt.Errorf("unpacking %d bytes of a peer: more than %d bytes", len(compressed), limit)
	}
	return out, nil
}
