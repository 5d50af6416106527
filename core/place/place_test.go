package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/place"
)

var start = time.Unix(1_700_000_000, 0)

func engines(loaded ...string) []place.Engine {
	var out []place.Engine
	for i, m := range loaded {
		e := place.Engine{Name: fmt.Sprint("e", i), Slots: 8, Allowed: []string{"a", "b"}, AtOnce: 1}
		if m != "" {
			e.Loaded = []string{m}
		}
		out = append(out, e)
	}
	return out
}

func TestOrders(t *testing.T) {
	tests := []struct {
		name    string
		engines []place.Engine
		demands []place.Demand
		want    string
	}{
		{"nothing to do", engines("a", "b"), nil, "[]"},
		{"declared models", []place.Engine{{Name: "e0", Allowed: []string{"a", "b"}, AtOnce: 2, Loaded: []string{"a"}}}, nil, "[{e0 [a b] []  declared}]"},
		{"declared adapters", []place.Engine{{Name: "e0", Allowed: []string{"a"}, AtOnce: 1, Loaded: []string{"a"}, Adapters: []string{"x"}}}, nil, "[{e0 [a] [x]  declared}]"},
		{"declared role", []place.Engine{{Name: "e0", Allowed: []string{"a"}, AtOnce: 1, Loaded: []string{"a"}, Role: "decode", HasRole: "prefill"}}, nil, "[{e0 [a] [] decode declared}]"},
		{"adapters of an engine that chooses", []place.Engine{{Name: "e0", Allowed: []string{"a", "b"}, AtOnce: 1, Loaded: []string{"b"}, Adapters: []string{"x"}}}, []place.Demand{{"b", 1}}, "[{e0 [b] [x]  declared}]"},
		{"an empty engine", engines("a", ""), []place.Demand{{"b", 5}}, "[{e1 [b] []  invalid}]"},
		{"a model that is nowhere", engines("a", "a"), []place.Demand{{"b", 1}}, "[{e0 [b] []  missing}]"},
		{"a pressed model", engines("a", "b", "b", "b"), []place.Demand{{"a", 40}, {"b", 4}}, "[{e1 [a] []  pressure}]"},
		{"little pressure", engines("a", "b", "b"), []place.Demand{{"a", 4}}, "[]"},
		{"both pressed", engines("a", "b", "b"), []place.Demand{{"a", 30}, {"b", 40}}, "[]"},
		{"the last engine of the donor", engines("a", "b"), []place.Demand{{"a", 40}}, "[]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := fmt.Sprint(place.Orders(start, test.engines, test.demands)); got != test.want {
				t.Errorf("Orders() = %v, want %v", got, test.want)
			}
		})
	}
}

func TestEngineThatJustMovedStays(t *testing.T) {
	es := engines("a", "b", "b", "b")
	for i := range es {
		es[i].Moved = start.Add(-10 * time.Second)
	}
	demands := []place.Demand{{Model: "a", Calls: 40}}
	if got := place.Orders(start, es, demands); len(got) != 0 {
		t.Errorf("Orders() = %v", got)
	}
	if got := place.Orders(start.Add(20*time.Second), es, demands); len(got) != 1 {
		t.Errorf("Orders() later = %v", got)
	}
}

// TestPlacementSettles follows the orders under a steady demand: they end, and
// every model that is asked for is loaded somewhere.
func TestPlacementSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		var es []place.Engine
		for i := range rapid.IntRange(4, 12).Draw(t, "engines") {
			es = append(es, place.Engine{Name: fmt.Sprint("e", i), Slots: 8, Allowed: names, AtOnce: rapid.IntRange(1, 2).Draw(t, "atOnce")})
		}
		var demands []place.Demand
		for _, m := range names {
			demands = append(demands, place.Demand{Model: m, Calls: float64(rapid.IntRange(0, 60).Draw(t, m))})
		}
		now := start
		for round := 0; ; round++ {
			orders := place.Orders(now, es, demands)
			if len(orders) == 0 {
				break
			}
			if round > 100 {
				t.Fatalf("placement does not settle: %v", orders)
			}
			for _, o := range orders {
				i := slices.IndexFunc(es, func(e place.Engine) bool { return e.Name == o.Engine })
				es[i].Loaded, es[i].Moved = o.Models, now
			}
			now = now.Add(time.Minute)
		}
		for _, d := range demands {
			loaded := slices.ContainsFunc(es, func(e place.Engine) bool { return slices.Contains(e.Loaded, d.Model) })
			if d.Calls > 0 && !loaded {
				t.Fatalf("model %s is asked for and loaded nowhere: %v", d.Model, es)
			}
		}
	})
}
