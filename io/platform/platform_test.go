package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chervilpath/core/object"
	"chervilpath/io/platform"
	"chervilpath/io/standplatform"
)

func newClient(t *testing.T) (*platform.Client, *standplatform.Platform) {
	t.Helper()
	p := standplatform.New(0)
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return platform.New(platform.Config{URL: srv.URL, ReadsPerSecond: 1000, WritesPerSecond: 1000}, srv.Client()), p
}

func TestConditionalUpdates(t *testing.T) {
	c, _ := newClient(t)
	ctx := context.Background()
	v1, err := c.Put(ctx, object.Object{Kind: "k", Name: "n", Data: []byte("1")})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, object.Object{Kind: "k", Name: "n", Data: []byte("x")}); !errors.Is(err, object.ErrConflict) {
		t.Errorf("creating what exists: %v", err)
	}
	v2, err := c.Put(ctx, object.Object{Kind: "k", Name: "n", Version: v1, Data: []byte("2")})
	if err != nil || v2 <= v1 {
		t.Errorf("updating: version %d after %d, %v", v2, v1, err)
	}
	if _, err := c.Put(ctx, object.Object{Kind: "k", Name: "n", Version: v1, Data: []byte("x")}); !errors.Is(err, object.ErrConflict) {
		t.Errorf("updating an old version: %v", err)
	}
	got, err := c.Get(ctx, "k", "n")
	if err != nil || string(got.Data) != "2" || got.Version != v2 {
		t.Errorf("Get() = %+v, %v", got, err)
	}
	objs, err := c.List(ctx, "k", "n")
	if err != nil || len(objs) != 1 || string(objs[0].Data) != "2" {
		t.Errorf("List() = %+v, %v", objs, err)
	}
	if err := c.Delete(ctx, "k", "n", v2); err != nil {
		t.Error(err)
	}
	if _, err := c.Get(ctx, "k", "n"); !errors.Is(err, object.ErrNotFound) {
		t.Errorf("Get() of a deleted object: %v", err)
	}
}

func TestLostAnswerIsUncertainAndOutageIsNot(t *testing.T) {
	c, p := newClient(t)
	ctx := context.Background()
	p.Objects().SetFaults(standplatform.Faults{LoseAnswers: 1})
	if _, err := c.Put(ctx, object.Object{Kind: "k", Name: "n", Data: []byte("1")}); !errors.Is(err, object.ErrUncertain) {
		t.Errorf("a write without an answer: %v", err)
	}
	if got, err := c.Get(ctx, "k", "n"); err != nil || string(got.Data) != "1" {
		t.Errorf("the write did not take effect: %v", err)
	}
	p.Objects().SetFaults(standplatform.Faults{Down: true})
	if _, err := c.Put(ctx, object.Object{Kind: "k", Name: "m"}); !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("a refused write: %v", err)
	}
	if _, err := c.Get(ctx, "k", "n"); !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("a refused read: %v", err)
	}
}

func TestWatchReturnsTheNextVersion(t *testing.T) {
	c, _ := newClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	v1, err := c.Put(ctx, object.Object{Kind: "k", Name: "n", Data: []byte("1")})
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan object.Object)
	go func() {
		obj, _ := c.Watch(ctx, "k", "n", v1)
		got <- obj
	}()
	if _, err := c.Put(ctx, object.Object{Kind: "k", Name: "n", Version: v1, Data: []byte("2")}); err != nil {
		t.Fatal(err)
	}
	if obj := <-got; string(obj.Data) != "2" {
		t.Errorf("Watch() = %+v", obj)
	}
}

// FuzzAnswers gives the client answers as they come from outside: it may refuse
// them, but not take them for an object without a version.
func FuzzAnswers(f *testing.F) {
	f.Add("\"7\"", "data", 200)
	f.Add("x", "", 200)
	f.Add("", "[{\"name\":1}]", 404)
	f.Fuzz(func(t *testing.T, tag, body string, status int) {
		if status < 200 || status > 599 {
			return
		}
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", tag)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		defer srv.Close()
		c := platform.New(platform.Config{URL: srv.URL, ReadsPerSecond: 1000, WritesPerSecond: 1000}, srv.Client())
		obj, err := c.Get(context.Background(), "k", "n")
		if err == nil && obj.Version < 1 {
			t.Errorf("an object of version %d", obj.Version)
		}
		if _, err := c.List(context.Background(), "k", ""); err == nil && status >= 300 {
			t.Errorf("a list of status %d", status)
		}
		_, _, _ = c.Instances(context.Background(), "")
	})
}
