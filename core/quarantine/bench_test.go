package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// fullTracker returns a tracker with as much evidence as it keeps.
func fullTracker() (*Tracker, time.Time) {
	tr, now := New("a"), time.Unix(1000, 0)
	for i := range maxCrashes {
		var parts []string
		for j := range maxCrashParts {
			parts = append(parts, fmt.Sprintf("part-%d-%d", i, j))
		}
		now = now.Add(time.Second)
		crashOn(tr, now, fmt.Sprint("e-", i), parts...)
	}
	return tr, now
}

// BenchmarkCheck measures the check of a prompt with three shared parts.
func BenchmarkCheck(b *testing.B) {
	full, now := fullTracker()
	for name, tr := range map[string]*Tracker{"withoutEvidence": New("a"), "withMostEvidence": full} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				tr.Check(now, simService, []string{"base", "org1", "part-3-3"}, "")
			}
		})
	}
}

// BenchmarkEvaluate measures a conclusion from the most evidence that is kept.
func BenchmarkEvaluate(b *testing.B) {
	tr, now := fullTracker()
	for b.Loop() {
		now = now.Add(evaluationPause)
		tr.dirty = true
		tr.Tick(now)
	}
}

// BenchmarkWentOn measures the record of an answer beside the most evidence that is kept.
func BenchmarkWentOn(b *testing.B) {
	tr, now := fullTracker()
	a := Attempt{Server: server("sound"), Parts: []string{"base", "org1", "subject1"}, SentAt: now, Begun: true}
	for b.Loop() {
		tr.WentOn(now, a)
	}
}
