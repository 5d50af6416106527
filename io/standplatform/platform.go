package standplatform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chervilpath/core/object"
)

type (
	// Instance is an entry of the platform's list of instances.
	Instance struct {
		Name          string `json:"name"`
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
		// State is "live" or "leaving".
		State string `json:"state"`
	}

	// Platform stands in for the platform: the object API and the instance list.
	Platform struct {
		objects *Objects
		lag     time.Duration

		mu        sync.Mutex
		instances map[string]listed
	}

	listed struct {
		before, now Instance
		present     bool
		since       time.Time
	}

	listedObject struct {
		Name    string `json:"name"`
		Version int64  `json:"version"`
		Data    []byte `json:"data"`
	}
)

const (
	maxWatch = 30 * time.Second

	pathControl = "/control"
	pathCounts  = "/counts"
	headerType  = "Content-Type"
	contentJSON = "application/json"
)

// New returns a platform whose instance list lags.
func New(lag time.Duration) *Platform {
	return &Platform{objects: NewObjects(time.Now), lag: lag, instances: make(map[string]listed)}
}

// Objects returns the platform's objects.
func (p *Platform) Objects() *Objects { return p.objects }

// SetInstance lists an instance, from one lag later on.
func (p *Platform) SetInstance(i Instance) { p.change(i.Name, i, true) }

// RemoveInstance takes an instance off the list, from one lag later on.
func (p *Platform) RemoveInstance(name string) { p.change(name, Instance{Name: name}, false) }

func (p *Platform) change(name string, i Instance, present bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.instances[name]
	before := old.now
	if !old.present {
		before = Instance{}
	}
	p.instances[name] = listed{before: before, now: i, present: present, since: time.Now()}
}

// Instances returns the list as it was one lag ago.
func (p *Platform) Instances() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []Instance{}
	for _, l := range p.instances {
		switch {
		case time.Since(l.since) < p.lag:
			if l.before.Name != "" {
				out = append(out, l.before)
			}
		case l.present:
			out = append(out, l.now)
		}
	}
	return out
}

// Handler returns the platform's HTTP interface with its control interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.remove)
	mux.HandleFunc("GET /objects/{kind}", p.list)
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		p.objects.countRead()
		p.serveInstances(w, r)
	})
	mux.HandleFunc("PUT /instances/{name}", p.putInstance)
	mux.HandleFunc("DELETE /instances/{name}", func(w http.ResponseWriter, r *http.Request) { p.RemoveInstance(r.PathValue("name")) })
	mux.HandleFunc("GET "+pathCounts, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, p.objects.Counts()) })
	mux.HandleFunc("PUT "+pathControl, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.objects.SetFaults(f)
	})
	return mux
}

// serveInstances answers with the list, or that it is unchanged.
func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	list := p.Instances()
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	data, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(data)
	tag := strconv.Quote(hex.EncodeToString(sum[:8]))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set(headerType, contentJSON)
	_, _ = w.Write(data)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Name = r.PathValue("name")
	p.SetInstance(i)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	var obj object.Object
	var err error
	if after := r.FormValue("after"); after != "" {
		obj, err = p.watch(r, kind, name, after)
	} else {
		obj, err = p.objects.Get(r.Context(), kind, name)
	}
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", etag(obj.Version))
	_, _ = w.Write(obj.Data)
}

func (p *Platform) watch(r *http.Request, kind, name, after string) (object.Object, error) {
	version, _ := strconv.ParseInt(after, 10, 64)
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil || wait > maxWatch {
		wait = maxWatch
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	return p.objects.Watch(ctx, kind, name, version)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	obj := object.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Data: data, Version: condition(r)}
	version, err := p.objects.Put(r.Context(), obj)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", etag(version))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	if err := p.objects.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), condition(r)); err != nil {
		fail(w, err)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	objs, err := p.objects.List(r.Context(), r.PathValue("kind"), r.FormValue("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	out := make([]listedObject, len(objs))
	for i, obj := range objs {
		out[i] = listedObject{Name: obj.Name, Version: obj.Version, Data: obj.Data}
	}
	writeJSON(w, out)
}

// condition returns the version of an If-Match header, or object.Absent.
func condition(r *http.Request) int64 {
	version, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return object.Absent
	}
	return version
}

func etag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, object.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, object.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, object.ErrUnchanged):
		w.WriteHeader(http.StatusNotModified)
	case errors.Is(err, object.ErrUncertain):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set(headerType, contentJSON)
	_ = json.NewEncoder(w).Encode(v)
}
