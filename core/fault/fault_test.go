package fault_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"chervilpath/core/fault"
)

func TestEveryKindHasCompleteProperties(t *testing.T) {
	seen := make(map[string]bool)
	for _, k := range fault.Kinds() {
		p := k.Properties()
		if p.Name == "" || p.HTTPStatus < 400 || p.TwirpCode == "" {
			t.Errorf("kind %d has incomplete properties %+v", k, p)
		}
		if seen[p.Name] {
			t.Errorf("two kinds have the name %q", p.Name)
		}
		seen[p.Name] = true
		if fault.ParseKind(p.Name) != k {
			t.Errorf("ParseKind(%q) = %v", p.Name, fault.ParseKind(p.Name))
		}
		if p.Retryable && p.DefaultRan == fault.RanYes {
			t.Errorf("%v is retryable although its work has run", k)
		}
	}
}

func TestFromKeepsKind(t *testing.T) {
	inner := fault.Errorf(fault.Overloaded, "queue is full").WithStage("encode")
	got := fault.From(fmt.Errorf("serving: %w", inner))
	if got.Kind() != fault.Overloaded || got.Stage() != "encode" || got.Ran() != fault.RanNo {
		t.Errorf("From() = %v %q %v", got.Kind(), got.Stage(), got.Ran())
	}
	if k := fault.From(context.Canceled).Kind(); k != fault.Cancelled {
		t.Errorf("From(Canceled) = %v", k)
	}
	if e := fault.From(errors.New("x")); e.Kind() != fault.Internal || e.Ran() != fault.RanUnknown {
		t.Errorf("From(plain) = %v, ran %v", e.Kind(), e.Ran())
	}
}

func ExampleErrorf() {
	err := fault.Errorf(fault.EndpointUnavailable, "no endpoint of stage %q is live", "encode")
	fmt.Println(err.Kind(), err.Kind().Properties().HTTPStatus, err.Ran(), err)
	// Output: endpointUnavailable 503 no no endpoint of stage "encode" is live
}
