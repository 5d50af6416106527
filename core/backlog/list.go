package backlog

import (
	"math"
	"time"

	"chervilpath/core/balance"
)

// prioritySeed seeds the priorities of nodes.
const prioritySeed = 0x9e3779b97f4a7c15

type (
	// list is a set of jobs ordered by a time, and at equal times by their
	// insertion. It is a treap whose nodes hold aggregates of their subtrees.
	list struct {
		root *Job
		// epoch is the time from which the times of jobs are counted in seconds.
		epoch time.Time
		// parallelism is the number of units that are processed at a time.
		parallelism float64
		sequence    uint64
	}

	// node is a job's node in the treap of a list.
	node struct {
		at          time.Time
		sequence    uint64
		priority    uint64
		left, right *Job
		jobAggregates
	}

	// jobAggregates holds the aggregates of a subtree.
	jobAggregates struct {
		count int
		lanes Lanes
		// work is the processing time of all jobs in seconds.
		work float64
		// delay is the largest difference, in seconds, between the time that the
		// jobs up to one of them take and that job's time since the list's epoch.
		delay float64
		// leastDense is the job with the least worth for its processing time.
		leastDense *Job
	}
)

func (l *list) len() int {
	if l.root == nil {
		return 0
	}
	return l.root.node.count
}

// total returns the processing time of all jobs in seconds.
func (l *list) total() float64 {
	if l.root == nil {
		return 0
	}
	return l.root.node.work
}

// insert adds a job at a time, after all others with the same time.
func (l *list) insert(j *Job, at time.Time) {
	if l.epoch.IsZero() {
		l.epoch = at
	}
	l.sequence++
	j.node = node{at: at, sequence: l.sequence, priority: balance.Mix(l.sequence, prioritySeed)}
	l.attach(j)
}

// attach adds a job at the position that its node holds.
func (l *list) attach(j *Job) {
	j.place = l
	before, after := l.split(l.root, &j.node)
	l.update(j)
	l.root = l.merge(l.merge(before, j), after)
}

// remove removes a job that is in the list. Its node keeps its position.
func (l *list) remove(j *Job) {
	l.root = l.removeFrom(l.root, j)
	j.node.left, j.node.right = nil, nil
	j.place = nil
}

func (l *list) removeFrom(root, j *Job) *Job {
	if root == j {
		return l.merge(j.node.left, j.node.right)
	}
	if j.node.before(&root.node) {
		root.node.left = l.removeFrom(root.node.left, j)
	} else {
		root.node.right = l.removeFrom(root.node.right, j)
	}
	l.update(root)
	return root
}

// first returns the first job whose lane is not in the set, or nil.
func (l *list) first(blocked Lanes) *Job {
	j := l.root
	for j != nil && j.node.lanes&^blocked != 0 {
		if left := j.node.left; left != nil && left.node.lanes&^blocked != 0 {
			j = left
			continue
		}
		if blocked&(1<<j.Lane) == 0 {
			return j
		}
		j = j.node.right
	}
	return nil
}

// firstFrom returns the first job whose time is not before the given one and whose lane is
// not in the set, or nil.
func (l *list) firstFrom(at time.Time, blocked Lanes) *Job { return firstFrom(l.root, at, blocked) }

func firstFrom(root *Job, at time.Time, blocked Lanes) *Job {
	if root == nil || root.node.lanes&^blocked == 0 {
		return nil
	}
	if root.node.at.Before(at) {
		return firstFrom(root.node.right, at, blocked)
	}
	if j := firstFrom(root.node.left, at, blocked); j != nil {
		return j
	}
	if blocked&(1<<root.Lane) == 0 {
		return root
	}
	return firstFrom(root.node.right, at, blocked)
}

// secondsBefore returns the processing time, in seconds, of the jobs before a
// time.
func (l *list) secondsBefore(at time.Time) float64 {
	work := 0.0
	for j := l.root; j != nil; {
		if !j.node.at.Before(at) {
			j = j.node.left
			continue
		}
		work += j.work()
		if j.node.left != nil {
			work += j.node.left.node.work
		}
		j = j.node.right
	}
	return work
}

// leastDenseToFirstMiss returns the job with the least worth for its processing
// time among those up to the first that would miss its time, or nil if none
// would if the first of them began at the given time.
func (l *list) leastDenseToFirstMiss(begin time.Time) *Job {
	limit := -l.seconds(begin)
	if l.root == nil || l.root.node.delay <= limit {
		return nil
	}
	var leastDense *Job
	elapsed := 0.0
	for j := l.root; ; {
		left := j.node.left
		if left != nil && elapsed+left.node.delay > limit {
			j = left
			continue
		}
		if left != nil {
			leastDense = lessDense(leastDense, left.node.leastDense)
			elapsed += left.node.work / l.parallelism
		}
		leastDense = lessDense(leastDense, j)
		elapsed += j.work() / l.parallelism
		if elapsed-l.seconds(j.node.at) > limit || j.node.right == nil {
			return leastDense
		}
		j = j.node.right
	}
}

func (l *list) setParallelism(n float64) {
	l.parallelism = n
	l.updateAll(l.root)
}

func (l *list) updateAll(j *Job) {
	if j == nil {
		return
	}
	l.updateAll(j.node.left)
	l.updateAll(j.node.right)
	l.update(j)
}

// split divides a subtree into the jobs before a node's position and those after
// it.
func (l *list) split(root *Job, at *node) (before, after *Job) {
	if root == nil {
		return nil, nil
	}
	if root.node.before(at) {
		root.node.right, after = l.split(root.node.right, at)
		l.update(root)
		return root, after
	}
	before, root.node.left = l.split(root.node.left, at)
	l.update(root)
	return before, root
}

// merge joins two subtrees, of which all jobs of a are before those of b.
func (l *list) merge(a, b *Job) *Job {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.node.priority > b.node.priority:
		a.node.right = l.merge(a.node.right, b)
		l.update(a)
		return a
	}
	b.node.left = l.merge(a, b.node.left)
	l.update(b)
	return b
}

// update recomputes the aggregates of a job's subtree from those of its children.
func (l *list) update(j *Job) {
	agg := jobAggregates{count: 1, work: j.work(), leastDense: j, delay: math.Inf(-1)}
	agg.lanes.Add(j.Lane)
	if left := j.node.left; left != nil {
		agg.count += left.node.count
		agg.lanes |= left.node.lanes
		agg.work += left.node.work
		agg.delay = left.node.delay
		agg.leastDense = lessDense(j, left.node.leastDense)
	}
	elapsed := agg.work / l.parallelism
	agg.delay = max(agg.delay, elapsed-l.seconds(j.node.at))
	if right := j.node.right; right != nil {
		agg.count += right.node.count
		agg.lanes |= right.node.lanes
		agg.work += right.node.work
		agg.delay = max(agg.delay, elapsed+right.node.delay)
		agg.leastDense = lessDense(agg.leastDense, right.node.leastDense)
	}
	j.node.jobAggregates = agg
}

// lessDense returns the job with less worth for its processing time, and the first
// if they are equal. Either may be nil.
func lessDense(a, b *Job) *Job {
	if a == nil || b != nil && b.density() < a.density() {
		return b
	}
	return a
}

// before reports whether a node is ordered before another.
func (n *node) before(other *node) bool {
	if c := n.at.Compare(other.at); c != 0 {
		return c < 0
	}
	return n.sequence < other.sequence
}

// seconds returns a time in seconds since the list's epoch.
func (l *list) seconds(t time.Time) float64 { return t.Sub(l.epoch).Seconds() }
