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

func newEngines(loaded ...string) []place.Engine {
	var out []place.Engine
	for i, m := range loaded {
		e := place.Engine{Name: fmt.Sprint("e", i), Slots: 8, Allowed: []string{"a", "b"}, MaxLoaded: 1}
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
		{"nothing to do", newEngines("a", "b"), nil, "[]"},
		{"declared models", []place.Engine{{Name: "e0", Allowed: []string{"a", "b"}, MaxLoaded: 2, Loaded: []string{"a"}}}, nil, "[{e0 [a b] []  declared}]"},
		{"declared adapters", []place.Engine{{Name: "e0", Allowed: []string{"a"}, MaxLoaded: 1, Loaded: []string{"a"}, Adapters: []string{"x"}}}, nil, "[{e0 [a] [x]  declared}]"},
		{"declared role", []place.Engine{{Name: "e0", Allowed: []string{"a"}, MaxLoaded: 1, Loaded: []string{"a"}, Role: "decode", CurrentRole: "prefill"}}, nil, "[{e0 [a] [] decode declared}]"},
		{"adapters of an engine that chooses", []place.Engine{{Name: "e0", Allowed: []string{"a", "b"}, MaxLoaded: 1, Loaded: []string{"b"}, Adapters: []string{"x"}}}, []place.Demand{{"b", 1}}, "[{e0 [b] [x]  declared}]"},
		{"an empty engine", newEngines("a", ""), []place.Demand{{"b", 5}}, "[{e1 [b] []  invalid}]"},
		{"a model that is nowhere", newEngines("a", "a"), []place.Demand{{"b", 1}}, "[{e0 [b] []  missing}]"},
		{"a pressed model", newEngines("a", "b", "b", "b"), []place.Demand{{"a", 40}, {"b", 4}}, "[{e1 [a] []  pressure}]"},
		{"little pressure", newEngines("a", "b", "b"), []place.Demand{{"a", 4}}, "[]"},
		{"both pressed", newEngines("a", "b", "b"), []place.Demand{{"a", 30}, {"b", 40}}, "[]"},
		{"the last engine of the donor", newEngines("a", "b"), []place.Demand{{"a", 40}}, "[]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := fmt.Sprint(place.Orders(start, test.engines, test.demands)); got != test.want {
				t.Errorf("Orders() = %v, want %v", got, test.want)
			}
		})
	}
}

func TestNoMoveDuringCooldown(t *testing.T) {
	engines := newEngines("a", "b", "b", "b")
	for i := range engines {
		engines[i].MovedAt = start.Add(-10 * time.Second)
	}
	demands := []place.Demand{{Model: "a", Calls: 40}}
	if got := place.Orders(start, engines, demands); len(got) != 0 {
		t.Errorf("Orders() during the cooldown = %v, want none", got)
	}
	if got := place.Orders(start.Add(20*time.Second), engines, demands); len(got) != 1 {
		t.Errorf("Orders() after the cooldown = %v, want one", got)
	}
}

// TestPlacementConverges verifies that under constant demand the orders come to an
// end, and that every model in demand is then loaded on some engine.
func TestPlacementConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		var engines []place.Engine
		for i := range rapid.IntRange(4, 12).Draw(t, "engines") {
			engines = append(engines, place.Engine{Name: fmt.Sprint("e", i), Slots: 8, Allowed: names, MaxLoaded: rapid.IntRange(1, 2).Draw(t, "atOnce")})
		}
		var demands []place.Demand
		for _, m := range names {
			demands = append(demands, place.Demand{Model: m, Calls: float64(rapid.IntRange(0, 60).Draw(t, m))})
		}
		now := start
		for round := 0; ; round++ {
			orders := place.Orders(now, engines, demands)
			if len(orders) == 0 {
				break
			}
			if round > 100 {
				t.Fatalf("placement does not converge: %v", orders)
			}
			for _, o := range orders {
				i := slices.IndexFunc(engines, func(e place.Engine) bool { return e.Name == o.Engine })
				engines[i].Loaded, engines[i].MovedAt = o.Models, now
			}
			now = now.Add(time.Minute)
		}
		for _, d := range demands {
			loaded := slices.ContainsFunc(engines, func(e place.Engine) bool { return slices.Contains(e.Loaded, d.Model) })
			if d.Calls > 0 && !loaded {
				t.Fatalf("model %s is in demand but not loaded on any engine: %v", d.Model, engines)
			}
		}
	})
}
