package edge

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"chervilpath/core/memory"
)

// Guards against alerting rules that refer to metrics which no instance exports.
func TestAlertsUseExistingMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := newMetrics(registry, func() int64 { return 0 }, memory.NewWaiting(1<<20))
	m.quarantineEvents.WithLabelValues("event").Inc()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	existing := make(map[string]bool)
	for _, f := range families {
		existing[f.GetName()] = true
	}
	data, err := os.ReadFile("../deploy/alerts-platform.yaml")
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`chervilpath_[a-z_]+`).FindAllString(string(data), -1)
	if len(names) == 0 {
		t.Error("the rules name no metric")
	}
	for _, name := range names {
		if !existing[name] {
			t.Errorf("the rules name %s, which does not exist", name)
		}
	}
}
