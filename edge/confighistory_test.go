package edge

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"chervilpath/core/delta"
	"chervilpath/io/peer"
)

func specOf(version, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","pathPrefix":"/p%d/","service":"s-%d","timeoutMs":%d},`, i, i*7919%101, i*104729%9973, i%7, 3000+version*(i%1000/999))
	}
	return []byte(b.String() + "]}")
}

// Pattern: versions of a configuration of 3,300 routes follow each other quickly. A
// peer that has one of the last versions gets a small difference, and a peer that
// has another one gets the whole.
func TestPeersGetTheDifferenceTheyNeed(t *testing.T) {
	var h configHistory
	for version := 1; version <= 6; version++ {
		h.add(specOf(version, 3300))
	}
	for version := 1; version <= 5; version++ {
		old := specOf(version, 3300)
		whole, difference := h.forPeer(delta.Digest(old))
		if known := version > 6-maxHistoryVersions; known != (difference != nil) || known == (whole != nil) {
			t.Errorf("a peer with version %d gets a whole of %d bytes and a difference of %d", version, len(whole), len(difference))
			continue
		}
		if difference == nil {
			continue
		}
		if len(difference) > 1000 {
			t.Errorf("the difference from version %d has %d bytes", version, len(difference))
		}
		d, err := peer.Decompress(difference, maxConfigBytes)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := delta.Apply(old, d, maxConfigBytes); err != nil || !bytes.Equal(got, h.current()) {
			t.Errorf("the difference from version %d yields %d bytes, error %v", version, len(got), err)
		}
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var h configHistory
	for version := range 20 {
		h.add(make([]byte, 1<<20+version))
	}
	if size := len(h.versions) << 20; size > maxHistoryBytes+1<<20 {
		t.Errorf("%d versions of 1 MiB are kept", len(h.versions))
	}
	h.add(make([]byte, 2*maxHistoryBytes))
	if len(h.versions) != 1 || h.current() == nil {
		t.Errorf("%d versions are kept after one that is larger than the bound", len(h.versions))
	}
}
