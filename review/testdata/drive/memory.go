package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"chervilpath/platform/stand"
)

const (
	// memoryLimit is that of a machine, 284 MB, taken as MiB.
	memoryLimit = 284 << 20
	// bodyLimit is maxBodyBytes of the site's configuration, and bodyBytes the size of the
	// bodies that are sent.
	bodyLimit = 4194304
	bodyBytes = 4000000
	// chunkBytes is the most that is written at once.
	chunkBytes = 64 << 10
	// usualClients is the mean number of clients of a machine of the site, 106 on 8, and
	// burstClients that number during its largest burst, 2.6 times as many.
	usualClients = 13
	burstClients = 34
	// linkRate is what a machine's link carries, in bytes a second.
	linkRate = 1000e6 / 8
	// uploadTime is the time in which a client waits for an answer, and that of the route.
	uploadTime = 6 * time.Second
	// The rule allows fewer than maxEnds ends of its own on a tenth of the machines, and on
	// two at least.
	maxEnds         = 3
	minFaultMachine = 2
)

// residentBytes returns the memory of the machine's process.
func (m *machine) residentBytes() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// upload is one request of a client with a large body.
type upload struct {
	id          string
	sent, ended time.Time
	status      int
	err         error
}

// manyBodies lets clients send requests whose bodies are within the limit of the
// configuration to the three machines of a zone, at the rate of the machines' links. As the
// platform does, it kills a process that exceeds the memory of its machine, and starts it
// again. Such an end is the process's own.
func manyBodies(f *fleet, o options) error {
	var servers []*stand.Server
	for i, zone := range []string{"midrand", "germiston", "roodepoort"} {
		s := stand.NewServer(fmt.Sprintf("desk-%d", i+1), "jobdesk", zone)
		s.WorkTime, s.Born = 60*time.Millisecond, time.Now().UnixMilli()
		f.store.PutEntry(s, stand.Ready)
		servers = append(servers, s)
	}
	f.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "quote", "host": stand.Host, "pathPrefix": "/quote/", "kind": "non_idempotent", "timeoutMs": uploadTime.Milliseconds(), "targetLatencyMs": 1100,
			"priority": 1, "service": "jobdesk", "maxAttempts": 1, "stages": []any{}, "gapAimMs": 300,
		}},
		"services": []any{map[string]any{"name": "jobdesk", "healthPath": "/healthz", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "apiKeys": []string{apiKey}}},
	})
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	clients := usualClients
	if o.trouble {
		clients = burstClients
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	var mu sync.Mutex
	var uploads []*upload
	var wg sync.WaitGroup
	ends := make(map[*machine]int)
	for _, m := range f.machines {
		if m.zone != "germiston" {
			continue
		}
		f.log("%d clients send bodies of %d bytes to %s", clients, bodyBytes, m.name)
		link := rate.NewLimiter(linkRate, chunkBytes)
		for k := range clients {
			wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
				for n := 0; ctx.Err() == nil; n++ {
					u := sendUpload(client, m, link, fmt.Sprintf("%s-%02d-%04d", m.name, k, n))
					mu.Lock()
					uploads = append(uploads, u)
					mu.Unlock()
					if u.err != nil {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
		wg.Go(func() {
			n, peak := m.enforceLimit(ctx)
			mu.Lock()
			ends[m] = n
			mu.Unlock()
			f.log("the most memory that was seen on %s is %d MiB; its process ended %d times", m.name, peak>>20, n)
		})
	}
	wg.Wait()
	lost := 0
	for _, u := range uploads {
		f.logAt(u.sent, "%s sent", u.id)
		f.logAt(u.ended, "%s ends at its client: status %d, error %v", u.id, u.status, u.err)
		for _, s := range servers {
			if s.Runs(u.id) == 0 {
				continue
			}
			f.logAt(u.ended, "%s has run at %s", u.id, s.ID)
			if u.err != nil {
				lost++
			}
		}
	}
	f.log("%d requests, of which %d ran and got no answer", len(uploads), lost)
	faulty := 0
	for m, n := range ends {
		if n >= maxEnds {
			faulty++
			f.log("FAULT: the process of %s ended by itself %d times", m.name, n)
		}
	}
	if faulty >= minFaultMachine {
		return errBroken
	}
	return nil
}

// enforceLimit kills the process whenever it exceeds the machine's memory, and starts it
// again, until ctx ends. It returns the number of ends and the most memory in use.
func (m *machine) enforceLimit(ctx context.Context) (ends, peak int) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		n := m.residentBytes()
		peak = max(peak, n)
		if n <= memoryLimit {
			continue
		}
		m.fleet.log("%s uses %d MiB; the platform kills the process", m.name, n>>20)
		ends++
		m.end()
		time.Sleep(500 * time.Millisecond)
		if err := m.start(); err != nil {
			m.fleet.log("%s cannot be started: %v", m.name, err)
			return ends, peak
		}
	}
	return ends, peak
}

// linkReader is a body that is read at the rate of a link.
type linkReader struct {
	ctx  context.Context
	link *rate.Limiter
	left int
}

// Read implements io.Reader.
func (r *linkReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.left, chunkBytes)
	if err := r.link.WaitN(r.ctx, n); err != nil {
		return 0, err
	}
	for i := range p[:n] {
		p[i] = 'x'
	}
	r.left -= n
	return n, nil
}

// sendUpload sends one request.
func sendUpload(client *http.Client, m *machine, link *rate.Limiter, id string) *upload {
	u := &upload{id: id, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), uploadTime)
	defer cancel()
	req, err := stand.NewRequest(ctx, m.callers, stand.Request{ID: id, APIKey: apiKey, Path: "/quote/1", Timeout: uploadTime})
	if err == nil {
		// Without GetBody the client does not send the request again by itself.
		req.Body, req.GetBody, req.ContentLength = io.NopCloser(&linkReader{ctx, link, bodyBytes}), nil, bodyBytes
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			u.status = resp.StatusCode
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
	}
	u.ended, u.err = time.Now(), err
	return u
}

// end kills the process and waits until it has ended.
func (m *machine) end() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	<-exited
}
