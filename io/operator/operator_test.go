package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"chervilpath/core/status"
	"chervilpath/io/operator"
)

const token = "a token of operators"

func TestOnlyHealthAndReadinessNeedNoToken(t *testing.T) {
	errNotReady := errors.New("leaving")
	srv := httptest.NewServer(operator.New(operator.Deps{
		Ready: func() error { return errNotReady }, Status: func() status.Instance { return status.Instance{Name: "entry-1"} },
		Registry: prometheus.NewRegistry(), Token: token,
	}).Handler())
	defer srv.Close()
	want := map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 401, "/status": 401, "/debug/pprof/": 401}
	for path, code := range want {
		resp, err := http.Get(srv.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != code {
			t.Errorf("%s without the token: status %d, want %d", path, resp.StatusCode, code)
		}
	}
	if s, err := operator.FetchStatus(context.Background(), srv.URL, token); err != nil || s.Name != "entry-1" {
		t.Errorf("FetchStatus() with the token = %+v, %v", s, err)
	}
	if _, err := operator.FetchStatus(context.Background(), srv.URL, "wrong"); err == nil {
		t.Error("FetchStatus() with a wrong token succeeded")
	}
}
