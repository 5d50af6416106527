package route_test

import (
	"fmt"
	"strings"
	"testing"

	"chervilpath/core/route"
)

func newTable(t *testing.T) *route.Table {
	t.Helper()
	targets := []route.Target{{Service: "desk", Weight: 1}}
	table, err := route.New(3, []route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Targets: targets},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: targets},
		{Name: "other", Host: "b.example", Prefix: "/", Targets: targets},
	}, []route.Service{{Name: "desk"}}, []route.Organisation{{Name: "org", Keys: []string{"k"}}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/x/", "other"},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := newTable(t).Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s matches %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestStagesDependOnEarlierStagesOnly(t *testing.T) {
	_, err := route.New(1, []route.Route{{
		Name: "r", Prefix: "/", Targets: []route.Target{{Service: "desk"}}, Stages: []route.Stage{{Service: "photos", DependsOn: []int{0}}},
	}}, []route.Service{{Name: "photos", Pieces: &route.PieceConfig{}}}, nil, route.Limits{})
	if err == nil {
		t.Error("a stage that depends on itself is accepted")
	}
}

func TestTargetsAreChosenByWeight(t *testing.T) {
	r := route.Route{Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for random, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := r.ChooseService(random); got != want {
			t.Errorf("ChooseService(%v) = %s, want %s", random, got, want)
		}
	}
}

// Pattern: a configuration grows by 1,400 routes. If one of them is ambiguous, none
// is taken over, and the error names the routes.
func TestAmbiguousPrefixesAreRefused(t *testing.T) {
	many := func(extra ...route.Route) []route.Route {
		var routes []route.Route
		for i := range 1400 {
			routes = append(routes, route.Route{Name: fmt.Sprint("r-", i), Host: "H.example", Prefix: fmt.Sprintf("/p%d/", i), Targets: []route.Target{{Service: "s", Weight: 1}}})
		}
		return append(routes, extra...)
	}
	targets := []route.Target{{Service: "s", Weight: 1}}
	tests := []struct {
		name  string
		extra route.Route
		want  string
	}{
		{"overlapping", route.Route{Name: "x", Host: "h.example", Prefix: "/p7/sub/", Targets: targets}, ""},
		{"same prefix of another host", route.Route{Name: "x", Host: "other.example", Prefix: "/p7/", Targets: targets}, ""},
		{"duplicate", route.Route{Name: "x", Host: "h.example", Prefix: "/p7/", Targets: targets}, `routes "r-7" and "x"`},
		{"empty", route.Route{Name: "x", Host: "h.example", Targets: targets}, `route "x": prefix ""`},
		{"no slash at the end", route.Route{Name: "x", Host: "h.example", Prefix: "/p", Targets: targets}, `route "x": prefix "/p"`},
	}
	for _, tt := range tests {
		table, err := route.New(1, many(tt.extra), nil, nil, route.Limits{})
		if tt.want == "" {
			if err != nil || table.Match("h.example", "/p7/sub/1") == nil {
				t.Errorf("%s: error %v", tt.name, err)
			}
			continue
		}
		if err == nil || table != nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one with %q", tt.name, err, tt.want)
		}
	}
}
