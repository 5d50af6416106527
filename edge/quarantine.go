package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/quarantine"
)

const (
	// quarantineShareDelay is how long changes of the evidence against parts of prompts
	// are collected before they are sent.
	quarantineShareDelay = 50 * time.Millisecond

	// quarantineTick is the longest time between two evaluations of the evidence, and
	// quarantineIdleTick that while there is none.
	quarantineTick     = 200 * time.Millisecond
	quarantineIdleTick = 10 * time.Second

	// quarantineBytesPerSecond limits the changes that are sent, each to several members.
	quarantineBytesPerSecond = 32 << 10

	// maxQuarantineBytes is the largest evidence that is accepted from another instance.
	maxQuarantineBytes = 256 << 10
)

var errQuarantineTooLarge = errors.New("the evidence is too large")

// notifyQuarantine wakes shareQuarantine.
func (in *Instance) notifyQuarantine() {
	select {
	case in.quarantineChanged <- struct{}{}:
	default:
	}
}

// shareQuarantine sends changes of the evidence to others, and draws the conclusions that
// are due, until ctx is done. Large changes are sent less often.
func (in *Instance) shareQuarantine(ctx context.Context) {
	for ctx.Err() == nil {
		in.awaitQuarantine(ctx)
		now := time.Now()
		in.quarantine.Tick(now)
		in.logQuarantine()
		if change, ok := in.quarantine.TakeChanges(now); ok {
			data := in.encodeQuarantine(change)
			in.members.PushQuarantine(ctx, data)
			in.sleep(ctx, time.Duration(float64(len(data))/quarantineBytesPerSecond*float64(time.Second)))
		}
	}
}

// awaitQuarantine waits for a change of the evidence and collects what else changes soon,
// or until conclusions may be due.
func (in *Instance) awaitQuarantine(ctx context.Context) {
	interval := quarantineIdleTick
	if in.quarantine.Active() {
		interval = quarantineTick
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-in.quarantineChanged:
		in.sleep(ctx, quarantineShareDelay)
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (in *Instance) wholeQuarantine() []byte {
	return in.encodeQuarantine(in.quarantine.Whole(time.Now()))
}

func (in *Instance) encodeQuarantine(s quarantine.State) []byte {
	data, err := json.Marshal(s)
	if err != nil {
		in.log.Error("could not encode the quarantine for peers", zap.Error(err))
		return nil
	}
	return data
}

// mergeQuarantine adds the evidence that another instance sent.
func (in *Instance) mergeQuarantine(from string, data []byte) {
	var s quarantine.State
	err := errQuarantineTooLarge
	if len(data) <= maxQuarantineBytes {
		err = json.Unmarshal(data, &s)
	}
	if err == nil {
		err = in.quarantine.Merge(time.Now(), s)
	}
	if err != nil {
		in.log.Warn("quarantine from peer refused", zap.String("from", from), zap.Error(err))
		return
	}
	in.notifyQuarantine()
}

// claimTrial reports whether a request may try a part that is held back.
func (in *Instance) claimTrial(service, part string) bool {
	ok := in.quarantine.ClaimTrial(time.Now(), service, part)
	in.notifyQuarantine()
	return ok
}

// logQuarantine logs what is held back or released, and the evidence for it, and updates
// the metrics.
func (in *Instance) logQuarantine() {
	for _, e := range in.quarantine.TakeEvents() {
		in.metrics.quarantineEvents.WithLabelValues(e.Kind.String()).Inc()
		if e.Kind == quarantine.CrashSeen || e.Kind == quarantine.CrashRefuted {
			c := e.Crash
			in.log.Info("engine "+e.Kind.String(), zap.String("server", c.ID), zap.String("service", c.Service), zap.Int64("born", c.Born), zap.String("build", c.Build),
				zap.Int64("ageMs", c.AgeMs), zap.Strings("begun", c.Begun), zap.Strings("waiting", c.Waiting), zap.Int("instances", len(c.Reporters)))
			continue
		}
		fields := []zap.Field{
			zap.String("service", e.Hold.Service), zap.String("part", e.Hold.Part), zap.Int("crashes", e.Hold.Crashes),
			zap.Strings("servers", e.Hold.Servers), zap.Int("instances", e.Hold.Instances), zap.Int("trials", e.Hold.Trials),
			zap.Int64("ageMs", time.Since(e.Hold.Since).Milliseconds()), zap.Int64("trialInMs", time.Until(e.Hold.TrialDue).Milliseconds()),
		}
		if e.Kind == quarantine.TooCommon {
			fields = append(fields, zap.Float64("share", e.Share))
		}
		in.log.Warn("prompt part "+e.Kind.String(), fields...)
	}
	in.metrics.quarantinedParts.Set(float64(len(in.quarantine.Holds())))
}

// serveRelease releases the part of a service's prompts that the query names, in the whole
// fleet.
func (in *Instance) serveRelease(w http.ResponseWriter, r *http.Request) {
	service, part := r.URL.Query().Get("service"), r.URL.Query().Get("part")
	if !in.quarantine.Release(time.Now(), service, part) {
		http.Error(w, fmt.Sprintf("part %.40q of service %.40q is not held back", part, service), http.StatusNotFound)
		return
	}
	in.log.Info("prompt part released by an operator", zap.String("service", service), zap.String("part", part))
	in.notifyQuarantine()
}
