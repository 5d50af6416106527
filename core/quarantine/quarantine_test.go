package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/fleet"
)

// Guards against a part that crashes engine after engine because each of many instances
// sees none or one of the crashes, and against sound parts held back in its place.
func TestPartIsHeldBackWhicheverInstancesSeeTheCrashes(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 4, 30, 300} {
		for seed := range uint64(max(2, 6-instances/50)) {
			s := newSimulation(seed, instances, 12, "bad")
			s.run(3*time.Second, map[string]float64{"sound": 20}, map[string]func(){"sound": func() { s.arrive(s.sound(30)...) }})
			rates := map[string]float64{"sound": 20, "bad": 7}
			arrivals := map[string]func(){
				"sound": func() { s.arrive(s.sound(30)...) },
				"bad":   func() { s.arrive(s.with(s.sound(30), "bad")...) },
			}
			s.run(8*time.Second, rates, arrivals)
			s.checkBound(t)
			if held := s.heldParts(); !slices.Equal(held, []string{"bad"}) {
				t.Errorf("%d instances, seed %d: %q held back, want the part that crashes engines alone", instances, seed, held)
			}
			s.served, s.failed, s.refusedSound = 0, 0, 0
			s.run(4*time.Second, rates, arrivals)
			if total := s.served + s.failed + s.refusedSound; float64(s.served) < 0.99*float64(total) {
				t.Errorf("%d instances, seed %d: %d of %d sound requests served while the part is held back", instances, seed, s.served, total)
			}
		}
	}
}

// Guards against the wrong part that is held back soon after the start of all instances,
// when no answer has gone on yet.
func TestPartIsHeldBackAfterTheStart(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{6, 300} {
		for seed := range uint64(max(2, 6-instances/50)) {
			s := newSimulation(seed, instances, 12, "bad")
			s.run(8*time.Second, map[string]float64{"sound": 20, "bad": 7}, map[string]func(){
				"sound": func() { s.arrive(s.sound(30)...) },
				"bad":   func() { s.arrive(s.with(s.sound(30), "bad")...) },
			})
			s.checkBound(t)
			if held := s.heldParts(); !slices.Equal(held, []string{"bad"}) {
				t.Errorf("%d instances, seed %d: %q held back", instances, seed, held)
			}
		}
	}
}

// Guards against a second part that crashes engines at the same time and hides behind the
// first, also in prompts that hold both.
func TestTwoPartsAreHeldBack(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSimulation(seed, 6, 24, "bad1", "bad2")
		s.run(20*time.Second, map[string]float64{"sound": 30, "bad1": 4, "bad2": 4, "both": 2}, map[string]func(){
			"sound": func() { s.arrive(s.sound(30)...) },
			"bad1":  func() { s.arrive(s.with(s.sound(30), "bad1")...) },
			"bad2":  func() { s.arrive(s.with(s.sound(30), "bad2")...) },
			"both":  func() { s.arrive(s.with(s.sound(30), "bad1", "bad2")...) },
		})
		s.checkBound(t)
		if held := s.heldParts(); !slices.Equal(held, []string{"bad1", "bad2"}) {
			t.Errorf("seed %d: %q held back, want both parts that crash engines", seed, held)
		}
	}
}

// Guards against parts that are held back because they are in most prompts, where engines
// crash one after the other by themselves.
func TestEnginesThatCrashByThemselvesAccuseNoPart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSimulation(seed, 6, 12)
		s.run(30*time.Second, map[string]float64{"sound": 30, "crash": 2}, map[string]func(){
			"sound": func() { s.arrive(s.sound(60)...) },
			"crash": func() {
				if e := s.engines[s.rng.IntN(len(s.engines))]; !s.now.Before(e.downUntil) {
					s.crash(e, nil)
				}
			},
		})
		if held := s.heldParts(); len(held) > 0 {
			t.Errorf("seed %d: %q held back", seed, held)
		}
		if s.refusedSound*50 > s.served {
			t.Errorf("seed %d: %d requests refused or not repeated, %d served", seed, s.refusedSound, s.served)
		}
	}
}

// Guards against parts that are held back, and answers that are not repeated, because many
// engines are lost at once.
func TestEnginesLostTogetherAccuseNoPart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSimulation(seed, 6, 24)
		rates := map[string]float64{"sound": 60}
		arrivals := map[string]func(){"sound": func() { s.arrive(s.sound(20)...) }}
		s.run(5*time.Second, rates, arrivals)
		for range 3 {
			for _, e := range s.engines[:18] {
				s.crash(e, nil)
				s.run(simStep, rates, arrivals)
			}
			s.run(4*time.Second, rates, arrivals)
		}
		if held := s.heldParts(); len(held) > 0 {
			t.Errorf("seed %d: %q held back", seed, held)
		}
		if s.refusedSound*100 > s.served {
			t.Errorf("seed %d: %d requests refused or not repeated, %d served", seed, s.refusedSound, s.served)
		}
	}
}

// Guards against parts that are held back because links break and not engines.
func TestConnectionsThatBreakAccuseNoPart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		s := newSimulation(seed, 6, 12)
		s.run(20*time.Second, map[string]float64{"sound": 60, "reset": 1}, map[string]func(){
			"sound": func() { s.arrive(s.sound(200)...) },
			"reset": func() {
				for _, e := range s.engines {
					if !s.now.Before(e.downUntil) {
						s.breakAnswers(e)
					}
				}
			},
		})
		if held := s.heldParts(); len(held) > 0 {
			t.Errorf("seed %d: %q held back", seed, held)
		}
	}
}

// Guards against instances that start late, or were cut off from the others, and let a
// part through that all others hold back.
func TestLateInstanceLearnsWhatIsHeldBack(t *testing.T) {
	s := newSimulation(1, 8, 12, "bad")
	s.cutOff[7] = true
	s.run(5*time.Second, map[string]float64{"sound": 20, "bad": 7}, map[string]func(){
		"sound": func() { s.arrive(s.sound(30)...) }, "bad": func() { s.arrive(s.with(s.sound(30), "bad")...) },
	})
	s.cutOff[7] = false
	s.trackers[6] = New("instance-6b")
	s.run(3*time.Second, nil, nil)
	for i, tr := range s.trackers {
		if v := tr.Check(s.now, simService, []string{"base", "bad"}, ""); v.Standing != HeldBack || v.Part != "bad" {
			t.Errorf("instance %d: %+v, want the part held back", i, v)
		}
		if v := tr.Check(s.now, simService, []string{"base", "org1", "subject1"}, ""); v.Standing != Unsuspected {
			t.Errorf("instance %d: %+v for sound parts", i, v)
		}
	}
}

// crashOn reports a crash of a new engine that had begun to answer the given parts.
func crashOn(tr *Tracker, now time.Time, engine string, parts ...string) {
	tr.Broke(now, Attempt{Server: server(engine), Parts: parts, SentAt: now.Add(-100 * time.Millisecond), Begun: true})
}

func server(id string) fleet.Server {
	return fleet.Server{ID: id, Born: 1, Service: simService, Build: "v1"}
}

// holdPart returns a tracker that holds a part back, and the time.
func holdPart(t *testing.T, part string) (*Tracker, time.Time) {
	t.Helper()
	tr, now := New("a"), time.Unix(1000, 0)
	for i := range holdCrashes {
		now = now.Add(time.Second)
		crashOn(tr, now, fmt.Sprint("e-", i), part)
	}
	now = now.Add(time.Second)
	if v := tr.Check(now, simService, []string{part}, ""); v.Standing != HeldBack {
		t.Fatalf("%+v, want the part held back", v)
	}
	return tr, now
}

// Guards against trials by every instance, and against trials that go on as often after
// they have failed.
func TestOneTrialInAFleet(t *testing.T) {
	tr, now := holdPart(t, "bad")
	other := New("b")
	share := func() {
		for _, pair := range [][2]*Tracker{{tr, other}, {other, tr}} {
			if err := pair[1].Merge(now, pair[0].Whole(now)); err != nil {
				t.Fatal(err)
			}
		}
	}
	share()
	due := firstTrial
	for range 3 {
		now = now.Add(due)
		if v := other.Check(now, simService, []string{"bad"}, ""); v.Standing != TrialDue {
			t.Fatalf("%+v, want a trial to be due", v)
		}
		if !tr.ClaimTrial(now, simService, "bad") || tr.ClaimTrial(now, simService, "bad") {
			t.Error("want one trial and no second one")
		}
		share()
		if v := other.Check(now, simService, []string{"bad"}, ""); v.Standing != HeldBack || v.RetryAfter < 2*due-2*time.Second {
			t.Errorf("%+v, want the part held back for twice the time", v)
		}
		due *= 2
		crashOn(tr, now.Add(time.Second), "e-trial-"+due.String(), "bad")
	}
}

func TestTrialThatGoesOnReleasesThePart(t *testing.T) {
	tr, now := holdPart(t, "bad")
	now = now.Add(firstTrial)
	tr.ClaimTrial(now, simService, "bad")
	tr.WentOn(now.Add(time.Second), Attempt{Server: fleet.Server{ID: "new", Service: simService, Build: "v2"}, Parts: []string{"bad"}, SentAt: now, Begun: true})
	if v := tr.Check(now.Add(time.Second), simService, []string{"bad"}, ""); v.Standing != Unsuspected {
		t.Errorf("%+v after a trial that went on", v)
	}
}

// Guards against an answer of engines of another version that releases a part on which the
// present ones crash.
func TestAnswerOfAnotherVersionReleasesNothing(t *testing.T) {
	tr, now := holdPart(t, "bad")
	sentAt := now.Add(-5 * time.Second)
	tr.WentOn(now, Attempt{Server: fleet.Server{ID: "new", Service: simService, Build: "v2"}, Parts: []string{"bad"}, SentAt: sentAt, Begun: true})
	if v := tr.Check(now, simService, []string{"bad"}, ""); v.Standing != HeldBack {
		t.Errorf("%+v after an answer of another version", v)
	}
	tr.WentOn(now, Attempt{Server: server("old"), Parts: []string{"bad"}, SentAt: sentAt, Begun: true})
	if v := tr.Check(now, simService, []string{"bad"}, ""); v.Standing != Unsuspected {
		t.Errorf("%+v after an answer of the version that had crashed", v)
	}
}

func TestReleaseByHandReachesOthers(t *testing.T) {
	tr, now := holdPart(t, "bad")
	other := New("b")
	if err := other.Merge(now, tr.Whole(now)); err != nil {
		t.Fatal(err)
	}
	if !tr.Release(now, simService, "bad") || tr.Release(now, simService, "bad") {
		t.Error("want one release")
	}
	change, _ := tr.TakeChanges(now)
	if err := other.Merge(now, change); err != nil {
		t.Fatal(err)
	}
	for name, tracker := range map[string]*Tracker{"a": tr, "b": other} {
		if v := tracker.Check(now, simService, []string{"bad"}, ""); v.Standing != Unsuspected {
			t.Errorf("instance %s: %+v after the release", name, v)
		}
	}
}

// Guards against most of a service's traffic being held back.
func TestPartOfMostRequestsIsNotHeldBack(t *testing.T) {
	tr, now := New("a"), time.Unix(1000, 0)
	for i := range 100 {
		parts := []string{"common", fmt.Sprint("subject", i%9)}
		if i%10 == 0 {
			parts = parts[1:]
		}
		tr.Arrived(simService, parts)
	}
	for i := range 2 * holdCrashes {
		now = now.Add(time.Second)
		crashOn(tr, now, fmt.Sprint("e-", i), "common")
	}
	if v := tr.Check(now.Add(time.Second), simService, []string{"common"}, ""); v.Standing != Suspected {
		t.Errorf("%+v, want a part of nine in ten requests to be suspected only", v)
	}
	events := slices.DeleteFunc(tr.TakeEvents(), func(e Event) bool { return e.Kind == CrashSeen })
	if len(events) != 1 || events[0].Kind != TooCommon {
		t.Errorf("events %+v, want one that says so", events)
	}
}

// Guards against repeats that cost an engine each before the part is known.
func TestSuspectedAfterTwoCrashes(t *testing.T) {
	tr, now := New("a"), time.Unix(1000, 0)
	for i, want := range []Standing{Unsuspected, Suspected, Suspected, Suspected} {
		now = now.Add(time.Second)
		crashOn(tr, now, fmt.Sprint("e-", i), "bad", "other")
		if v := tr.Check(now, simService, []string{"bad"}, ""); v.Standing != want {
			t.Errorf("%+v after %d crashes, want standing %d", v, i+1, want)
		}
		tr.WentOn(now, Attempt{Server: server("sound"), Parts: []string{"other"}, SentAt: now, Begun: true})
	}
	if v := tr.Check(now, simService, []string{"other"}, ""); v.Standing != Unsuspected {
		t.Errorf("%+v for a part that went on", v)
	}
}

// Guards against memory and messages that grow with the parts that callers invent.
func TestEvidenceIsBounded(t *testing.T) {
	tr, now := New("a"), time.Unix(1000, 0)
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		parts := make([]string, 100)
		for j := range parts {
			parts[j] = fmt.Sprintf("part-%d-%d", i, j)
		}
		tr.Arrived(simService, parts)
		tr.WentOn(now, Attempt{Server: server("sound"), Parts: parts, SentAt: now, Begun: true})
		if i%10 == 0 {
			for j := range parts {
				parts[j] += "b"
			}
			crashOn(tr, now, fmt.Sprint("e-", i), parts...)
		}
	}
	if len(tr.crashes) > maxCrashes || len(tr.parts) > maxCrashes*maxCrashParts+maxHolds || len(tr.progress)+len(tr.oldProgress) > 2*progressRetention+maxRequestParts {
		t.Errorf("%d crashes, %d parts, %d and %d parts with progress", len(tr.crashes), len(tr.parts), len(tr.progress), len(tr.oldProgress))
	}
	whole := tr.Whole(now)
	if err := New("b").Merge(now, whole); err != nil {
		t.Errorf("the largest evidence is refused: %v", err)
	}
}

// Guards against a caller that drives a part that is held back out of memory with others.
func TestHoldsAreBounded(t *testing.T) {
	tr, now := New("a"), time.Unix(1000, 0)
	for i := range 2 * maxHolds {
		for j := range holdCrashes {
			now = now.Add(time.Second)
			crashOn(tr, now, fmt.Sprintf("e-%d-%d", i, j), fmt.Sprint("bad", i))
		}
		now = now.Add(time.Second)
		tr.Tick(now)
	}
	if n := len(tr.Holds()); n > maxHolds {
		t.Errorf("%d parts held back, want at most %d", n, maxHolds)
	}
}

func TestMalformedEvidenceIsRefused(t *testing.T) {
	long := strings.Repeat("x", maxIDBytes+1)
	for name, s := range map[string]State{
		"no server":              {Crashes: []CrashState{{Service: simService}}},
		"a negative age":         {Crashes: []CrashState{{ID: "e", Service: simService, AgeMs: -1}}},
		"a long part":            {Crashes: []CrashState{{ID: "e", Service: simService, Begun: []string{long}}}},
		"too many parts":         {Crashes: []CrashState{{ID: "e", Service: simService, Begun: make([]string, maxCrashParts+1)}}},
		"too many crashes":       {Crashes: make([]CrashState, maxStateCrashes+1)},
		"a hold without crashes": {Parts: []PartState{{Service: simService, Part: "p", Epoch: 1, Hold: &HoldState{}}}},
		"a hold for ever":        {Parts: []PartState{{Service: simService, Part: "p", Epoch: 1, Hold: &HoldState{Crashes: 4, TrialInMs: 1e12}}}},
		"an epoch without hold":  {Parts: []PartState{{Service: simService, Part: "p", Epoch: 1}}},
	} {
		tr := New("a")
		if err := tr.Merge(time.Unix(1000, 0), s); err == nil || len(tr.crashes)+len(tr.parts) > 0 {
			t.Errorf("%s: error %v, %d crashes and %d parts taken over", name, err, len(tr.crashes), len(tr.parts))
		}
	}
}

// Guards against a hold that another instance claims although answers to the part have gone
// on here since.
func TestHoldIsRefusedWhereAnswersWentOn(t *testing.T) {
	tr, now := holdPart(t, "good")
	other := New("b")
	other.WentOn(now.Add(time.Second), Attempt{Server: server("sound"), Parts: []string{"good"}, SentAt: now, Begun: true})
	now = now.Add(2 * time.Second)
	if err := other.Merge(now, tr.Whole(now)); err != nil {
		t.Fatal(err)
	}
	if err := tr.Merge(now, other.Whole(now)); err != nil {
		t.Fatal(err)
	}
	if held := append(tr.Holds(), other.Holds()...); len(held) > 0 {
		t.Errorf("held back: %+v", held)
	}
}

// Guards against instances that disagree after they have exchanged all they know, in
// whatever order and however often messages come.
func TestTrackersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		trackers := []*Tracker{New("a"), New("b"), New("c")}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(rt, "ms")) * time.Millisecond)
			tr := trackers[rapid.IntRange(0, 2).Draw(rt, "tracker")]
			part := fmt.Sprint("p", rapid.IntRange(0, 3).Draw(rt, "part"))
			engine := fmt.Sprint("e", rapid.IntRange(0, 9).Draw(rt, "engine"))
			switch rapid.IntRange(0, 4).Draw(rt, "op") {
			case 0, 1:
				crashOn(tr, now, engine, part, "base")
			case 2:
				tr.WentOn(now, Attempt{Server: server(engine), Parts: []string{part}, SentAt: now, Begun: true})
			case 3:
				tr.Release(now, simService, part)
			case 4:
				from := trackers[rapid.IntRange(0, 2).Draw(rt, "from")]
				if err := tr.Merge(now, from.Whole(now)); err != nil {
					rt.Fatal(err)
				}
			}
		}
		for range 6 {
			now = now.Add(time.Second)
			for _, a := range trackers {
				a.Tick(now)
				for _, b := range trackers {
					if err := b.Merge(now, a.Whole(now)); err != nil {
						rt.Fatal(err)
					}
				}
			}
		}
		if a, b, c := trackers[0].Digest(), trackers[1].Digest(), trackers[2].Digest(); a != b || b != c {
			rt.Errorf("digests %x, %x and %x after all has been exchanged", a, b, c)
		}
	})
}

// Guards against messages that grow with the number of instances.
func TestMessagesPerInstanceDoNotGrow(t *testing.T) {
	t.Parallel()
	var perInstance []float64
	for _, instances := range []int{30, 100, 300} {
		s := newSimulation(1, instances, 12, "bad")
		s.run(6*time.Second, map[string]float64{"sound": 20, "bad": 7}, map[string]func(){
			"sound": func() { s.arrive(s.sound(30)...) }, "bad": func() { s.arrive(s.with(s.sound(30), "bad")...) },
		})
		s.checkBound(t)
		n := float64(s.bytes) / float64(instances)
		perInstance = append(perInstance, n)
		t.Logf("%d instances: %.1f messages and %.0f bytes each, %d crashes", instances, float64(s.messages)/float64(instances), n, len(s.crashes["bad"]))
	}
	if perInstance[2] > 2*perInstance[0] {
		t.Errorf("bytes for each instance: %.0f at 30 instances and %.0f at 300", perInstance[0], perInstance[2])
	}
}

// Guards against a part whose answers have gone on before that is held back in place of one
// to which no answer ever went on.
func TestPartWithoutAnyAnswerIsTheLikelierCause(t *testing.T) {
	tr, now := New("a"), time.Unix(1000, 0)
	tr.WentOn(now, Attempt{Server: server("sound"), Parts: []string{"base"}, SentAt: now, Begun: true})
	for i := range holdCrashes {
		now = now.Add(time.Second)
		crashOn(tr, now, fmt.Sprint("e-", i), "base", "unknown")
	}
	tr.Tick(now.Add(time.Second))
	if holds := tr.Holds(); len(holds) != 1 || holds[0].Part != "unknown" {
		t.Errorf("held back: %+v, want the part to which no answer went on", holds)
	}
}

// Guards against answers of engines of another version that clear a part on which those of
// one version crash.
func TestAnswersOfAnotherVersionClearNothing(t *testing.T) {
	tr, now := New("a"), time.Unix(1000, 0)
	for i := range holdCrashes {
		now = now.Add(time.Second)
		crashOn(tr, now, fmt.Sprint("e-", i), "bad")
		tr.WentOn(now, Attempt{Server: fleet.Server{ID: "new", Service: simService, Build: "v2"}, Parts: []string{"bad"}, SentAt: now, Begun: true})
	}
	if v := tr.Check(now.Add(2*time.Second), simService, []string{"bad"}, ""); v.Standing != HeldBack {
		t.Errorf("%+v, want the part held back", v)
	}
}

// Guards against part after part that is held back, until nothing is served, where engines
// crash on any request.
func TestEnginesThatCrashOnAnythingAreStillTried(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		s := newSimulation(seed, 4, 24)
		all := 0
		rates, arrivals := map[string]float64{"any": 30}, map[string]func(){"any": func() {
			all++
			s.arrive(s.sound(30)...)
		}}
		s.run(5*time.Second, rates, arrivals)
		s.crashOnAnything, all, s.neverSent = true, 0, 0
		s.run(30*time.Second, rates, arrivals)
		if s.neverSent > all*6/10 {
			t.Errorf("seed %d: %d of %d requests never sent, want about half at most", seed, s.neverSent, all)
		}
	}
}
