package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Compress compresses data that is sent to many instances. A configuration of
// hundreds of kilobytes would otherwise saturate the links of small instances.
func Compress(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		// NewWriter fails only for an invalid level.
		panic(err)
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// Decompress returns the data that Compress compressed. It returns an error if the
// input is invalid or truncated, or if the data is larger than limit bytes.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	out, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing %d bytes from a peer: %w", len(compressed), err)
	}
	if int64(len(out)) > limit {
		return nil, fmt.Errorf("decompressing %d bytes from a peer: the result is larger than %d bytes", len(compressed), limit)
	}
	return out, nil
}
