package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

// makeCold makes servers of a site cold from now on.
func (p *plainSite) makeCold(revision int64, ids ...string) {
	var out []fleet.Server
	for _, s := range p.view.Snapshot().All() {
		if slices.Contains(ids, s.ID) {
			s.Cold, s.Sequence = time.Hour, revision
		}
		s.Revision, s.ColdUntil = revision, time.Time{}
		out = append(out, s)
	}
	p.view.Replace(time.Now(), out, revision)
}

// Guards against a request to a cold server without a permission or with one for an earlier
// attempt, one that is refused although another server is free, and one that is held
// although there is none.
func TestPlainRequestThatIsNotAdmittedGoesElsewhere(t *testing.T) {
	for name, tt := range map[string]struct {
		cold    []string
		granted int
		// servedBy is the server that serves a request, or "" if it is refused.
		servedBy string
	}{
		"beside a warm one":        {[]string{"up-1", "up-2"}, 0, "up-3"},
		"only cold ones":           {[]string{"up-1", "up-2", "up-3"}, 0, ""},
		"a permission":             {[]string{"up-1", "up-2", "up-3"}, 1, "any"},
		"cold ones out of reach":   {[]string{"down-1", "down-2", "up-1", "up-2"}, 2, "any"},
		"no permission for others": {[]string{"down-1", "down-2", "up-1", "up-2", "up-3"}, 1, "any or none"},
	} {
		synctest.Test(t, func(t *testing.T) {
			ids := []string{"up-1", "up-2", "up-3"}
			if slices.Contains(tt.cold, "down-1") {
				ids = append(ids, "down-1", "down-2")
			}
			p := newPlainSite(t, route.NonIdempotent, 1, 10*time.Millisecond, ids...)
			p.makeCold(2, tt.cold...)
			granted, asked := 0, make(map[string]int)
			p.relay.deps.ColdLimited = func(string) bool { return true }
			p.relay.deps.Admit = func(_ context.Context, service string, s fleet.Server, id string) Permission {
				asked[s.ID]++
				if service != "desk" || id != "r" || !slices.Contains(tt.cold, s.ID) {
					t.Errorf("%s: asked for request %s at %s of service %s", name, id, s.ID, service)
				}
				if granted < tt.granted {
					granted++
					return Permission{Granted: true, SendBefore: time.Now().Add(time.Second)}
				}
				return Permission{RetryAfter: 700 * time.Millisecond}
			}
			start := time.Now()
			err := p.serve(t, "r")
			refusal, refused := errors.AsType[*Refusal](err)
			switch {
			case tt.servedBy == "" && (!refused || refusal.Fault.Ran() != fault.RanNo || refusal.RetryAfter < 700*time.Millisecond || time.Since(start) > 10*time.Millisecond):
				t.Errorf("%s: %v after %v, want an immediate refusal with a time", name, err, time.Since(start))
			case tt.servedBy != "" && tt.servedBy != "any or none" && err != nil:
				t.Errorf("%s: %v, want an answer", name, err)
			}
			sentToCold := 0
			for _, id := range p.sends["r"] {
				if slices.Contains(tt.cold, id) {
					sentToCold++
				}
			}
			if sentToCold != granted || tt.servedBy == "up-3" && p.count("r", "up-3") != 1 {
				t.Errorf("%s: sent to %v with %d permissions", name, p.sends["r"], granted)
			}
			if len(asked) == 0 && tt.servedBy != "up-3" {
				t.Errorf("%s: not asked", name)
			}
		})
	}
}

// Guards against streams at cold engines without a permission: at first, when they are
// resumed after a break, and when an engine is silent.
func TestEachAttemptAtAColdEngineNeedsAPermission(t *testing.T) {
	broken := []part{event(1, 0), event(2, 10*time.Millisecond), {pause: 10 * time.Millisecond, err: errors.New("reset")}}
	rest := []part{event(3, 0), event(4, 10*time.Millisecond)}
	never := func(string) Permission { return Permission{RetryAfter: 400 * time.Millisecond} }
	for name, tt := range map[string]struct {
		st     *streamTest
		sentTo []string
	}{
		"first attempt":          {&streamTest{engines: 3, cold: []string{"e-0", "e-1"}, admit: never, parts: [][]part{append(slices.Clone(broken[:2]), rest...)}}, []string{"e-2"}},
		"resumed stream":         {&streamTest{engines: 4, cold: []string{"e-1", "e-2"}, admit: never, parts: [][]part{broken, rest}}, []string{"e-0", "e-3"}},
		"silent engine":          {&streamTest{engines: 3, cold: []string{"e-1"}, admit: never, parts: [][]part{{event(1, 0), event(2, 10*time.Millisecond), event(3, 20*time.Second)}, rest}}, []string{"e-0", "e-2"}},
		"only a cold one beside": {&streamTest{engines: 2, cold: []string{"e-1"}, admit: never, parts: [][]part{{event(1, 0), event(2, 0), event(3, longSilence), event(4, 0)}}}, []string{"e-0"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			tt.st.serve(t, t.Context())
			tt.st.check(t, 4, len(tt.sentTo))
			if !slices.Equal(tt.st.sentTo, tt.sentTo) {
				t.Errorf("%s: sent to %v, want %v", name, tt.st.sentTo, tt.sentTo)
			}
		})
	}
}

// Guards against a stream that ends because all other engines are cold for a moment, and
// against a search among them without a pause.
func TestStreamWaitsForAColdEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, asked := time.Now(), 0
		st := &streamTest{engines: 3, cold: []string{"e-1", "e-2"}, parts: [][]part{{event(1, 0), {pause: time.Millisecond, err: errors.New("reset")}}, {event(2, 0)}}}
		st.admit = func(string) Permission {
			asked++
			return Permission{Granted: time.Since(start) > 800*time.Millisecond, RetryAfter: 800*time.Millisecond - time.Since(start)}
		}
		st.serve(t, t.Context())
		st.check(t, 2, 2)
		if asked > 200 {
			t.Errorf("%d questions", asked)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		st := &streamTest{engines: 2, cold: []string{"e-0", "e-1"}, parts: [][]part{{event(1, 0)}}}
		st.admit = func(string) Permission { return Permission{RetryAfter: 900 * time.Millisecond} }
		st.serve(t, t.Context())
		refusal, ok := errors.AsType[*Refusal](st.err)
		if !ok || refusal.RetryAfter < 900*time.Millisecond || st.attempts > 0 || st.took > 10*time.Millisecond {
			t.Errorf("error %v after %v and %d attempts, want an immediate refusal with a time", st.err, st.took, st.attempts)
		}
	})
}

// Guards against permissions that are asked for, and servers that are avoided, where cold
// servers are not limited.
func TestColdServersThatAreNotLimitedGetRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlainSite(t, route.NonIdempotent, 1, 10*time.Millisecond, "up-1")
		p.makeCold(2, "up-1")
		p.relay.deps.ColdLimited = func(string) bool { return false }
		for i := range 50 {
			if err := p.serve(t, fmt.Sprint("r-", i)); err != nil {
				t.Fatal(err)
			}
		}
	})
}
