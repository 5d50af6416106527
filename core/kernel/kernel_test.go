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

// recordingService returns a service that appends each call to calls.
func recordingService(calls *[]string, name string, dependsOn ...string) kernel.Service {
	hook := func(verb string) func(context.Context) error {
		return func(context.Context) error {
			*calls = append(*calls, verb+" "+name)
			return nil
		}
	}
	return kernel.Service{Name: name, DependsOn: dependsOn, Start: hook("start"), Drain: hook("drain"), Stop: hook("stop")}
}

func TestStartsInOrderAndStopsInReverse(t *testing.T) {
	var calls []string
	k := kernel.New()
	for _, s := range []kernel.Service{recordingService(&calls, "caller", "pipeline"), recordingService(&calls, "pipeline", "store"), recordingService(&calls, "store")} {
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
	if !slices.Equal(calls, want) {
		t.Errorf("order of calls = %v, want %v", calls, want)
	}
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	var calls []string
	k := kernel.New()
	failing := recordingService(&calls, "b", "a")
	failing.Start = func(context.Context) error { return errors.New("no address") }
	if err := errors.Join(k.Add(recordingService(&calls, "a")), k.Add(failing)); err != nil {
		t.Fatal(err)
	}
	err := k.Start(context.Background())
	if err == nil || !strings.Contains(err.Error(), `starting service "b": no address`) {
		t.Errorf("Start() = %v, want the service and the cause", err)
	}
	if want := []string{"start a", "stop a"}; !slices.Equal(calls, want) {
		t.Errorf("calls = %v, want %v", calls, want)
	}
}

func TestRejectsCyclesAndMissingDependencies(t *testing.T) {
	k := kernel.New()
	if err := errors.Join(k.Add(kernel.Service{Name: "a", DependsOn: []string{"b"}}), k.Add(kernel.Service{Name: "b", DependsOn: []string{"a"}})); err != nil {
		t.Fatal(err)
	}
	if _, err := k.StartOrder(); err == nil || !strings.Contains(err.Error(), "a, b, a") {
		t.Errorf("StartOrder() of a cycle = %v, want the services of the cycle", err)
	}
	k = kernel.New()
	if err := k.Add(kernel.Service{Name: "a", DependsOn: []string{"x"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := k.StartOrder(); err == nil {
		t.Error("StartOrder() with a missing dependency succeeded")
	}
	if err := k.Add(kernel.Service{Name: "a"}); err == nil {
		t.Error("Add() of a registered name succeeded")
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
