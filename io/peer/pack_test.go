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
		t.Errorf("%d bytes become %d", len(data), len(compressed))
	}
	if got, err := peer.Decompress(compressed, int64(len(data))); err != nil || !bytes.Equal(got, data) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, err := peer.Decompress(compressed, int64(len(data))-1); err == nil {
		t.Error("more than the limit is taken")
	}
	if _, err := peer.Decompress(compressed[:len(compressed)/2], 1<<20); err == nil {
		t.Error("a part is taken for the whole")
	}
	if _, err := peer.Decompress([]byte(strings.Repeat("x", 40)), 1<<20); err == nil {
		t.Error("bytes that were not packed are taken")
	}
}
