package edge

import (
	"os"
	"regexp"
	"testing"
)

// Guards against alerting rules that refer to metrics which no instance exports.
func TestAlertsUseExistingMetrics(t *testing.T) {
	in, _ := newIdleInstance(t)
	in.metrics.quarantineEvents.WithLabelValues("event").Inc()
	families, err := in.registry.Gather()
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
