package objects_test

import (
	"errors"
	"testing"
	"time"

	"chervilpath/core/object"
	"chervilpath/io/objects"
	"chervilpath/platform/stand"
)

func TestCallsAboveRateWaitAndAreCounted(t *testing.T) {
	store := stand.New(time.Now)
	c := objects.New(store.Objects(), 1000, 20)
	start := time.Now()
	version := object.Absent
	for range 25 {
		v, err := c.Store().Put(t.Context(), object.Object{Kind: "k", Name: "n", Version: version, Data: []byte("1")})
		if err != nil {
			t.Fatal(err)
		}
		version = v
	}
	// 20 calls are made at once, the other 5 at 20 per second.
	if elapsed := time.Since(start); elapsed < 200*time.Millisecond {
		t.Errorf("25 writes at 20 per second took %v, want at least 200ms", elapsed)
	}
	if _, err := c.Store().Get(t.Context(), "k", "n"); err != nil {
		t.Error(err)
	}
	store.SetFaults(stand.Faults{Down: true})
	if _, err := c.Store().Get(t.Context(), "k", "n"); !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("read from an unavailable store: error %v, want ErrUnavailable", err)
	}
	if got, want := c.Counts(), (objects.Counts{Reads: 2, Writes: 25, Failed: 1}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}
