package trace

import (
	"fmt"
	"slices"
	"time"

	"chervilpath/core/option"
)

// ExpectTable is the table of every option of a file of expected outcomes.
var ExpectTable = option.Table{
	Title: "Expected outcomes of a replay",
	Doc:   "The file given to `chervilpath replay --expect FILE`. Each section states one outcome over some of the requests.",
	Sections: []option.Section{{
		Kind: "outcome", Named: true,
		Doc: "One outcome. All that is stated has to hold for the requests that are taken.",
		Options: []option.Option{
			{Key: "kinds", Kind: option.NameList, Doc: "Kinds of requests that are taken, all if left out."},
			{Key: "organisations", Kind: option.NameList, Doc: "Organisations whose requests are taken, all if left out."},
			{Key: "except", Kind: option.NameList, Doc: "Organisations whose requests are not taken."},
			{Key: "from", Kind: option.Duration, Default: "0s", Min: 0, Max: 86400, Doc: "Requests from this time after the start are taken."},
			{Key: "to", Kind: option.Duration, Default: "24h", Min: 0, Max: 86400, Doc: "Requests up to this time after the start are taken."},
			{Key: "attainment", Kind: option.Number, Min: 0, Max: 1, Doc: "Least part that has to be answered within the deadline."},
			{Key: "p95", Kind: option.Duration, Min: 0.001, Max: 600, Doc: "Longest time that 95 of 100 answers may take."},
			{Key: "errors", Kind: option.NameList, Doc: "Kinds of errors that may occur; none other may."},
			{Key: "atLeast", Kind: option.Number, Default: "1", Min: 1, Max: 1e9, Doc: "Least number of requests that have to be taken."},
		},
	}},
}

type (
	// Expectation is one expected outcome.
	Expectation struct {
		block *option.Block
	}

	// Verdict says whether an expectation held, and what was seen.
	Verdict struct {
		Name string
		Pass bool
		Seen string
	}
)

// ParseExpectations reads a file of expected outcomes.
func ParseExpectations(file string, data []byte) ([]Expectation, error) {
	blocks, problems := ExpectTable.Parse(file, data)
	var out []Expectation
	for _, b := range blocks {
		if !b.Has("attainment") && !b.Has("p95") && !b.Has("errors") {
			problems = append(problems, b.Problem("", "nothing is expected; write attainment, p95 or errors"))
		}
		out = append(out, Expectation{block: b})
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

// Judge returns a verdict for each expectation.
func Judge(expectations []Expectation, results []Result) []Verdict {
	out := make([]Verdict, 0, len(expectations))
	for _, e := range expectations {
		out = append(out, e.judge(results))
	}
	return out
}

func (e Expectation) judge(results []Result) Verdict {
	b := e.block
	var times []time.Duration
	taken, attained := 0, 0
	unexpected := ""
	for _, r := range results {
		if !e.takes(r) {
			continue
		}
		taken++
		if r.Attained() {
			attained++
		}
		if r.Answered {
			times = append(times, r.Took)
		} else if b.Has("errors") && !slices.Contains(b.List("errors"), r.Error) {
			unexpected = r.Error
		}
	}
	part := float64(attained) / float64(max(1, taken))
	p95 := quantile(times, 0.95)
	v := Verdict{Name: b.Name(), Pass: true, Seen: fmt.Sprintf("%d requests, attainment %.4f, p95 %v", taken, part, p95.Round(time.Millisecond))}
	switch {
	case taken < b.Int("atLeast"):
		v.Pass = false
		v.Seen += fmt.Sprintf("; want at least %d requests", b.Int("atLeast"))
	case b.Has("attainment") && part < b.Number("attainment"):
		v.Pass = false
		v.Seen += fmt.Sprintf("; want attainment %v", b.Number("attainment"))
	case b.Has("p95") && p95 > b.Duration("p95"):
		v.Pass = false
		v.Seen += fmt.Sprintf("; want p95 %v", b.Duration("p95"))
	case unexpected != "":
		v.Pass = false
		v.Seen += "; unexpected error " + unexpected
	}
	return v
}

func (e Expectation) takes(r Result) bool {
	b := e.block
	at := time.Duration(r.AtMs) * time.Millisecond
	in := func(key, value string) bool { return len(b.List(key)) == 0 || slices.Contains(b.List(key), value) }
	return in("kinds", r.Kind) && in("organisations", r.Organisation) && !slices.Contains(b.List("except"), r.Organisation) &&
		at >= b.Duration("from") && at < b.Duration("to")
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}
