package edge

import (
	"encoding/json"
	"testing"
	"time"

	"chervilpath/core/confirm"
	"chervilpath/core/delta"
	"chervilpath/core/fleet"
	"chervilpath/io/peer"
)

// Guards against an instance that believes that what it has is confirmed though it could not
// take over what the confirmation is for: it denies requests that a newer version allows, and
// asks nobody else.
func TestWhatWasNotTakenOverIsNotConfirmed(t *testing.T) {
	const valid = `{"version": 7, "routes": [], "services": [{"name": "desk"}]}`
	servers, err := json.Marshal(fleet.Changes{Whole: true, Revision: 9, Servers: []fleet.Server{{ID: "i-1", Service: "desk", Address: "10.0.0.9:80", Zone: "a", Slots: 1, Revision: 9}}})
	if err != nil {
		t.Fatal(err)
	}
	evacuations := []byte(`{"zones":["b"],"revision":9,"changedAt":9}`)
	otherBase := delta.Make([]byte(`{"version": 6}`), []byte(valid))
	for _, tt := range []struct {
		name                         string
		reply                        peer.FollowReply
		config, servers, evacuations bool
	}{
		{"all is taken over", peer.FollowReply{Configuration: peer.Compress([]byte(valid)), CompressedServers: peer.Compress(servers), Evacuations: evacuations}, true, true, true},
		{"there is nothing new", peer.FollowReply{}, true, true, true},
		{"the configuration is not compressed", peer.FollowReply{Configuration: []byte(valid)}, false, true, true},
		{"the configuration is invalid", peer.FollowReply{Configuration: peer.Compress([]byte(`{"version": 0}`))}, false, true, true},
		{"the difference is not compressed", peer.FollowReply{ConfigurationDelta: otherBase}, false, true, true},
		{"the difference is for another version", peer.FollowReply{ConfigurationDelta: peer.Compress(otherBase)}, false, true, true},
		{"the list of servers is not compressed", peer.FollowReply{CompressedServers: servers}, true, false, true},
		{"the list of servers is not JSON", peer.FollowReply{CompressedServers: peer.Compress([]byte("[]}"))}, true, false, true},
		{"the list of servers has no revision", peer.FollowReply{CompressedServers: peer.Compress([]byte(`{"whole": true}`))}, true, false, true},
		{"the evacuations are invalid", peer.FollowReply{Evacuations: []byte(`{"zones":["b"],"revision":0}`)}, true, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			in, _ := newIdleInstance(t)
			in.state.followsEvacuations = true
			tt.reply.Confirmed, tt.reply.Confirmation = true, confirm.Report{Age: time.Second, Origin: "edge-9"}
			in.state.applyReply("peer", in.bootTime(), tt.reply)
			got := in.state.confirmed
			for _, kind := range []struct {
				name string
				got  confirm.Confirmation
				want bool
			}{{"configuration", got.config, tt.config}, {"servers", got.servers, tt.servers}, {"evacuations", got.evacuations, tt.evacuations}} {
				if !kind.got.IsZero() != kind.want {
					t.Errorf("the %s: confirmed %v, want %v", kind.name, !kind.got.IsZero(), kind.want)
				}
			}
			if got := in.state.lastConfirmation(); got.IsZero() == (tt.config && tt.servers && tt.evacuations) {
				t.Errorf("all: confirmed %v", !got.IsZero())
			}
		})
	}
}

// Guards against a difference that counts as refused because another peer was faster, so that
// the whole configuration is asked for and what is known is not confirmed.
func TestDifferenceThatComesTwiceIsTakenOver(t *testing.T) {
	in, _ := newIdleInstance(t)
	specs := [][]byte{[]byte(`{"version": 1}`), []byte(`{"version": 2}`), []byte(`{"version": 3}`)}
	in.state.applyReply("peer", in.bootTime(), peer.FollowReply{Configuration: peer.Compress(specs[0])})
	for _, step := range []struct{ from, to int }{{0, 1}, {0, 1}, {1, 2}, {0, 1}} {
		difference := peer.Compress(delta.Make(specs[step.from], specs[step.to]))
		confirmation := confirm.Report{Age: time.Second}
		in.state.confirmed = confirmations{}
		in.state.applyReply("peer", in.bootTime(), peer.FollowReply{ConfigurationDelta: difference, Confirmed: true, Confirmation: confirmation})
		if in.state.confirmed.config.IsZero() || in.state.deltaBase() == 0 {
			t.Errorf("version %d after %d: not confirmed, or asked for the whole", step.to+1, step.from+1)
		}
	}
	if got := in.state.table().Version(); got != 3 {
		t.Errorf("version %d is in force, want 3", got)
	}
}
