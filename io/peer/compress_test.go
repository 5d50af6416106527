package peer_test

import (
	"bytes"
	"strings"
	"testing"

	"chervilpath/io/peer"
)

func TestCompressAndDecompress(t *testing.T) {
	data := []byte(strings.Repeat(`{"name":"r-1","host":"site.example"},`, 2000))
	compressed := peer.Compress(data)
	if len(compressed) > len(data)/10 {
		t.Errorf("%d bytes were compressed to %d, want at most a tenth", len(data), len(compressed))
	}
	if got, err := peer.Decompress(compressed, int64(len(data))); err != nil || !bytes.Equal(got, data) {
		t.Errorf("Decompress() returned %d bytes, %v; want the original data", len(got), err)
	}
	if _, err := peer.Decompress(compressed, int64(len(data))-1); err == nil {
		t.Error("data larger than the limit was accepted")
	}
	if _, err := peer.Decompress(compressed[:len(compressed)/2], 1<<20); err == nil {
		t.Error("truncated input was accepted")
	}
	if _, err := peer.Decompress([]byte(strings.Repeat("x", 40)), 1<<20); err == nil {
		t.Error("input that was not compressed was accepted")
	}
}
