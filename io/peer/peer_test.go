package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/member"
	"chervilpath/core/once"
	"chervilpath/io/peer/peerpb"
	"chervilpath/platform/stand"
)

const peerSecret = "secret of the test"

// newPeer starts an instance that runs requests with the given function, and
// returns its address, membership and coordinator.
func newPeer(t *testing.T, run func(once.Attempt) once.Outcome) (string, *Members, *once.Coordinator) {
	t.Helper()
	coordinator := once.New(once.Config{Owner: once.Owner{Incarnation: "i1"}, Secret: []byte("s"), TicketTTL: time.Minute, MaxKeys: 10}, once.Deps{
		Now: time.Now, NewID: func() string { return "n" }, Store: stand.New(time.Now).Objects(), Go: func(f func()) { f() },
		Run: func(_ context.Context, a once.Attempt) once.Outcome { return run(a) },
	})
	members := newTestMembers("i1", "127.0.0.1:1")
	s := &Server{Members: members, Coordinator: coordinator, Now: time.Now, ReadRoot: func() []byte { return nil }, KeysAdopted: func([]string) {}}
	srv := httptest.NewServer(s.Handler(peerSecret))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), members, coordinator
}

func newTestMembers(id, address string) *Members {
	return NewMembers(member.Member{ID: id, Name: id, Address: address}, nil, newTestClients(peerSecret), time.Now,
		rand.New(rand.NewPCG(1, 1)), func(string, int64) {}, func(int) {})
}

func newTestClients(secret string) *Clients {
	return NewClients(secret, http.DefaultTransport.(*http.Transport).Clone(), nil, time.Now)
}

func TestPeerWithoutSecretIsRefused(t *testing.T) {
	address, _, _ := newPeer(t, nil)
	if _, err := newTestClients("wrong").For(address).Root(context.Background(), &peerpb.RootRequest{}); err == nil {
		t.Error("a peer with a wrong secret was accepted")
	}
	if _, err := newTestClients(peerSecret).For(address).Root(context.Background(), &peerpb.RootRequest{}); err != nil {
		t.Errorf("a peer with the secret was rejected: %v", err)
	}
}

func TestForward(t *testing.T) {
	runs := 0
	address, _, coordinator := newPeer(t, func(once.Attempt) once.Outcome {
		runs++
		return once.Outcome{State: once.Done, Answer: []byte(`"booked"`), Ran: "yes"}
	})
	ticket, _, err := coordinator.Issue("roofs")
	if err != nil {
		t.Fatal(err)
	}
	c := newTestClients(peerSecret)
	owner := once.Owner{Incarnation: "i1", Address: address}
	a := once.Attempt{Organisation: "roofs", Kind: "book", Key: ticket, Body: []byte("b"), Deadline: time.Now().Add(time.Minute)}
	for range 2 {
		if o, err := c.Forward(context.Background(), owner, a); err != nil || o.State != once.Done {
			t.Errorf("Forward() = %+v, %v", o, err)
		}
	}
	if runs != 1 {
		t.Errorf("the request ran %d times, want 1", runs)
	}
	a.Body = []byte("other")
	if _, err := c.Forward(context.Background(), owner, a); fault.From(err).Kind() != fault.KeyReused {
		t.Errorf("Forward() with another body = %v, want an error of the kind that the peer returned", err)
	}
	a.Body = []byte("b")
	if _, err := c.Forward(context.Background(), once.Owner{Incarnation: "i0", Address: address}, a); !errors.Is(err, once.ErrOwnerGone) {
		t.Errorf("Forward() to an incarnation that was replaced = %v, want ErrOwnerGone", err)
	}
	if _, err := c.Forward(context.Background(), once.Owner{Incarnation: "i1", Address: "127.0.0.1:1"}, a); !errors.Is(err, once.ErrOwnerGone) {
		t.Errorf("Forward() to an address without an instance = %v, want ErrOwnerGone", err)
	}
}

func TestPingDetectsReplacedProcess(t *testing.T) {
	address, members, _ := newPeer(t, nil)
	other := newTestMembers("i2", "127.0.0.1:2")
	if err := other.ping(context.Background(), address, "i1"); err != nil {
		t.Errorf("ping() = %v", err)
	}
	if err := other.ping(context.Background(), address, "i0"); err == nil {
		t.Error("ping() of an incarnation that was replaced at the same address succeeded")
	}
	if n := len(members.List()); n != 2 {
		t.Errorf("the pinged instance knows %d members, want 2", n)
	}
}

func FuzzFromProto(f *testing.F) {
	f.Add("i1", "127.0.0.1:1", uint32(0))
	f.Add("", "x", uint32(99))
	f.Fuzz(func(t *testing.T, id, address string, state uint32) {
		m, err := fromProto(&peerpb.Member{Id: id, Address: address, State: state})
		if err == nil && (m.ID == "" || m.State > member.Gone) {
			t.Errorf("accepted %+v", m)
		}
	})
}
