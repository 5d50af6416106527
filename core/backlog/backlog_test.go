package backlog_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/backlog"
)

const minTime = 200 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func job(due time.Duration, worth float64) *backlog.Job {
	return &backlog.Job{Due: start.Add(due), Deadline: start.Add(due + 5*time.Second), Worth: worth, Units: 1, UnitTime: 100 * time.Millisecond}
}

// drain removes all jobs in the order in which they are to be processed.
func drain(b *backlog.Backlog) []*backlog.Job {
	var out []*backlog.Job
	for j := b.First(0); j != nil; j = b.First(0) {
		out = append(out, j)
		b.Remove(j)
	}
	return out
}

func TestJobsWithLeastWorthAreLate(t *testing.T) {
	b := backlog.New(backlog.Pace{Parallelism: 1, MinTime: minTime})
	cheap, dear, later := job(time.Second, 0.1), job(time.Second, 3), job(3*time.Second, 1)
	cheap.Units, dear.Units = 6, 8
	for _, j := range []*backlog.Job{cheap, later, dear} {
		b.Add(start, j)
	}
	if got := drain(b); !slices.Equal(got, []*backlog.Job{dear, later, cheap}) {
		t.Errorf("order of worth: %v %v %v, want 3 1 0.1", got[0].Worth, got[1].Worth, got[2].Worth)
	}
}

// Jobs that were planned to be late while servers were missing are on time again
// when they are back.
func TestShedJobsAreOnTimeWhenCapacityReturns(t *testing.T) {
	b := backlog.New(backlog.Pace{Parallelism: 1, MinTime: minTime})
	first, second := job(time.Second, 1), job(1100*time.Millisecond, 2)
	first.Units, second.Units = 8, 8
	b.Add(start, first)
	b.Add(start, second)
	if got := b.First(0); got != second {
		t.Fatalf("first is the job with worth %v, want 2", got.Worth)
	}
	b.SetPace(backlog.Pace{Parallelism: 2, MinTime: minTime})
	if expired := b.Advance(start); len(expired) != 0 {
		t.Fatalf("%d jobs expired", len(expired))
	}
	if got := b.First(0); got != first {
		t.Errorf("first is the job with worth %v, want 1", got.Worth)
	}
}

func TestBlockedLanesAreSkipped(t *testing.T) {
	b := backlog.New(backlog.Pace{Parallelism: 1, MinTime: minTime})
	near, far := job(time.Second, 1), job(2*time.Second, 1)
	near.Lane, far.Lane = 3, backlog.MaxLanes-1
	b.Add(start, near)
	b.Add(start, far)
	var blocked backlog.Lanes
	blocked.Add(near.Lane)
	if got := b.First(blocked); got != far {
		t.Errorf("First() = %v, want the job of the other lane", got)
	}
	blocked.Add(far.Lane)
	if got := b.First(blocked); got != nil {
		t.Errorf("First() = %v with all lanes blocked", got)
	}
}

// model is a list of jobs that computes what a Backlog does by scanning it.
type model struct {
	jobs        []*backlog.Job
	parallelism float64
}

// checkOrder checks that an order starts with jobs by due time that can all be on
// time, and ends with jobs by deadline.
func (m *model) checkOrder(t *rapid.T, now time.Time, order []*backlog.Job) {
	if len(order) != len(m.jobs) {
		t.Fatalf("%d jobs wait, want %d", len(order), len(m.jobs))
	}
	n := 0
	elapsed := 0.0
	for n < len(order) {
		j := order[n]
		elapsed += float64(j.Units) * j.UnitTime.Seconds() / m.parallelism
		if n > 0 && j.Due.Before(order[n-1].Due) || now.Add(time.Duration(elapsed*float64(time.Second))).After(j.Due.Add(time.Microsecond)) {
			break
		}
		n++
	}
	// What follows the on-time jobs has to be ordered by deadline. The last
	// on-time jobs may be late ones that happen to continue the order.
	for k := n; k >= 0; k-- {
		if slices.IsSortedFunc(order[k:], func(a, b *backlog.Job) int { return a.Deadline.Compare(b.Deadline) }) {
			return
		}
	}
	t.Fatalf("after %d on-time jobs the rest is not ordered by deadline", n)
}

func (m *model) remove(j *backlog.Job) {
	m.jobs = slices.DeleteFunc(m.jobs, func(other *backlog.Job) bool { return other == j })
}

// The order starts with jobs that are all on time, is complete, and no job is
// lost or kept past its deadline, whatever is added, taken or removed.
func TestPlanIsFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, m := backlog.New(backlog.Pace{Parallelism: 1, MinTime: minTime}), &model{parallelism: 1}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
			case op <= 1:
				due := now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "due")) * time.Millisecond)
				j := &backlog.Job{
					Due: due, Deadline: due.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "more")) * time.Millisecond),
					Worth: rapid.Float64Range(0.1, 4).Draw(t, "worth"), Units: rapid.IntRange(1, 20).Draw(t, "units"),
					UnitTime: 20 * time.Millisecond, Lane: rapid.IntRange(0, 3).Draw(t, "lane"),
				}
				b.Add(now, j)
				m.jobs = append(m.jobs, j)
			case op == 2 && len(m.jobs) > 0:
				j := m.jobs[rapid.IntRange(0, len(m.jobs)-1).Draw(t, "drop")]
				b.Remove(j)
				m.remove(j)
			case op == 3 && len(m.jobs) > 0:
				j := b.First(0)
				left := rapid.IntRange(0, j.Units).Draw(t, "left")
				b.SetUnits(j, left)
				if left == 0 {
					m.remove(j)
				}
			default:
				n := float64(rapid.IntRange(1, 10).Draw(t, "parallelism"))
				if math.Abs(n-m.parallelism) > 0.1*m.parallelism {
					m.parallelism = n
				}
				b.SetPace(backlog.Pace{Parallelism: n, MinTime: minTime})
			}
			for _, j := range b.Advance(now) {
				if !now.Add(minTime).After(j.Deadline) {
					t.Fatalf("a job expired %v before its deadline", j.Deadline.Sub(now))
				}
				m.remove(j)
			}
			if b.Len() != len(m.jobs) {
				t.Fatalf("%d jobs wait, want %d", b.Len(), len(m.jobs))
			}
		}
		lane := rapid.IntRange(0, 3).Draw(t, "blocked")
		var blocked backlog.Lanes
		blocked.Add(lane)
		firstOfOthers := b.First(blocked)
		order := drain(b)
		i := slices.IndexFunc(order, func(j *backlog.Job) bool { return j.Lane != lane })
		if i < 0 && firstOfOthers != nil || i >= 0 && order[i] != firstOfOthers {
			t.Fatalf("First() of the lanes other than %d is not the first of them in the order", lane)
		}
		m.checkOrder(t, now, order)
	})
}

func TestWaitCountsJobsThatGoBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := backlog.New(backlog.Pace{Parallelism: 1, MinTime: minTime})
		// All jobs are on time, so those that are due before go before.
		var jobs []*backlog.Job
		for range rapid.IntRange(0, 50).Draw(t, "jobs") {
			j := job(time.Duration(rapid.IntRange(60_000, 100_000).Draw(t, "due"))*time.Millisecond, 1)
			b.Add(start, j)
			jobs = append(jobs, j)
		}
		slices.SortFunc(jobs, func(x, y *backlog.Job) int { return cmp.Compare(x.Due.UnixNano(), y.Due.UnixNano()) })
		due := start.Add(time.Duration(rapid.IntRange(60_000, 100_000).Draw(t, "own")) * time.Millisecond)
		want := time.Duration(0)
		for _, j := range jobs {
			if j.Due.Before(due) {
				want += j.UnitTime
			}
		}
		if got := b.Wait(start, due, due); (got - want).Abs() > time.Microsecond {
			t.Fatalf("Wait() = %v, want %v", got, want)
		}
	})
}

// BenchmarkTake measures taking the first job and adding another one.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("jobs=", n), func(b *testing.B) {
			l := backlog.New(backlog.Pace{Parallelism: 1, MinTime: minTime})
			l.SetPace(backlog.Pace{Parallelism: 40, MinTime: minTime})
			now := start
			add := func(i int) {
				l.Add(now, &backlog.Job{
					Due: now.Add(time.Second + time.Duration(i*7919%1000)*time.Millisecond), Deadline: now.Add(time.Hour),
					Worth: 1 + float64(i%13), Units: 3, UnitTime: 20 * time.Millisecond, Lane: i % 5,
				})
			}
			for i := range n {
				add(i)
			}
			i := 0
			for b.Loop() {
				l.Advance(now)
				l.Remove(l.First(0))
				add(i)
				i++
				now = now.Add(2 * time.Millisecond)
			}
		})
	}
}
