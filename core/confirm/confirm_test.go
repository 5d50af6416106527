package confirm_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/confirm"
)

// node is an instance with a clock of its own.
type node struct {
	clock time.Time
	known confirm.Confirmation
}

// now returns the time by the node's clock, a time after the start of the test.
func (n *node) now(elapsed time.Duration) time.Time { return n.clock.Add(elapsed) }

// message is a request of one node to another one, and then the reply.
type message struct {
	from, to int
	// at is when it arrives, after the start of the test.
	at     time.Duration
	sentAt time.Time
	// A reply has its report, unless the other node knows nothing.
	isReply bool
	held    time.Duration
	report  *confirm.Report
}

// Guards against a confirmation that grows younger on its way: whoever asks whom, however long
// messages and waits take and however often a confirmation comes round, nobody believes that
// it is younger than it is.
func TestConfirmationNeverGrowsYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const longestMessage, longestWait = 400 * time.Millisecond, 750 * time.Millisecond
		duration := func(longest time.Duration, label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, label))
		}
		nodes := make([]*node, rapid.IntRange(3, 8).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &node{clock: time.Unix(rapid.Int64Range(0, 1e6).Draw(t, "clock"), 0)}
		}
		// confirmedAt holds when the store answered, by the origin of the confirmation.
		var confirmedAt []time.Duration
		var onTheWay []message
		elapsed := time.Duration(0)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			elapsed += duration(50*time.Millisecond, "step")
			i, j := rapid.IntRange(0, len(nodes)-1).Draw(t, "from"), rapid.IntRange(0, len(nodes)-1).Draw(t, "to")
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0:
				nodes[i].known = confirm.Confirmation{At: nodes[i].now(elapsed), Origin: strconv.Itoa(len(confirmedAt))}
				confirmedAt = append(confirmedAt, elapsed)
			case 1, 2, 3:
				onTheWay = append(onTheWay, message{from: i, to: j, at: elapsed + duration(longestMessage, "request"), sentAt: nodes[i].now(elapsed)})
			default:
				onTheWay = deliver(nodes, onTheWay, &elapsed, func() (wait, way time.Duration) {
					return duration(longestWait, "wait"), duration(longestMessage, "reply")
				})
			}
			for i, n := range nodes {
				if n.known.IsZero() {
					continue
				}
				origin, err := strconv.Atoi(n.known.Origin)
				if err != nil {
					t.Fatal(err)
				}
				if believed := n.known.At.Sub(n.clock); believed > confirmedAt[origin] {
					t.Fatalf("node %d believes that the store answered at %v, it did at %v; %d hops", i, believed, confirmedAt[origin], n.known.Hops)
				}
			}
		}
	})
}

// deliver lets the message arrive that comes next, after which elapsed may be later, and returns
// those that are on the way then.
func deliver(nodes []*node, onTheWay []message, elapsed *time.Duration, draw func() (wait, way time.Duration)) []message {
	if len(onTheWay) == 0 {
		return nil
	}
	next := 0
	for i, m := range onTheWay {
		if m.at < onTheWay[next].at {
			next = i
		}
	}
	m := onTheWay[next]
	onTheWay = append(onTheWay[:next:next], onTheWay[next+1:]...)
	*elapsed = max(*elapsed, m.at)
	if !m.isReply {
		wait, way := draw()
		made := *elapsed + wait
		out := message{from: m.to, to: m.from, at: made + way, sentAt: m.sentAt, isReply: true, held: wait}
		// Later confirmations than when the wait began may be told as well.
		if known := nodes[m.to].known; !known.IsZero() {
			report := known.Report(nodes[m.to].now(made))
			out.report = &report
		}
		return append(onTheWay, out)
	}
	if m.report != nil {
		to := nodes[m.to]
		received := m.report.Received(confirm.AsOf(m.sentAt, m.held, to.now(*elapsed)))
		if received.At.After(to.known.At) {
			to.known = received
		}
	}
	return onTheWay
}

// Guards against figures of another instance that no reply can have.
func TestAsOfIsNoTimeOutsideOfTheCall(t *testing.T) {
	sentAt := time.Unix(1000, 0)
	arrivedAt := sentAt.Add(time.Second)
	for _, tt := range []struct {
		held time.Duration
		want time.Time
	}{{0, sentAt}, {-time.Hour, sentAt}, {400 * time.Millisecond, sentAt.Add(400 * time.Millisecond)}, {time.Hour, arrivedAt}} {
		if got := confirm.AsOf(sentAt, tt.held, arrivedAt); !got.Equal(tt.want) {
			t.Errorf("held %v: %v after the request was sent, want %v", tt.held, got.Sub(sentAt), tt.want.Sub(sentAt))
		}
	}
	if got := (confirm.Report{Age: -time.Second}).Received(arrivedAt); got.At.After(arrivedAt) {
		t.Errorf("an age below 0 is a confirmation %v after the arrival", got.At.Sub(arrivedAt))
	}
}

func ExampleReport() {
	asked := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	mine := confirm.Confirmation{At: asked.Add(-time.Second), Origin: "edge-1"}
	report := mine.Report(asked.Add(300 * time.Millisecond))
	theirs := report.Received(confirm.AsOf(asked.Add(-20*time.Millisecond), 300*time.Millisecond, asked.Add(320*time.Millisecond)))
	fmt.Println(mine.At.Sub(theirs.At), "older,", theirs.Hops, "hop from", theirs.Origin)
	// Output: 20ms older, 1 hop from edge-1
}
