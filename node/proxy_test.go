package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chervilpath/core/declare"
	"chervilpath/core/kernel"
	"chervilpath/core/publish"
	"chervilpath/core/settings"
	"chervilpath/io/standin"
	"chervilpath/node"
	"chervilpath/platform/stand"
)

const (
	benchKey  = "bench-key"
	benchBody = `{"text":"case-1 leaks","maxTokens":2000}`
	// endpointBody is the body of requests sent to the stand-in directly or
	// through the reverse proxy.
	endpointBody = `{"attempt":"a","requestId":"r","organisation":"o","input":{"text":"case-1 leaks"}}`
)

// startInstance starts an instance that serves a pool endpoint and an engine, and
// returns the URL for callers.
func startInstance(b *testing.B, stage, engine string) string {
	b.Helper()
	standIn := stand.New(time.Now)
	platform := httptest.NewServer(standIn)
	b.Cleanup(platform.Close)
	declarations := fmt.Sprintf("[pipeline one]\nstages = s\n[pipeline stream]\nstages = g\n[stage s]\n[stage g]\nunit = tokens\n[kind one]\npipeline = one\n[kind stream]\npipeline = stream\ndeadline = 60s\n[endpoint e]\naddress = %s\nkind = pool\nstages = s\nfailureDomain = d\nslots = 1000\n[endpoint g]\naddress = %s\nkind = engine\nstages = g\nfailureDomain = d\nslots = 1000\n[organisation o]\nkeyHashes = %s\n", stage, engine, declare.HashKey(benchKey))
	if _, err := publish.New(standIn.Objects(), time.Now).Publish(context.Background(), publish.Change{Fragments: []declare.Fragment{{Name: "b.ini", Data: []byte(declarations)}}, ID: "1"}); err != nil {
		b.Fatal(err)
	}
	settingsText := fmt.Sprintf("[instance]\nname = bench\nfailureDomain = d\ncallerAddress = 127.249.0.1:8080\npeerAddress = 127.249.0.1:8081\noperatorAddress = 127.249.0.1:8082\n[platform]\nurl = %s\n[peers]\nsecretFile = s\n", platform.URL)
	cfg, err := settings.ParseEntry("b.ini", []byte(settingsText), func(string) ([]byte, error) { return []byte("0123456789abcdef"), nil })
	if err != nil {
		b.Fatal(err)
	}
	k := kernel.New()
	// The log is encoded as in production and discarded.
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zapcore.InfoLevel))
	if _, err := node.New(k, cfg, log); err != nil {
		b.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = k.Stop(context.Background()) })
	return "http://127.249.0.1:8080"
}

// post sends a request and fails the benchmark unless it is answered with 200.
func post(b testing.TB, client *http.Client, target, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, target, bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		b.Fatalf("status %d: %s", resp.StatusCode, data)
	}
	return resp
}

// BenchmarkOneStage compares an entry instance with the standard library's
// ReverseProxy, both in front of the same stand-in. It reports the median latency
// of sequential calls and the time per call of concurrent ones.
func BenchmarkOneStage(b *testing.B) {
	stage := httptest.NewServer(standin.NewStage(standin.StageConfig{Slots: 1000}).Handler())
	b.Cleanup(stage.Close)
	target, _ := url.Parse(stage.URL)
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(target) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}
	proxied := httptest.NewServer(proxy)
	b.Cleanup(proxied.Close)
	entryURL := startInstance(b, stage.URL, stage.URL)
	for _, variant := range []struct{ name, url, body string }{
		{"direct", stage.URL + "/run/s", endpointBody},
		{"reverseProxy", proxied.URL + "/run/s", endpointBody},
		{"chervilpath", entryURL + "/v1/kinds/one", benchBody},
	} {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
		callOnce := func(b testing.TB) {
			resp := post(b, client, variant.url, variant.body)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		b.Run(variant.name+"/sequential", func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				start := time.Now()
				callOnce(b)
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
		})
		b.Run(variant.name+"/parallel", func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					callOnce(b)
				}
			})
		})
	}
}

// BenchmarkStreams relays concurrent streams of tokens and reports the number of
// events per second.
func BenchmarkStreams(b *testing.B) {
	engine := httptest.NewServer(standin.NewEngine(standin.EngineConfig{Slots: 1000}).Handler())
	b.Cleanup(engine.Close)
	entryURL := startInstance(b, engine.URL, engine.URL)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	events := make(chan int, 1024)
	total := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range events {
			total += n
		}
	}()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp := post(b, client, entryURL+"/v1/kinds/stream", `{"text":"case-1 leaks","maxTokens":2000,"stream":true}`)
			data, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			events <- bytes.Count(data, []byte("event: token"))
		}
	})
	close(events)
	<-done
	b.ReportMetric(float64(total)/b.Elapsed().Seconds(), "events/s")
}
