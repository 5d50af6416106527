package kernel_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"chervilpath/core/kernel"
)

func record(log *[]string, name string, needs ...string) kernel.Service {
	note := func(verb string) func(context.Context) error {
		return func(context.Context) error {
			*log = append(*log, verb+" "+name)
			return nil
		}
	}
	return kernel.Service{Name: name, Needs: needs, Start: note("start"), Drain: note("drain"), Stop: note("stop")}
}

func TestStartsInOrderAndStopsInReverse(t *testing.T) {
	var log []string
	k := kernel.New()
	for _, s := range []kernel.Service{record(&log, "caller", "pipeline"), record(&log, "pipeline", "store"), record(&log, "store")} {
		if err := k.Add(s); err != nil {
			t.Fatal(err)
		}
	}
	ctx := context.Background()
	if err := errors.Join(k.Start(ctx), k.Drain(ctx), k.Stop(ctx)); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"start store", "start pipeline", "start caller",
		"drain caller", "drain pipeline", "drain store",
		"stop caller", "stop pipeline", "stop store",
	}
	if !slices.Equal(log, want) {
		t.Errorf("order of calls = %v, want %v", log, want)
	}
}

func TestFailedStartStopsWhatRan(t *testing.T) {
	var log []string
	k := kernel.New()
	bad := record(&log, "b", "a")
	bad.Start = func(context.Context) error { return errors.New("no address") }
	if err := errors.Join(k.Add(record(&log, "a")), k.Add(bad)); err != nil {
		t.Fatal(err)
	}
	err := k.Start(context.Background())
	if err == nil || !strings.Contains(err.Error(), `starting service "b": no address`) {
		t.Errorf("Start() = %v, want the cause and the service", err)
	}
	if want := []string{"start a", "stop a"}; !slices.Equal(log, want) {
		t.Errorf("calls = %v, want %v", log, want)
	}
}

func TestRefusesCyclesAndMissingServices(t *testing.T) {
	k := kernel.New()
	if err := errors.Join(k.Add(kernel.Service{Name: "a", Needs: []string{"b"}}), k.Add(kernel.Service{Name: "b", Needs: []string{"a"}})); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Order(); err == nil || !strings.Contains(err.Error(), "a, b, a") {
		t.Errorf("Order() of a cycle = %v, want the cycle named", err)
	}
	k = kernel.New()
	if err := k.Add(kernel.Service{Name: "a", Needs: []string{"x"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Order(); err == nil {
		t.Error("Order() with a missing service succeeded")
	}
	if err := k.Add(kernel.Service{Name: "a"}); err == nil {
		t.Error("Add() of a taken name succeeded")
	}
}

func ExampleFind() {
	k := kernel.New()
	if err := k.Add(kernel.Service{Name: "limit", Value: 12}); err != nil {
		fmt.Println(err)
	}
	n, _ := kernel.Find[int](k, "limit")
	_, err := kernel.Find[string](k, "limit")
	fmt.Println(n, err)
	// Output: 12 finding service "limit": its value is a int, not a string
}
