package demo

import (
	"fmt"
	"strings"

	"chervilpath/core/cost"
)

// The promises that are checked, as reports name them.
const (
	promiseOwnAnswer      = "every caller gets the answer to its own request"
	promiseCompleteAnswer = "every answer is complete"
	promiseAtMostOnce     = "a non-idempotent request runs at most once"
	promiseNotRun         = "a request refused as not run did not run"
	promiseDone           = "a request answered as done did run"
	promiseCost           = "cost is attributed to the organisation that caused it"
)

// Violation describes an observation that breaks a promise of the system.
type Violation struct {
	Promise  string
	Observed string
}

// String returns the promise, followed by the observation that breaks it.
func (v Violation) String() string { return v.Promise + ": " + v.Observed }

// checkAll checks the answers that callers received, and compares their outcomes
// with runs, the number of executions counted by the endpoints, keyed by stage and
// run ID.
func checkAll(requests []request, runs map[string]int) []Violation {
	var violations []Violation
	for _, r := range requests {
		violations = append(violations, checkAnswer(r)...)
		if r.runID != "" {
			violations = append(violations, checkAtMostOnce(r, runs[r.nonIdempotentStage+" "+r.runID])...)
		}
	}
	return violations
}

// checkAnswer checks that each part of an answer names the subject of its request,
// and that a stream contains every token in order.
func checkAnswer(r request) []Violation {
	if !r.answered {
		return nil
	}
	var violations []Violation
	for word := range strings.FieldsSeq(r.text) {
		if strings.HasPrefix(word, "case-") && word != r.subject && !strings.HasPrefix(word, r.subject+".") {
			violations = append(violations, Violation{promiseOwnAnswer, fmt.Sprintf("%s got %q", r.subject, word)})
			break
		}
	}
	if !strings.Contains(r.text, r.subject) {
		violations = append(violations, Violation{promiseOwnAnswer, fmt.Sprintf("%s got %.60q", r.subject, r.text)})
	}
	var streamed strings.Builder
	for i, t := range r.tokens {
		if t.Sequence != i+1 {
			violations = append(violations, Violation{promiseCompleteAnswer, fmt.Sprintf("%s got token %d where token %d was expected", r.subject, t.Sequence, i+1)})
			break
		}
		streamed.WriteString(t.Text)
	}
	if len(r.tokens) > 0 && streamed.String() != r.text {
		violations = append(violations, Violation{promiseCompleteAnswer, fmt.Sprintf("%s was streamed %d of %d bytes", r.subject, streamed.Len(), len(r.text))})
	}
	return violations
}

// checkAtMostOnce compares the outcome that a caller saw with the number of times
// that its request ran.
func checkAtMostOnce(r request, runs int) []Violation {
	switch {
	case runs > 1:
		return []Violation{{promiseAtMostOnce, fmt.Sprintf("%s %s ran %d times", r.kind, r.subject, runs)}}
	case r.answered && runs == 0:
		return []Violation{{promiseDone, fmt.Sprintf("%s %s was answered but did not run", r.kind, r.subject)}}
	case !r.answered && r.failure.Ran == "no" && runs > 0:
		return []Violation{{promiseNotRun, fmt.Sprintf("%s %s ran but was refused as not run at stage %q: %s", r.kind, r.subject, r.failure.Stage, r.failure.Message)}}
	}
	return nil
}

// checkCost compares the units in stored cost records with those that the
// stand-ins counted. No more units may be attributed than were counted. If exact is
// set, which requires that no instance was lost, no fewer may be attributed either,
// except for an organisation and stage with calls of unknown cost.
func checkCost(lines []cost.Line, counted map[string]float64, exact bool) []Violation {
	var violations []Violation
	attributed := attributedUnits(lines)
	unknown := make(map[string]bool)
	for _, l := range lines {
		if l.UnknownCalls > 0 {
			unknown[l.Organisation+" "+l.Stage] = true
		}
	}
	for key, units := range attributed {
		if units > counted[key]+1e-6 {
			violations = append(violations, Violation{promiseCost, fmt.Sprintf("%s: %.0f units attributed, %.0f counted", key, units, counted[key])})
		}
	}
	for key, units := range counted {
		if exact && !unknown[key] && attributed[key] < units-1e-6 {
			violations = append(violations, Violation{promiseCost, fmt.Sprintf("%s: %.0f units attributed, %.0f counted", key, attributed[key], units)})
		}
	}
	return violations
}
