package demo

import (
	"fmt"
	"strings"

	"chervilpath/core/cost"
)

const (
	promiseOwn    = "every caller gets the answer to its own request"
	promiseWhole  = "every answer is whole"
	promiseOnce   = "work that must not repeat runs at most once"
	promiseNotRun = "a refusal that says not run is true"
	promiseDone   = "an answer that says done is true"
	promiseCost   = "cost is attributed to who caused it"
)

// Broken is a promise that was not kept, with what was seen.
type Broken struct {
	Promise string
	Seen    string
}

// String returns the promise and what was seen.
func (b Broken) String() string { return b.Promise + ": " + b.Seen }

// judge compares what callers saw with what ran at the endpoints.
func judge(all []sent, runs map[string]int) []Broken {
	var out []Broken
	for _, s := range all {
		out = append(out, judgeAnswer(s)...)
		if s.runID != "" {
			out = append(out, judgeOnce(s, runs[s.onceStage+" "+s.runID])...)
		}
	}
	return out
}

// judgeAnswer checks that each part of an answer carries the request's subject
// and that a stream has every token.
func judgeAnswer(s sent) []Broken {
	if !s.answered {
		return nil
	}
	var out []Broken
	for word := range strings.FieldsSeq(s.text) {
		if strings.HasPrefix(word, "case-") && word != s.subject && !strings.HasPrefix(word, s.subject+".") {
			out = append(out, Broken{promiseOwn, fmt.Sprintf("%s got %q", s.subject, word)})
			break
		}
	}
	if !strings.Contains(s.text, s.subject) {
		out = append(out, Broken{promiseOwn, fmt.Sprintf("%s got %.60q", s.subject, s.text)})
	}
	var streamed strings.Builder
	for i, t := range s.tokens {
		if t.Sequence != i+1 {
			out = append(out, Broken{promiseWhole, fmt.Sprintf("%s got token %d in place of %d", s.subject, t.Sequence, i+1)})
			break
		}
		streamed.WriteString(t.Text)
	}
	if len(s.tokens) > 0 && streamed.String() != s.text {
		out = append(out, Broken{promiseWhole, fmt.Sprintf("%s was streamed %d bytes of %d", s.subject, streamed.Len(), len(s.text))})
	}
	return out
}

func judgeOnce(s sent, runs int) []Broken {
	switch {
	case runs > 1:
		return []Broken{{promiseOnce, fmt.Sprintf("%s %s ran %d times", s.kind, s.subject, runs)}}
	case s.answered && runs == 0:
		return []Broken{{promiseDone, fmt.Sprintf("%s %s is answered and did not run", s.kind, s.subject)}}
	case !s.answered && s.failed.Ran == "no" && runs > 0:
		return []Broken{{promiseNotRun, fmt.Sprintf("%s %s ran, and was refused at stage %q: %s", s.kind, s.subject, s.failed.Stage, s.failed.Message)}}
	}
	return nil
}

// judgeCost compares the units attributed with those that the stand-ins
// counted. No more may be attributed than was counted, and no less if no
// instance was lost, but for organisations and stages with calls whose cost is
// counted as unknown.
func judgeCost(lines []cost.Line, counted map[string]float64, exact bool) []Broken {
	var out []Broken
	attributed := attributedUnits(lines)
	unknown := make(map[string]bool)
	for _, l := range lines {
		if l.UnknownCalls > 0 {
			unknown[l.Organisation+" "+l.Stage] = true
		}
	}
	for key, units := range attributed {
		if units > counted[key]+1e-6 {
			out = append(out, Broken{promiseCost, fmt.Sprintf("%s: %.0f units attributed, %.0f counted", key, units, counted[key])})
		}
	}
	for key, units := range counted {
		if exact && !unknown[key] && attributed[key] < units-1e-6 {
			out = append(out, Broken{promiseCost, fmt.Sprintf("%s: %.0f units attributed, %.0f counted", key, attributed[key], units)})
		}
	}
	return out
}
