// Package scenario_test runs the scripts in testdata: each states a promise of
// the system, causes a failure that threatens it, and says what must come out.
//
// Besides the commands of testscript there are those in the table below. They
// drive a deployment of the examples in this process.
package scenario_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"chervilpath/cmd"
	"chervilpath/demo"
	"chervilpath/examples"
)

type (
	// world is the state of one script.
	world struct {
		deployment *demo.Deployment
		reply      demo.Response
		keys       map[string]string
		calls      map[string]int64

		mu      sync.Mutex
		streams sync.WaitGroup
		replies []demo.Response
	}

	command func(ts *testscript.TestScript, w *world, args []string)
)

const (
	startLimit = 30 * time.Second

	// eventually bounds the wait for something that must come in the end. The
	// script fails if it does not; how soon it comes is measured elsewhere.
	eventually = 20 * time.Second

	// settled bounds the wait for engines, which are asked for their state one
	// after the other.
	settled = time.Minute
	poll    = 20 * time.Millisecond
)

var commands = map[string]command{
	// deploy NAME INSTANCES: start a deployment of the examples.
	"deploy": deploy,
	// chervilpath ARG...: run a subcommand and keep its output.
	"chervilpath": nil,
	// ticket KEY ORGANISATION INSTANCE: get a ticket and name it KEY.
	"ticket": ticket,
	// send KIND ORGANISATION [key=KEY] [via=INSTANCE] [stream] [tokens=N].
	"send": send,
	// stream N KIND ORGANISATION TOKENS: start N streams in the background.
	"stream": stream,
	// wait-streams: wait for them; every one has to be answered whole.
	"wait-streams": waitStreams,
	// expect answered | error KIND | ran VALUE | runs STAGE TOTAL MOST.
	"expect": expect,
	// fault platform|ENDPOINT|STAGE/ JSON: switch faults.
	"fault": fault,
	// crash entry N | endpoint NAME.
	"crash": crash,
	// stop N: drain and stop an instance; replace: start another one.
	"stop":    stop,
	"replace": replace,
	// apart N...: keep these instances apart from the others; join: end that.
	"apart": apart,
	"join":  join,
	// list ENDPOINT STATE: change the platform's list of instances.
	"list": list,
	// publish FILE: put a file in force; in-force: wait until it is everywhere.
	"publish":  publish,
	"in-force": inForce,
	// note-calls ENDPOINT: remember its calls; no-new-calls ENDPOINT: compare.
	"note-calls":   noteCalls,
	"no-new-calls": noNewCalls,
	// drift ENGINE MODEL: change what an engine has loaded behind the system's
	// back; as-declared ENGINE: wait until models, adapters and role are so.
	"drift":       drift,
	"as-declared": asDeclared,
	// stop-holder: drain and stop the instance that gives orders to engines.
	"stop-holder": stopHolder,
	// pause TIME: let time pass.
	"pause": pause,
}

func TestScenarios(t *testing.T) {
	cmds := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, c := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if name == "chervilpath" {
				runProduct(ts, neg, args)
				return
			}
			if neg {
				ts.Fatalf("%s takes no !", name)
			}
			c(ts, ts.Value(worldKey{}).(*world), args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: cmds,
		Setup: func(env *testscript.Env) error {
			w := &world{keys: make(map[string]string), calls: make(map[string]int64)}
			env.Values[worldKey{}] = w
			env.Defer(func() {
				if w.deployment != nil {
					ctx, cancel := context.WithTimeout(context.Background(), startLimit)
					defer cancel()
					_ = w.deployment.Stop(ctx)
				}
			})
			return nil
		},
	})
}

type worldKey struct{}

func runProduct(ts *testscript.TestScript, neg bool, args []string) {
	var out, errOut bytes.Buffer
	for i, a := range args {
		// Files of a script are named as in its directory.
		_, err := os.Stat(ts.MkAbs(a))
		written := i > 0 && args[i-1] == "--plot"
		if (err == nil || written) && !strings.HasPrefix(a, "-") {
			args[i] = ts.MkAbs(a)
		}
	}
	code := cmd.Main(args, &out, &errOut)
	_, _ = fmt.Fprint(ts.Stdout(), out.String())
	_, _ = fmt.Fprintf(ts.Stderr(), "%sexit code %d\n", errOut.String(), code)
	if (code != 0) != neg {
		ts.Fatalf("chervilpath ended with exit code %d\n%s%s", code, out.String(), errOut.String())
	}
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func deploy(ts *testscript.TestScript, w *world, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	d, err := demo.New(ctx, examples.Files, args[0], number(ts, args[1]), zap.NewNop())
	ts.Check(err)
	w.deployment = d
	ts.Check(d.Start(ctx))
	ts.Setenv("PLATFORM", d.PlatformURL())
	ts.Setenv("OPERATOR", d.OperatorAddress(0))
}

func ticket(ts *testscript.TestScript, w *world, args []string) {
	text := w.deployment.RequestTicket(args[1], number(ts, args[2]))
	if text == "" {
		ts.Fatalf("no ticket was issued")
	}
	w.keys[args[0]] = text
}

func send(ts *testscript.TestScript, w *world, args []string) {
	key, via, streamed, tokens := "", -1, false, 20
	for _, a := range args[2:] {
		name, value, _ := strings.Cut(a, "=")
		switch name {
		case "key":
			key = value
			if t, ok := w.keys[value]; ok {
				key = t
			}
		case "via":
			via = number(ts, value)
		case "stream":
			streamed = true
		case "tokens":
			tokens = number(ts, value)
		}
	}
	w.reply = w.deployment.Send(args[0], args[1], key, "case-"+args[0], streamed, tokens, via)
	ts.Logf("%+v", w.reply)
}

func stream(ts *testscript.TestScript, w *world, args []string) {
	for i := range number(ts, args[0]) {
		w.streams.Go(func() {
			r := w.deployment.Send(args[1], args[2], "", fmt.Sprint("case-", i), true, number(ts, args[3]), -1)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.replies = append(w.replies, r)
		})
	}
}

func waitStreams(ts *testscript.TestScript, w *world, _ []string) {
	w.streams.Wait()
	for _, r := range w.replies {
		if !r.Answered || r.Tokens == 0 {
			ts.Fatalf("a stream was cut: %+v", r)
		}
	}
	if len(w.replies) == 0 {
		ts.Fatalf("no stream was started")
	}
	w.replies = nil
}

func expect(ts *testscript.TestScript, w *world, args []string) {
	ok := false
	switch args[0] {
	case "answered":
		ok = w.reply.Answered
	case "error":
		ok = !w.reply.Answered && w.reply.ErrorKind == args[1]
	case "ran":
		ok = w.reply.Ran == args[1]
	case "runs":
		total, most := w.deployment.Runs(args[1])
		ok = total == number(ts, args[2]) && most <= 1
		ts.Logf("%s ran %d times, one request %d times at the most", args[1], total, most)
	}
	if !ok {
		ts.Fatalf("expected %s, got %+v", strings.Join(args, " "), w.reply)
	}
}

func fault(ts *testscript.TestScript, w *world, args []string) {
	if args[0] == "platform" {
		ts.Check(w.deployment.SetPlatformFaults(args[1]))
		return
	}
	names := []string{args[0]}
	if stage, ok := strings.CutSuffix(args[0], "/"); ok {
		var err error
		names, err = w.deployment.StageEndpoints(stage)
		ts.Check(err)
	}
	for _, name := range names {
		ts.Check(w.deployment.SetEndpointFaults(name, args[1]))
	}
}

func crash(ts *testscript.TestScript, w *world, args []string) {
	if args[0] == "endpoint" {
		w.deployment.CrashEndpoint(args[1])
		return
	}
	w.deployment.CrashEntry(number(ts, args[1]))
}

func stop(ts *testscript.TestScript, w *world, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	ts.Check(w.deployment.StopEntry(ctx, number(ts, args[0])))
}

func replace(ts *testscript.TestScript, w *world, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	ts.Check(w.deployment.AddEntry(ctx))
}

func apart(ts *testscript.TestScript, w *world, args []string) {
	var group []int
	for _, a := range args {
		group = append(group, number(ts, a))
	}
	w.deployment.Partition(group)
}

func join(_ *testscript.TestScript, w *world, _ []string) { w.deployment.HealPartition() }

func list(ts *testscript.TestScript, w *world, args []string) {
	w.deployment.SetEndpointState(args[0], args[1])
}

func publish(ts *testscript.TestScript, w *world, args []string) {
	_, err := w.deployment.Publish(context.Background(), args[0], []byte(ts.ReadFile(args[0])))
	ts.Check(err)
}

// inForce waits until every instance has the newest revision, and checks that
// none falls back meanwhile.
func inForce(ts *testscript.TestScript, w *world, args []string) {
	want := int64(number(ts, args[0]))
	best := make(map[int]int64)
	for deadline := time.Now().Add(eventually); ; time.Sleep(poll) {
		behind := 0
		revisions := w.deployment.Revisions()
		for i, r := range revisions {
			if r < best[i] {
				ts.Fatalf("instance %d fell back from revision %d to %d", i, best[i], r)
			}
			best[i] = r
			if r < want {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("revision %d is not in force everywhere: %v", want, revisions)
		}
	}
}

func noteCalls(ts *testscript.TestScript, w *world, args []string) {
	w.calls[args[0]] = w.deployment.EndpointCalls(args[0])
}

func noNewCalls(ts *testscript.TestScript, w *world, args []string) {
	if now := w.deployment.EndpointCalls(args[0]); now != w.calls[args[0]] {
		ts.Fatalf("%s had %d new calls", args[0], now-w.calls[args[0]])
	}
}

func drift(ts *testscript.TestScript, w *world, args []string) {
	w.deployment.SetLoadedModels(args[0], args[1:])
}

func asDeclared(ts *testscript.TestScript, w *world, args []string) {
	for deadline := time.Now().Add(settled); ; time.Sleep(poll) {
		ok, fence := w.deployment.MatchesDeclaration(args[0])
		if ok {
			ts.Logf("%s is as declared, by fence %d", args[0], fence)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s is not as declared", args[0])
		}
	}
}

func stopHolder(ts *testscript.TestScript, w *world, _ []string) {
	i := w.deployment.LeaseHolder(context.Background())
	if i < 0 {
		ts.Fatalf("no instance holds the lease")
	}
	stop(ts, w, []string{strconv.Itoa(i)})
}

func pause(ts *testscript.TestScript, _ *world, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
