package fault_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"chervilpath/core/fault"
)

func TestEveryKindHasACompleteRow(t *testing.T) {
	seen := make(map[string]bool)
	for _, k := range fault.Kinds() {
		a := k.Answer()
		if a.Name == "" || a.HTTP < 400 || a.Twirp == "" {
			t.Errorf("kind %d has the incomplete row %+v", k, a)
		}
		if seen[a.Name] {
			t.Errorf("the name %q stands twice", a.Name)
		}
		seen[a.Name] = true
		if fault.KindNamed(a.Name) != k {
			t.Errorf("KindNamed(%q) = %v", a.Name, fault.KindNamed(a.Name))
		}
		if a.Retry && a.Ran == fault.RanYes {
			t.Errorf("%v invites a retry of work that ran", k)
		}
	}
}

func TestFromKeepsTheKind(t *testing.T) {
	inner := fault.Errorf(fault.Overloaded, "queue is full").At("encode")
	got := fault.From(fmt.Errorf("serving: %w", inner))
	if got.Kind() != fault.Overloaded || got.Stage() != "encode" || got.Ran() != fault.RanNo {
		t.Errorf("From() = %v %q %v", got.Kind(), got.Stage(), got.Ran())
	}
	if k := fault.From(context.Canceled).Kind(); k != fault.Cancelled {
		t.Errorf("From(Canceled) = %v", k)
	}
	if k := fault.From(errors.New("x")); k.Kind() != fault.Internal || k.Ran() != fault.RanUnknown {
		t.Errorf("From(plain) = %v, ran %v", k.Kind(), k.Ran())
	}
}

func ExampleErrorf() {
	err := fault.Errorf(fault.EndpointUnavailable, "no endpoint of stage %q is live", "encode")
	fmt.Println(err.Kind(), err.Kind().Answer().HTTP, err.Ran(), err)
	// Output: endpointUnavailable 503 no no endpoint of stage "encode" is live
}
