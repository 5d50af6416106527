// Package scenario_test runs the test scripts in testdata. Each states a promise of
// the system, causes a failure that could break it, and checks the outcome.
//
// Besides the commands of testscript, scripts can use the commands in the table below.
// They control one of the example deployments, which runs in this process.
package scenario_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
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
	// state is what the commands of one script share.
	state struct {
		deployment *demo.Deployment
		response   demo.Response
		// tickets holds the tickets by the names that the script gives them, and
		// calls the number of calls that note-calls recorded for each endpoint.
		tickets map[string]string
		calls   map[string]int64

		// site is nil unless the script is about routes on the platform.
		site *site

		// mu guards responses, the results of streams in the background.
		mu        sync.Mutex
		streams   sync.WaitGroup
		responses []demo.Response
	}

	// command implements a script command.
	command func(ts *testscript.TestScript, s *state, args []string)
)

const (
	// startTimeout bounds the time in which instances start or stop.
	startTimeout = 30 * time.Second

	// inForceTimeout bounds the wait for a revision to be in force everywhere. It
	// only limits the time of a failing script: how fast revisions spread is measured
	// elsewhere.
	inForceTimeout = 20 * time.Second

	// engineTimeout bounds the wait for engines to match their declarations. It is
	// long because the system reads the state of one engine after the other.
	engineTimeout = time.Minute

	pollInterval = 20 * time.Millisecond
)

// commands are the script commands in addition to those of testscript.
var commands = map[string]command{
	// deploy NAME INSTANCES: start a deployment of the examples.
	"deploy": deploy,
	// chervilpath ARG...: run a subcommand and keep its output. It is the only
	// command that can be negated.
	"chervilpath": nil,
	// ticket NAME ORGANISATION INSTANCE: get a ticket, to be used as key=NAME.
	"ticket": ticket,
	// send KIND ORGANISATION [key=KEY] [via=INSTANCE] [stream] [tokens=N]: send a
	// request and keep its result for expect.
	"send": send,
	// stream N KIND ORGANISATION TOKENS: start N streams in the background.
	"stream": stream,
	// wait-streams: wait until these streams end, and check that each was answered.
	"wait-streams": waitStreams,
	// expect answered | error KIND | ran VALUE: check the result of the last request.
	// expect runs STAGE TOTAL: check how often requests ran at a stage, and that none
	// ran more than once.
	"expect": expect,
	// fault platform|ENDPOINT|STAGE/ JSON: replace the active faults of the platform,
	// of an endpoint, or of all endpoints of a stage.
	"fault": fault,
	// crash entry N | endpoint NAME: end an instance or an endpoint abruptly.
	"crash": crash,
	// stop N: drain and stop an instance. replace: start an additional one.
	"stop":    stop,
	"replace": replace,
	// apart N...: partition the network between these instances and the others.
	// join: end the partition.
	"apart": partition,
	"join":  healPartition,
	// list ENDPOINT STATE: change an endpoint's state in the platform's list, or
	// remove it if STATE is gone.
	"list": setEndpointState,
	// publish FILE: publish a declaration file. in-force REVISION: wait until every
	// instance has at least this revision in force.
	"publish":  publish,
	"in-force": waitInForce,
	// note-calls ENDPOINT: record its number of calls. no-new-calls ENDPOINT: check
	// that the number has not changed since.
	"note-calls":   recordCalls,
	"no-new-calls": checkNoNewCalls,
	// drift ENGINE MODEL...: change the models that an engine has loaded without an
	// order from the system. as-declared ENGINE: wait until its models, adapters and
	// role are as declared.
	"drift":       setLoadedModels,
	"as-declared": waitAsDeclared,
	// stop-holder: drain and stop the instance that holds the lease for sending orders
	// to engines.
	"stop-holder": stopLeaseHolder,
	// pause DURATION: wait.
	"pause": pause,
}

func TestScenarios(t *testing.T) {
	cmds := make(map[string]func(*testscript.TestScript, bool, []string))
	all := maps.Clone(commands)
	maps.Copy(all, siteCommands)
	for name, c := range all {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if name == "chervilpath" {
				runChervilpath(ts, neg, args)
				return
			}
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			c(ts, ts.Value(stateKey{}).(*state), args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: cmds,
		Setup: func(env *testscript.Env) error {
			s := &state{tickets: make(map[string]string), calls: make(map[string]int64)}
			env.Values[stateKey{}] = s
			env.Defer(func() {
				ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
				defer cancel()
				if s.deployment != nil {
					_ = s.deployment.Stop(ctx)
				}
				if s.site != nil {
					s.site.stop(ctx)
				}
			})
			return nil
		},
	})
}

// stateKey is the key of the *state among the values of a script's environment.
type stateKey struct{}

// runChervilpath runs a subcommand in this process.
func runChervilpath(ts *testscript.TestScript, neg bool, args []string) {
	var out, errOut bytes.Buffer
	for i, a := range args {
		// Scripts name files relative to their own directory, which is not the
		// working directory of this process.
		_, err := os.Stat(ts.MkAbs(a))
		isOutput := i > 0 && args[i-1] == "--plot"
		if (err == nil || isOutput) && !strings.HasPrefix(a, "-") {
			args[i] = ts.MkAbs(a)
		}
	}
	code := cmd.Main(args, &out, &errOut)
	_, _ = fmt.Fprint(ts.Stdout(), out.String())
	_, _ = fmt.Fprintf(ts.Stderr(), "%sexit code %d\n", errOut.String(), code)
	if (code != 0) != neg {
		ts.Fatalf("chervilpath exited with code %d\n%s%s", code, out.String(), errOut.String())
	}
}

func parseInt(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func deploy(ts *testscript.TestScript, s *state, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	d, err := demo.New(ctx, examples.Files, args[0], parseInt(ts, args[1]), zap.NewNop())
	ts.Check(err)
	s.deployment = d
	ts.Check(d.Start(ctx))
	ts.Setenv("PLATFORM", d.PlatformURL())
	ts.Setenv("OPERATOR", d.OperatorAddress(0))
}

func ticket(ts *testscript.TestScript, s *state, args []string) {
	text := s.deployment.RequestTicket(args[1], parseInt(ts, args[2]))
	if text == "" {
		ts.Fatalf("no ticket was issued")
	}
	s.tickets[args[0]] = text
}

func send(ts *testscript.TestScript, s *state, args []string) {
	key, via, streamed, tokens := "", -1, false, 20
	for _, a := range args[2:] {
		name, value, _ := strings.Cut(a, "=")
		switch name {
		case "key":
			key = value
			if t, ok := s.tickets[value]; ok {
				key = t
			}
		case "via":
			via = parseInt(ts, value)
		case "stream":
			streamed = true
		case "tokens":
			tokens = parseInt(ts, value)
		}
	}
	s.response = s.deployment.Send(args[0], args[1], key, "case-"+args[0], streamed, tokens, via)
	ts.Logf("%+v", s.response)
}

func stream(ts *testscript.TestScript, s *state, args []string) {
	for i := range parseInt(ts, args[0]) {
		s.streams.Go(func() {
			r := s.deployment.Send(args[1], args[2], "", fmt.Sprint("case-", i), true, parseInt(ts, args[3]), -1)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.responses = append(s.responses, r)
		})
	}
}

func waitStreams(ts *testscript.TestScript, s *state, _ []string) {
	s.streams.Wait()
	for _, r := range s.responses {
		if !r.Answered || r.Tokens == 0 {
			ts.Fatalf("a stream was not answered: %+v", r)
		}
	}
	if len(s.responses) == 0 {
		ts.Fatalf("no stream was started")
	}
	s.responses = nil
}

func expect(ts *testscript.TestScript, s *state, args []string) {
	ok := false
	switch args[0] {
	case "answered":
		ok = s.response.Answered
	case "error":
		ok = !s.response.Answered && s.response.ErrorKind == args[1]
	case "ran":
		ok = s.response.Ran == args[1]
	case "runs":
		total, maxPerRequest := s.deployment.Runs(args[1])
		ok = total == parseInt(ts, args[2]) && maxPerRequest <= 1
		ts.Logf("%s ran %d times, at most %d times for one request", args[1], total, maxPerRequest)
	}
	if !ok {
		ts.Fatalf("expected %s, got %+v", strings.Join(args, " "), s.response)
	}
}

func fault(ts *testscript.TestScript, s *state, args []string) {
	if args[0] == "platform" {
		ts.Check(s.deployment.SetPlatformFaults(args[1]))
		return
	}
	names := []string{args[0]}
	if stage, ok := strings.CutSuffix(args[0], "/"); ok {
		var err error
		names, err = s.deployment.StageEndpoints(stage)
		ts.Check(err)
	}
	for _, name := range names {
		ts.Check(s.deployment.SetEndpointFaults(name, args[1]))
	}
}

func crash(ts *testscript.TestScript, s *state, args []string) {
	if args[0] == "endpoint" {
		s.deployment.CrashEndpoint(args[1])
		return
	}
	s.deployment.CrashInstance(parseInt(ts, args[1]))
}

func stop(ts *testscript.TestScript, s *state, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	ts.Check(s.deployment.StopInstance(ctx, parseInt(ts, args[0])))
}

func replace(ts *testscript.TestScript, s *state, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	ts.Check(s.deployment.AddInstance(ctx))
}

func partition(ts *testscript.TestScript, s *state, args []string) {
	var group []int
	for _, a := range args {
		group = append(group, parseInt(ts, a))
	}
	s.deployment.Partition(group)
}

func healPartition(_ *testscript.TestScript, s *state, _ []string) { s.deployment.HealPartition() }

func setEndpointState(ts *testscript.TestScript, s *state, args []string) {
	s.deployment.SetEndpointState(args[0], args[1])
}

func publish(ts *testscript.TestScript, s *state, args []string) {
	_, err := s.deployment.Publish(context.Background(), args[0], []byte(ts.ReadFile(args[0])))
	ts.Check(err)
}

// waitInForce waits until every instance has at least the given revision in force, and
// checks that none goes back to an earlier one meanwhile.
func waitInForce(ts *testscript.TestScript, s *state, args []string) {
	want := int64(parseInt(ts, args[0]))
	highest := make(map[int]int64)
	for deadline := time.Now().Add(inForceTimeout); ; time.Sleep(pollInterval) {
		numLagging := 0
		revisions := s.deployment.Revisions()
		for i, r := range revisions {
			if r < highest[i] {
				ts.Fatalf("instance %d went back from revision %d to %d", i, highest[i], r)
			}
			highest[i] = r
			if r < want {
				numLagging++
			}
		}
		if numLagging == 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("revision %d is not in force everywhere: %v", want, revisions)
		}
	}
}

func recordCalls(ts *testscript.TestScript, s *state, args []string) {
	s.calls[args[0]] = s.deployment.EndpointCalls(args[0])
}

func checkNoNewCalls(ts *testscript.TestScript, s *state, args []string) {
	if now := s.deployment.EndpointCalls(args[0]); now != s.calls[args[0]] {
		ts.Fatalf("%s received %d new calls", args[0], now-s.calls[args[0]])
	}
}

func setLoadedModels(ts *testscript.TestScript, s *state, args []string) {
	s.deployment.SetLoadedModels(args[0], args[1:])
}

func waitAsDeclared(ts *testscript.TestScript, s *state, args []string) {
	for deadline := time.Now().Add(engineTimeout); ; time.Sleep(pollInterval) {
		ok, fence := s.deployment.MatchesDeclaration(args[0])
		if ok {
			ts.Logf("%s is as declared, fencing number %d", args[0], fence)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s is not as declared", args[0])
		}
	}
}

func stopLeaseHolder(ts *testscript.TestScript, s *state, _ []string) {
	i := s.deployment.LeaseHolder(context.Background())
	if i < 0 {
		ts.Fatalf("no instance holds the lease")
	}
	stop(ts, s, []string{strconv.Itoa(i)})
}

func pause(ts *testscript.TestScript, _ *state, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
