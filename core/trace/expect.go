package trace

import (
	"fmt"
	"slices"
	"time"

	"chervilpath/core/option"
)

// ExpectationTable defines the options of a file of expected outcomes.
var ExpectationTable = option.Table{
	Title: "Expected outcomes of a replay",
	Doc:   "The file given to `chervilpath replay --expect FILE`. Each section states an expected outcome for a selection of the requests.",
	Sections: []option.Section{{
		Kind: "outcome", Named: true,
		Doc: "One expected outcome. Every condition that is stated has to hold for the selected requests.",
		Options: []option.Option{
			{Key: "kinds", Kind: option.NameList, Doc: "Kinds of requests that are selected; all if left out."},
			{Key: "organisations", Kind: option.NameList, Doc: "Organisations whose requests are selected; all if left out."},
			{Key: "except", Kind: option.NameList, Doc: "Organisations whose requests are not selected."},
			{Key: "from", Kind: option.Duration, Default: "0s", Min: 0, Max: 86400, Doc: "Requests are selected from this time after the start."},
			{Key: "to", Kind: option.Duration, Default: "24h", Min: 0, Max: 86400, Doc: "Requests are selected up to this time after the start, which is excluded."},
			{Key: "attainment", Kind: option.Number, Min: 0, Max: 1, Doc: "Minimum fraction of the requests that must be answered within the deadline."},
			{Key: "p95", Kind: option.Duration, Min: 0.001, Max: 600, Doc: "Upper limit of the 95th percentile of the times to an answer."},
			{Key: "errors", Kind: option.NameList, Doc: "Kinds of errors that may occur; any other fails the outcome."},
			{Key: "atLeast", Kind: option.Number, Default: "1", Min: 1, Max: 1e9, Doc: "Minimum number of requests that must be selected."},
		},
	}},
}

type (
	// Expectation is one expected outcome of a replay.
	Expectation struct {
		block *option.Block
	}

	// Verdict says whether an expectation held, and what was observed.
	Verdict struct {
		Name     string
		Pass     bool
		Observed string
	}
)

// ParseExpectations reads a file of expected outcomes.
func ParseExpectations(file string, data []byte) ([]Expectation, error) {
	blocks, problems := ExpectationTable.Parse(file, data)
	var out []Expectation
	for _, b := range blocks {
		if !b.Has("attainment") && !b.Has("p95") && !b.Has("errors") {
			problems = append(problems, b.Problem("", "no condition is stated; write attainment, p95 or errors"))
		}
		out = append(out, Expectation{block: b})
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

// Evaluate returns a verdict for each expectation.
func Evaluate(expectations []Expectation, results []Result) []Verdict {
	out := make([]Verdict, 0, len(expectations))
	for _, e := range expectations {
		out = append(out, e.evaluate(results))
	}
	return out
}

func (e Expectation) evaluate(results []Result) Verdict {
	b := e.block
	var latencies []time.Duration
	matched, inTime := 0, 0
	unexpectedError := ""
	for _, r := range results {
		if !e.matches(r) {
			continue
		}
		matched++
		if r.MetDeadline() {
			inTime++
		}
		if r.Answered {
			latencies = append(latencies, r.Took)
		} else if b.Has("errors") && !slices.Contains(b.List("errors"), r.ErrorKind) {
			unexpectedError = r.ErrorKind
		}
	}
	attainment := float64(inTime) / float64(max(1, matched))
	p95 := quantile(latencies, 0.95)
	v := Verdict{Name: b.Name(), Pass: true, Observed: fmt.Sprintf("%d requests, attainment %.4f, p95 %v", matched, attainment, p95.Round(time.Millisecond))}
	switch {
	case matched < b.Int("atLeast"):
		v.Pass = false
		v.Observed += fmt.Sprintf("; want at least %d requests", b.Int("atLeast"))
	case b.Has("attainment") && attainment < b.Number("attainment"):
		v.Pass = false
		v.Observed += fmt.Sprintf("; want attainment %v", b.Number("attainment"))
	case b.Has("p95") && p95 > b.Duration("p95"):
		v.Pass = false
		v.Observed += fmt.Sprintf("; want p95 %v", b.Duration("p95"))
	case unexpectedError != "":
		v.Pass = false
		v.Observed += "; unexpected error " + unexpectedError
	}
	return v
}

// matches reports whether the expectation selects the request of a result.
func (e Expectation) matches(r Result) bool {
	b := e.block
	at := time.Duration(r.AtMs) * time.Millisecond
	allows := func(key, value string) bool { return len(b.List(key)) == 0 || slices.Contains(b.List(key), value) }
	return allows("kinds", r.Kind) && allows("organisations", r.Organisation) && !slices.Contains(b.List("except"), r.Organisation) &&
		at >= b.Duration("from") && at < b.Duration("to")
}

// quantile sorts the durations and returns their q-quantile, or 0 if there are
// none.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(q*float64(len(durations))))]
}
