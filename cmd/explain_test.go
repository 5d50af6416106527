package cmd

import (
	"strings"
	"testing"
	"time"
)

// TestExplainSlots guards against the owner's lines about a request being left out, or those
// of a later attempt, which has a number behind its ID.
func TestExplainSlots(t *testing.T) {
	log := `{"time":"2026-01-02T03:04:05Z","message":"slot","step":"delayed","requestId":"r","value":0.5,"workMs":30,"dueMs":120,"forecastMs":45,"ahead":7,"slots":18}
{"time":"2026-01-02T03:04:06Z","message":"slot","step":"dropped","requestId":"r/2","retryAfterMs":250,"error":"too late"}
{"time":"2026-01-02T03:04:06Z","message":"decision","step":"route","requestId":"r/3"}
`
	lines, err := readLines(strings.NewReader(log), "r")
	if err != nil || len(lines) != 2 {
		t.Fatalf("%d lines are read: %v", len(lines), err)
	}
	for i, want := range []string{"value 0.5  work ms 30  due in ms 120  forecast ms 45  ahead 7  slots 18", "retry after ms 250  cause: too late"} {
		if got := lines[i].format(time.Time{}); !strings.Contains(got, want) {
			t.Errorf("line %d is %q", i, got)
		}
	}
}
