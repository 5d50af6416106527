package node

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"

	"chervilpath/core/declare"
	"chervilpath/core/kernel"
	"chervilpath/core/pipeline"
	"chervilpath/core/settings"
	"chervilpath/io/caller"
)

const testOrganisation = "sandton-homes"

const metricsSettings = `[instance]
name = m
failureDomain = d
callerAddress = 127.0.0.1:1
peerAddress = 127.0.0.1:2
operatorAddress = 127.0.0.1:3
[platform]
url = http://127.0.0.1:4
[peers]
secretFile = s
`

// gatherMetrics returns all metrics of an instance that has served requests of an
// organisation.
func gatherMetrics(t *testing.T) []*dto.MetricFamily {
	t.Helper()
	cfg, err := settings.ParseEntry("m.ini", []byte(metricsSettings), func(string) ([]byte, error) { return []byte("0123456789abcdef"), nil })
	if err != nil {
		t.Fatal(err)
	}
	in, err := New(kernel.New(), cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	set, problems := declare.Build([]declare.Fragment{{Name: "a.ini", Data: []byte("[stage s]\n[endpoint e]\naddress = http://127.0.0.1:5\nkind = pool\nstages = s\nfailureDomain = d\n")}})
	if set == nil {
		t.Fatal(problems)
	}
	in.runner.SetDeclarations(set)
	in.observeRequest(caller.Completion{Kind: "k", Took: time.Second})
	in.recordCharge(pipeline.Charge{Stage: "s", Organisation: testOrganisation})
	in.metrics.observeStage("s", 0, time.Second, nil)
	in.metrics.observeToken("s", true, time.Second)
	in.metrics.observeToken("s", false, time.Second)
	families, err := in.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	return families
}

var metricPattern = regexp.MustCompile(`chervilpath_[a-z_]+`)

// TestDashboardsUseExistingMetrics checks that the alerting rules and the
// dashboard refer only to metrics that an instance exports.
func TestDashboardsUseExistingMetrics(t *testing.T) {
	existing := make(map[string]bool)
	for _, f := range gatherMetrics(t) {
		existing[f.GetName()] = true
	}
	for _, file := range []string{"../deploy/alerts.yaml", "../deploy/dashboard.json"} {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		names := metricPattern.FindAllString(string(data), -1)
		if len(names) == 0 {
			t.Errorf("%s names no metric", file)
		}
		for _, name := range names {
			if !existing[strings.TrimSuffix(name, "_bucket")] {
				t.Errorf("%s names %s, which does not exist", file, name)
			}
		}
	}
}

// TestMetricsAreNotPerOrganisation checks that no metric is named after
// organisations or has one as a label: a series for each of 30,000 would make scrapes
// too large.
func TestMetricsAreNotPerOrganisation(t *testing.T) {
	for _, f := range gatherMetrics(t) {
		if strings.Contains(f.GetName(), "organisation") {
			t.Errorf("metric %s", f.GetName())
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if strings.Contains(l.GetName(), "organisation") || l.GetValue() == testOrganisation {
					t.Errorf("metric %s has the label %s=%q", f.GetName(), l.GetName(), l.GetValue())
				}
			}
		}
	}
}
