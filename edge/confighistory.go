package edge

import (
	"slices"

	"chervilpath/core/delta"
	"chervilpath/io/peer"
)

const (
	// maxHistoryVersions and maxHistoryBytes bound the earlier configurations that
	// are kept for peers that have them.
	maxHistoryVersions = 4
	maxHistoryBytes    = 4 << 20
)

type (
	// configHistory holds the configuration in force and the ones before it, in the
	// forms in which peers get it. It is not safe for concurrent use.
	configHistory struct {
		// versions holds the newest configuration last.
		versions []configText
		// whole is the compressed configuration in force, and deltas are the
		// compressed differences from earlier ones, by their digest. They are made
		// when the first peer needs them.
		whole  []byte
		deltas map[uint64][]byte
	}

	// configText is a configuration as it was read.
	configText struct {
		spec   []byte
		digest uint64
	}
)

// add sets the configuration in force.
func (h *configHistory) add(spec []byte) {
	h.versions = append(h.versions, configText{spec: spec, digest: delta.Digest(spec)})
	h.whole, h.deltas = nil, make(map[uint64][]byte)
	size := 0
	for i := len(h.versions) - 1; i >= 0; i-- {
		size += len(h.versions[i].spec)
		if n := len(h.versions) - i; n > maxHistoryVersions || n > 1 && size > maxHistoryBytes {
			h.versions = append([]configText(nil), h.versions[i+1:]...)
			return
		}
	}
}

// current returns the configuration in force, or nil if there is none.
func (h *configHistory) current() []byte {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1].spec
}

// digest returns the digest of the configuration in force, or 0 if there is none.
func (h *configHistory) digest() uint64 {
	if len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].digest
}

// has reports whether the configuration with the given digest is in force, or was before it.
func (h *configHistory) has(digest uint64) bool {
	return slices.ContainsFunc(h.versions, func(v configText) bool { return v.digest == digest })
}

// forPeer returns the configuration in force for a peer that has the one with the
// given digest: the difference if the peer's is known and the difference is
// smaller, and the whole otherwise. Both are compressed.
func (h *configHistory) forPeer(digest uint64) (whole, difference []byte) {
	if h.whole == nil {
		h.whole = peer.Compress(h.current())
	}
	for _, v := range h.versions[:len(h.versions)-1] {
		if v.digest != digest {
			continue
		}
		d, ok := h.deltas[digest]
		if !ok {
			d = peer.Compress(delta.Make(v.spec, h.current()))
			h.deltas[digest] = d
		}
		if len(d) < len(h.whole) {
			return nil, d
		}
	}
	return h.whole, nil
}
