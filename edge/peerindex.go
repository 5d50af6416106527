package edge

import (
	"sync"
	"time"
)

// peerIndexRetention is how long an entry is kept at least. It is longer than any
// request may take.
const peerIndexRetention = time.Minute

// peerIndex remembers which peer did some work, by the key of the work. An entry
// that is never taken is dropped between one and two retention periods after it
// was recorded. It is safe for concurrent use.
type peerIndex struct {
	mu sync.Mutex
	// recent holds the entries since rotatedAt, and older those of the period
	// before.
	recent, older map[string]string
	rotatedAt     time.Time
}

func newPeerIndex(now time.Time) *peerIndex {
	return &peerIndex{recent: make(map[string]string), rotatedAt: now}
}

// record records the address of a peer for some keys.
func (x *peerIndex) record(now time.Time, keys []string, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rotate(now)
	for _, k := range keys {
		x.recent[k] = address
	}
}

// take removes a key and returns the address that was recorded for it, or "" if
// there is none.
func (x *peerIndex) take(key string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	address := x.lookUp(key)
	delete(x.recent, key)
	delete(x.older, key)
	return address
}

// find returns the address that was recorded for a key, or "" if there is none.
func (x *peerIndex) find(key string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lookUp(key)
}

// lookUp is find for a caller that holds mu.
func (x *peerIndex) lookUp(key string) string {
	if address, ok := x.recent[key]; ok {
		return address
	}
	return x.older[key]
}

// has reports whether an address is recorded for a key.
func (x *peerIndex) has(key, address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.recent[key] == address || x.older[key] == address
}

// len returns the number of entries.
func (x *peerIndex) len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.recent) + len(x.older)
}

// rotate drops the entries of the period before the last one. The caller holds
// mu.
func (x *peerIndex) rotate(now time.Time) {
	elapsed := now.Sub(x.rotatedAt)
	if elapsed < peerIndexRetention {
		return
	}
	x.older = x.recent
	if elapsed >= 2*peerIndexRetention {
		x.older = nil
	}
	x.recent, x.rotatedAt = make(map[string]string), now
}
