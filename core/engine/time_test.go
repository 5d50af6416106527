package engine_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

var uneven = modelConfig{engines: 90, paces: []float64{0.7, 0.7, 1.7}, slowShare: 0.15, load: 0.8, duration: 20 * time.Second}

// Failure: the slow third of the engines, and those that are slow for a moment, get as many
// requests as the others, which then wait there.
func TestUnevenEngines(t *testing.T) {
	for seed := range uint64(3) {
		c := uneven
		c.seed = seed
		c.placers = []placerModel{byCount(c)}
		count := runModel(c)
		c.placers = []placerModel{byTime(c)}
		byTime := runModel(c)
		t.Logf("seed %d by count: %v", seed, count)
		t.Logf("seed %d by time:  %v", seed, byTime)
		attained := byTime.share(byTime.onTime)
		if attained < 0.95 {
			t.Errorf("seed %d: %.4f of the requests meet their target latency, want 0.95", seed, attained)
		}
		if loss, before := 1-attained, 1-count.share(count.onTime); loss > before/2 {
			t.Errorf("seed %d: %.4f of the requests are late, want half of %.4f at most", seed, loss, before)
		}
	}
}
