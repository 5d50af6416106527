package retry

import "time"

const (
	// numBuckets is the number of buckets into which a window is divided.
	numBuckets = 10

	// usableFraction is the fraction of its share of the slack that an instance
	// uses: the process that it has just replaced may have used the same share
	// already. Retries in proportion to its own calls are its own alone.
	usableFraction = 0.5

	// initialSlackFraction is the fraction of the slack that a process has at
	// its start; the rest accrues within a window. Three consecutive processes
	// of an instance in one window have at most the full slack together.
	initialSlackFraction = 1.0 / 3
)

// Share is one instance's share of a retry budget that all instances together
// keep for a service: in any window at most ratio times the number of requests
// plus slack. Create one with NewShare. It is not safe for concurrent use.
type Share struct {
	ratio, slack float64
	bucketWidth  time.Duration
	// start is the time of the first call. Times since then are taken from the
	// monotonic clock.
	start   time.Time
	bucket  int64
	calls   [numBuckets]int
	retries [numBuckets]int
}

// NewShare returns a share of a budget with the given ratio and slack for each
// window.
func NewShare(ratio, slack float64, window time.Duration) *Share {
	return &Share{ratio: ratio, slack: slack, bucketWidth: window / numBuckets}
}

// SetBounds changes the ratio, the slack and the window of the budget. What has been
// recorded in the window so far still counts.
func (s *Share) SetBounds(now time.Time, ratio, slack float64, window time.Duration) {
	s.ratio, s.slack = ratio, slack
	width := window / numBuckets
	if width == s.bucketWidth {
		return
	}
	s.advance(now)
	calls, retries := s.counts()
	s.bucketWidth = width
	s.bucket = int64(now.Sub(s.start) / max(1, width))
	s.calls, s.retries = [numBuckets]int{}, [numBuckets]int{}
	s.calls[s.bucket%numBuckets], s.retries[s.bucket%numBuckets] = calls, retries
}

// counts returns the numbers of first calls and retries in the window.
func (s *Share) counts() (calls, retries int) {
	for i := range numBuckets {
		calls += s.calls[i]
		retries += s.retries[i]
	}
	return calls, retries
}

// RecordCall records a first call.
func (s *Share) RecordCall(now time.Time) {
	s.advance(now)
	s.calls[s.bucket%numBuckets]++
}

// Allow reports whether this instance, one of the given number, may retry a
// call now, and records the retry.
func (s *Share) Allow(now time.Time, instances int) bool {
	s.advance(now)
	calls, retries := s.counts()
	age := min(1, float64(now.Sub(s.start))/float64(numBuckets*s.bucketWidth))
	slack := (initialSlackFraction + (1-initialSlackFraction)*age) * s.slack / float64(max(1, instances))
	allowed := s.ratio*float64(calls) + usableFraction*slack
	if float64(retries+1) > allowed {
		return false
	}
	s.retries[s.bucket%numBuckets]++
	return true
}

// advance moves to the current bucket and clears the buckets that are older
// than the window.
func (s *Share) advance(now time.Time) {
	if s.start.IsZero() {
		s.start = now
	}
	bucket := int64(now.Sub(s.start) / max(1, s.bucketWidth))
	if bucket-s.bucket >= numBuckets {
		s.calls, s.retries = [numBuckets]int{}, [numBuckets]int{}
		s.bucket = bucket
		return
	}
	for s.bucket < bucket {
		s.bucket++
		s.calls[s.bucket%numBuckets], s.retries[s.bucket%numBuckets] = 0, 0
	}
}
