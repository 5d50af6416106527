// Package platform speaks to the platform: its object API and its list of
// instances.
//
// It owns the wire of the platform, so that another platform means a change
// here only, and the budget of calls. It must not decide what is stored.
//
// Objects are at /objects/KIND/NAME. Versions are entity tags, conditions are
// If-Match and If-None-Match of RFC 9110, and a watch is a GET that waits for a
// version above its parameter "after".
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chervilpath/core/object"
)

const (
	// callTimeout bounds a call that is not a watch.
	callTimeout = 2 * time.Second

	// watchWait is how long a watch waits at the platform.
	watchWait = 20 * time.Second

	maxListBytes = 64 << 20
)

type (
	// Config describes the platform to a client.
	Config struct {
		// URL is where the platform listens.
		URL string
		// ReadsPerSecond and WritesPerSecond are this instance's part of the
		// platform's rates.
		ReadsPerSecond  float64
		WritesPerSecond float64
	}

	// Instance is an entry of the platform's list of instances. The list lags.
	Instance struct {
		Name          string `json:"name"`
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
	}

	// Counts are the calls that a client has made.
	Counts struct {
		Reads, Writes, Watches, Failed int64
	}

	// Client calls the platform. Use New. It is safe for concurrent use.
	Client struct {
		cfg    Config
		http   *http.Client
		reads  *rate.Limiter
		writes *rate.Limiter

		readCount, writeCount, watchCount, failCount atomic.Int64
	}

	listedObject struct {
		Name    string `json:"name"`
		Version int64  `json:"version"`
		Data    []byte `json:"data"`
	}
)

// New returns a client that keeps to its part of the platform's rates.
func New(cfg Config, client *http.Client) *Client {
	cfg.URL = strings.TrimSuffix(cfg.URL, "/")
	return &Client{
		cfg:    cfg,
		http:   client,
		reads:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond))),
		writes: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), max(1, int(cfg.WritesPerSecond))),
	}
}

// Store returns the client as an object store.
func (c *Client) Store() object.Store {
	return object.Store{Get: c.Get, Put: c.Put, Delete: c.Delete, List: c.List, Watch: c.Watch}
}

// Counts returns the calls made so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.readCount.Load(), Writes: c.writeCount.Load(), Watches: c.watchCount.Load(), Failed: c.failCount.Load()}
}

// Get implements object.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (object.Object, error) {
	c.readCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, kind, name, "")
}

// Watch implements object.Store.
func (c *Client) Watch(ctx context.Context, kind, name string, after int64) (object.Object, error) {
	c.watchCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	return c.read(ctx, kind, name, fmt.Sprintf("?after=%d&wait=%s", after, watchWait))
}

func (c *Client) read(ctx context.Context, kind, name, query string) (object.Object, error) {
	obj := object.Object{Kind: kind, Name: name}
	resp, err := c.do(ctx, c.reads, http.MethodGet, c.path(kind, name)+query, nil, "", "")
	if err != nil {
		return obj, fmt.Errorf("getting %s/%s: %w", kind, name, unavailable(err))
	}
	defer closeBody(resp)
	if err := statusError(resp.StatusCode); err != nil {
		return obj, fmt.Errorf("getting %s/%s: %w", kind, name, unavailable(err))
	}
	obj.Data, err = io.ReadAll(io.LimitReader(resp.Body, object.MaxBytes+1))
	if err != nil || len(obj.Data) > object.MaxBytes {
		return obj, fmt.Errorf("getting %s/%s: reading its value: %w", kind, name, object.ErrUnavailable)
	}
	obj.Version, err = version(resp)
	if err != nil {
		return obj, fmt.Errorf("getting %s/%s: %w: %w", kind, name, err, object.ErrUnavailable)
	}
	return obj, nil
}

// Put implements object.Store.
func (c *Client) Put(ctx context.Context, obj object.Object) (int64, error) {
	if len(obj.Data) > object.MaxBytes {
		return 0, fmt.Errorf("putting %s/%s: a value holds at most %d bytes, not %d: %w", obj.Kind, obj.Name, object.MaxBytes, len(obj.Data), object.ErrUnavailable)
	}
	c.writeCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header, value := "If-None-Match", "*"
	if obj.Version != object.Absent {
		header, value = "If-Match", strconv.Quote(strconv.FormatInt(obj.Version, 10))
	}
	resp, err := c.do(ctx, c.writes, http.MethodPut, c.path(obj.Kind, obj.Name), obj.Data, header, value)
	if err != nil {
		return 0, fmt.Errorf("putting %s/%s: %w", obj.Kind, obj.Name, err)
	}
	defer closeBody(resp)
	if err := statusError(resp.StatusCode); err != nil {
		return 0, fmt.Errorf("putting %s/%s: %w", obj.Kind, obj.Name, err)
	}
	v, err := version(resp)
	if err != nil {
		return 0, fmt.Errorf("putting %s/%s: %w: %w", obj.Kind, obj.Name, err, object.ErrUncertain)
	}
	return v, nil
}

// Delete implements object.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	c.writeCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.do(ctx, c.writes, http.MethodDelete, c.path(kind, name), nil, "If-Match", strconv.Quote(strconv.FormatInt(version, 10)))
	if err != nil {
		return fmt.Errorf("deleting %s/%s: %w", kind, name, err)
	}
	defer closeBody(resp)
	if err := statusError(resp.StatusCode); err != nil {
		return fmt.Errorf("deleting %s/%s: %w", kind, name, err)
	}
	return nil
}

// List implements object.Store.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]object.Object, error) {
	c.readCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var listed []listedObject
	resp, err := c.do(ctx, c.reads, http.MethodGet, c.cfg.URL+"/objects/"+url.PathEscape(kind)+"?prefix="+url.QueryEscape(prefix), nil, "", "")
	if err != nil {
		return nil, fmt.Errorf("listing %s/%s: %w", kind, prefix, unavailable(err))
	}
	defer closeBody(resp)
	if err := decode(resp, &listed); err != nil {
		return nil, fmt.Errorf("listing %s/%s: %w", kind, prefix, err)
	}
	out := make([]object.Object, len(listed))
	for i, l := range listed {
		out[i] = object.Object{Kind: kind, Name: l.Name, Version: l.Version, Data: l.Data}
	}
	return out, nil
}

// Instances returns the platform's list of instances, which lags, and its entity
// tag. If the list still has the given tag the error is object.ErrUnchanged:
// only a change costs more than a few bytes.
func (c *Client) Instances(ctx context.Context, tag string) ([]Instance, string, error) {
	c.readCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []Instance
	resp, err := c.do(ctx, c.reads, http.MethodGet, c.cfg.URL+"/instances", nil, "If-None-Match", tag)
	if err != nil {
		return nil, tag, fmt.Errorf("getting the list of instances: %w", unavailable(err))
	}
	defer closeBody(resp)
	if err := decode(resp, &out); err != nil {
		return nil, tag, fmt.Errorf("getting the list of instances: %w", err)
	}
	return out, resp.Header.Get("ETag"), nil
}

// decode reads the JSON of an answer.
func decode(resp *http.Response, v any) error {
	if err := statusError(resp.StatusCode); err != nil {
		return unavailable(err)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(v); err != nil {
		return fmt.Errorf("%w: decoding: %w", object.ErrUnavailable, err)
	}
	return nil
}

func (c *Client) path(kind, name string) string {
	return c.cfg.URL + "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// do sends a request within the budget. An error is ErrUnavailable if nothing
// can have been written and ErrUncertain otherwise.
func (c *Client) do(ctx context.Context, limiter *rate.Limiter, method, target string, body []byte, header, value string) (*http.Response, error) {
	if err := limiter.Wait(ctx); err != nil {
		c.failCount.Add(1)
		return nil, fmt.Errorf("%w: the instance's part of the call rate is used up", object.ErrUnavailable)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", object.ErrUnavailable, err)
	}
	if header != "" {
		req.Header.Set(header, value)
	}
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	c.failCount.Add(1)
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", object.ErrUnavailable, err)
	}
	return nil, fmt.Errorf("%w: %w", object.ErrUncertain, err)
}

// statusError returns the meaning of a status code that is no success.
func statusError(code int) error {
	switch {
	case code < http.StatusMultipleChoices:
		return nil
	case code == http.StatusNotFound:
		return object.ErrNotFound
	case code == http.StatusPreconditionFailed:
		return object.ErrConflict
	case code == http.StatusNotModified:
		return object.ErrUnchanged
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable, code == http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: status %d", object.ErrUnavailable, code)
	}
	return fmt.Errorf("%w: status %d", object.ErrUncertain, code)
}

// unavailable turns the uncertainty of a write into the failure of a read.
func unavailable(err error) error {
	if errors.Is(err, object.ErrUncertain) {
		return fmt.Errorf("%w: %w", object.ErrUnavailable, err)
	}
	return err
}

func version(resp *http.Response) (int64, error) {
	text := strings.Trim(resp.Header.Get("ETag"), `"`)
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v <= 0 {
		return 0, fmt.Errorf("the entity tag %q is not a version", text)
	}
	return v, nil
}

func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	_ = resp.Body.Close()
}
