package peer

import (
	"context"

	"chervilpath/io/peer/peerpb"
)

// Quarantine holds the functions by which pings carry the evidence against parts of
// prompts.
type Quarantine struct {
	// Digest returns the digest of this instance's evidence, and Whole all of it.
	Digest func() uint64
	Whole  func() []byte
	// Merge adds the evidence of the instance with the given ID.
	Merge func(from string, data []byte)
}

// ShareQuarantine makes pings carry evidence. It must be called before Run.
func (m *Members) ShareQuarantine(q Quarantine) { m.quarantine = &q }

// PushQuarantine sends a change of the evidence to some members immediately. They pass on
// what is new to them.
func (m *Members) PushQuarantine(ctx context.Context, change []byte) {
	for _, other := range m.SampleLive(pushFanout) {
		go func() { _ = m.pingWith(ctx, other.Address, other.ID, change) }()
	}
}

func (m *Members) quarantineDigest() uint64 {
	if m.quarantine == nil {
		return 0
	}
	return m.quarantine.Digest()
}

// answerQuarantine merges the evidence in a ping and adds to the reply what the caller may
// lack.
func (m *Members) answerQuarantine(req *peerpb.PingRequest, reply *peerpb.PingReply) {
	if m.quarantine == nil {
		return
	}
	if len(req.Quarantine) > 0 {
		m.quarantine.Merge(req.GetFrom().GetId(), req.Quarantine)
	}
	reply.QuarantineDigest = m.quarantine.Digest()
	if reply.QuarantineDigest != req.QuarantineDigest && len(req.Quarantine) == 0 {
		reply.Quarantine = m.quarantine.Whole()
	}
}

// mergeQuarantineReply merges the evidence in the reply to a ping, and sends what the other
// instance still lacks.
func (m *Members) mergeQuarantineReply(ctx context.Context, address, id string, resp *peerpb.PingReply) {
	if m.quarantine == nil || len(resp.Quarantine) == 0 && resp.QuarantineDigest != 0 {
		return
	}
	if len(resp.Quarantine) > 0 {
		m.quarantine.Merge(id, resp.Quarantine)
	}
	if digest := m.quarantine.Digest(); digest != 0 && digest != resp.QuarantineDigest {
		go func() { _ = m.pingWith(ctx, address, id, m.quarantine.Whole()) }()
	}
}
