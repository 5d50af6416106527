package edge

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/kernel"
	"chervilpath/core/member"
	"chervilpath/core/relay"
	"chervilpath/core/settings"
	"chervilpath/io/peer"
)

const silentService = "llm"

// silentOwner is an instance that owns a service. While it is silent its process reads
// nothing, although its machine takes connections and data.
type silentOwner struct {
	placer *engine.Placer
	server *httptest.Server

	mu     sync.Mutex
	cond   *sync.Cond
	silent bool
}

type silentListener struct {
	net.Listener
	owner *silentOwner
}

type silentConn struct {
	net.Conn
	owner *silentOwner
}

func newSilentOwner(t *testing.T, slots int) *silentOwner {
	t.Helper()
	o := &silentOwner{placer: engine.New()}
	o.cond = sync.NewCond(&o.mu)
	o.placer.SetServers([]fleet.Server{{ID: "e-1", Service: silentService}}, slots)
	peers := peer.NewClients("", peerTransport(), nil, time.Now)
	s := &peer.Server{
		Members: peer.NewMembers(member.Member{ID: "o"}, nil, peers, time.Now, peer.NewRand(), func(string, int64) {}, func(int) {}),
		Now:     time.Now,
		Platform: &peer.PlatformHandler{
			Now: time.Now,
			Place: func(_ context.Context, _ string, q engine.Query) (string, error) {
				return o.placer.Place(time.Now(), q), nil
			},
			Settle: func(_, request, server string, outcome balance.Outcome) {
				o.placer.Settle(time.Now(), request, server, outcome)
			},
			RunStage: func(_ context.Context, job relay.StageJob) ([]string, error) {
				return []string{"h/" + job.RequestID}, nil
			},
		},
	}
	o.server = httptest.NewUnstartedServer(s.Handler(""))
	o.server.Listener = &silentListener{o.server.Listener, o}
	o.server.Start()
	t.Cleanup(func() {
		o.setSilent(false)
		o.server.Close()
	})
	return o
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.owner.awaitVoice()
	return &silentConn{c, l.owner}, err
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.owner.awaitVoice()
	return n, err
}

// placedAt returns how many of n more requests the owner would place.
func (o *silentOwner) placedAt(n int) int {
	var ids []string
	for i := range n {
		id := fmt.Sprint("next-", i)
		if o.placer.Place(time.Now(), engine.Query{RequestID: id, Affinity: id, Expires: time.Now().Add(time.Minute)}) != "" {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		o.placer.Settle(time.Now(), id, "e-1", balance.Succeeded)
	}
	return len(ids)
}

func (o *silentOwner) awaitVoice() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.silent {
		o.cond.Wait()
	}
}

func (o *silentOwner) setSilent(silent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silent = silent
	o.cond.Broadcast()
}

// newCallerOf returns an instance outside of the directory, which the owners make up.
func newCallerOf(t *testing.T, owners ...*silentOwner) *Instance {
	t.Helper()
	cfg, err := settings.ParseSite("test.ini", []byte("[site]\nname = c\nfailureDomain = a\ncallerAddress = 127.0.0.1:1\npeerAddress = 127.0.0.1:2\noperatorAddress = 127.0.0.1:3\nseeds = 127.0.0.1:2\n[store]\naddress = 127.0.0.1:4\n[bounds]\ngrace = 6s\nrepeatRatio = 0.2\nrepeatSlack = 56\n[machine]\ncores = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	in, err := New(kernel.New(), cfg, zap.NewNop(), func() int64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	var directory []member.Member
	for i, o := range owners {
		directory = append(directory, member.Member{ID: fmt.Sprint("o-", i), Name: fmt.Sprint("o-", i), Address: o.server.Listener.Addr().String(), FailureDomain: "a", State: member.Live, Weight: 1000})
	}
	in.members.MergeDirectory(directory)
	return in
}

// ownerOf returns the owner to which the instance turns.
func ownerOf(t *testing.T, in *Instance, owners []*silentOwner) *silentOwner {
	t.Helper()
	address, _ := in.delegator.owner(silentService)
	for _, o := range owners {
		if o.server.Listener.Addr().String() == address {
			return o
		}
	}
	t.Fatalf("the owner is %q", address)
	return nil
}

// Guards against a request that is refused, or loses its stage, because the owner of the
// service is silent for a while.
func TestSilentOwnerDelaysRequestsOnly(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, all owners %v", pause, all), func(t *testing.T) {
				t.Parallel()
				owners := []*silentOwner{newSilentOwner(t, 8), newSilentOwner(t, 8), newSilentOwner(t, 8)}
				in := newCallerOf(t, owners...)
				in.delegator.placer(silentService).SetServers([]fleet.Server{{ID: "e-1", Service: silentService}}, 8)
				silent := []*silentOwner{ownerOf(t, in, owners)}
				if all {
					silent = owners
				}
				for _, o := range silent {
					o.setSilent(true)
				}
				time.AfterFunc(pause, func() {
					for _, o := range silent {
						o.setSilent(false)
					}
				})
				var wg sync.WaitGroup
				for i := range 20 {
					id := fmt.Sprint("r-", i)
					wg.Go(func() {
						if all {
							// The instance would run the stage itself.
							return
						}
						handles, err := in.delegator.runStage(t.Context(), relay.StageJob{Service: silentService, RequestID: id, Pieces: 1, Due: 2 * time.Second, Remaining: 6 * time.Second})
						if err != nil || len(handles) != 1 {
							t.Errorf("stage of %s: %v, %v", id, handles, err)
						}
					})
					wg.Go(func() {
						start := time.Now()
						server, _ := in.delegator.place(t.Context(), silentService, engine.Query{RequestID: id, Affinity: id, Expires: time.Now().Add(6 * time.Second)})
						if took := time.Since(start); server != "e-1" || took > time.Second {
							t.Errorf("%s is placed at %q after %v", id, server, took)
						}
						in.delegator.settle(silentService, id, server, balance.Succeeded)
					})
					time.Sleep(100 * time.Millisecond)
				}
				wg.Wait()
			})
		}
	}
}

// Guards against capacity that stays taken at an owner that places a request only after
// its caller has turned elsewhere.
func TestPlacementOfASilentOwnerIsWithdrawn(t *testing.T) {
	const slots = 1
	owners := []*silentOwner{newSilentOwner(t, slots), newSilentOwner(t, slots), newSilentOwner(t, slots)}
	in := newCallerOf(t, owners...)
	in.delegator.placer(silentService).SetServers([]fleet.Server{{ID: "e-1", Service: silentService}}, slots)
	o := ownerOf(t, in, owners)
	o.setSilent(true)
	var wg sync.WaitGroup
	for i := range 2 * slots {
		wg.Go(func() {
			id := fmt.Sprint("r-", i)
			server, _ := in.delegator.place(t.Context(), silentService, engine.Query{RequestID: id, Affinity: id, Expires: time.Now().Add(10 * time.Second)})
			in.delegator.settle(silentService, id, server, balance.Succeeded)
		})
	}
	wg.Wait()
	time.Sleep(1200 * time.Millisecond)
	o.setSilent(false)
	// The owner reads the calls that it has got meanwhile.
	time.Sleep(300 * time.Millisecond)
	for deadline := time.Now().Add(4 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if n := o.placedAt(2 * slots); n == 2*slots {
			return
		} else if time.Now().After(deadline) {
			t.Fatalf("the owner has room for %d of %d requests although all have ended", n, 2*slots)
		}
	}
}

// Guards against a request that is refused because the owner of a service that is new in a
// version does not have that version yet: the caller has to turn elsewhere.
func TestOwnerWithoutTheServiceIsPassedOver(t *testing.T) {
	t.Parallel()
	in := newCallerOf(t)
	in.readyOnce.Do(func() { close(in.ready) })
	if id, err := in.delegator.placeForPeer(t.Context(), silentService, engine.Query{RequestID: "r-1"}); err == nil {
		t.Errorf("a request is placed at %q without an error", id)
	}
	_, err := in.delegator.runStageForPeer(t.Context(), relay.StageJob{Service: silentService, RequestID: "r-1", Pieces: 1, Remaining: time.Second})
	if kind := fault.From(err).Kind(); kind != fault.Draining {
		t.Errorf("a stage fails with %v, want %v", err, fault.Draining)
	}
}
