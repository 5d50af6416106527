package edge

import "sync"

// maxDigests is the largest number of peers whose digests are kept.
const maxDigests = 256

// digests holds, by address, the digest of the directory that a peer last sent. A
// peer sends its directory again only after it has changed there: what both know
// need not become the same. It is safe for concurrent use.
type digests struct {
	mu        sync.Mutex
	byAddress map[string]uint64
}

func (d *digests) get(address string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byAddress[address]
}

func (d *digests) set(address string, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byAddress == nil || len(d.byAddress) >= maxDigests {
		d.byAddress = make(map[string]uint64)
	}
	d.byAddress[address] = digest
}
