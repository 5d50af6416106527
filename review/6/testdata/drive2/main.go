// Command drive2 plays the scripts of review/6 and later: it starts instances of the product as
// the deploy file does, with stand-ins of the platform's store, of servers and of clients beside
// them, all on loopback, and records what was sent, answered and run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Statuses with which the program exits.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// drive is one run of a case.
type drive struct {
	program string
	dir     string
	trouble bool
	seed    uint64
	start   time.Time

	mu     sync.Mutex
	record *os.File
	broken int
}

// log writes a line to the record.
func (d *drive) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.start).Seconds()}, args...)...)
}

// violation records that the rule was broken.
func (d *drive) violation(format string, args ...any) {
	d.mu.Lock()
	d.broken++
	d.mu.Unlock()
	d.log("BROKEN "+format, args...)
}

var cases = map[string]func(*drive) error{"shifted-stage-answers": shiftedStageAnswers}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/chervilpath", "program of the deploy file")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of what is drawn at random")
	flag.Parse()
	os.Exit(run(*name, *program, *record, *trouble, *seed))
}

func run(name, program, record string, trouble bool, seed uint64) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitCouldNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer func() { _ = f.Close() }()
	d := &drive{program: program, dir: dir, trouble: trouble, seed: seed, start: time.Now(), record: f}
	d.log("case %s, trouble %v, seed %d", name, trouble, seed)
	if err := play(d); err != nil {
		d.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	if d.broken > 0 {
		d.log("the rule was broken %d times", d.broken)
		fmt.Printf("the rule was broken %d times\n", d.broken)
		return exitBroken
	}
	d.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// instance is one instance of the product.
type instance struct {
	d                         *drive
	name                      string
	zone                      string
	front, control, readiness string
	settings                  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	output *os.File
}

// newInstance writes the settings of an instance, with the bounds of a small deployment.
func (d *drive) newInstance(name, zone, store string, seeds []string, addresses [3]string) (*instance, error) {
	in := &instance{d: d, name: name, zone: zone, front: addresses[0], control: addresses[1], readiness: addresses[2], settings: filepath.Join(d.dir, name+".ini")}
	text := fmt.Sprintf(`[site]
name = %s
failureDomain = %s
callerAddress = %s
peerAddress = %s
operatorAddress = %s
seeds = %s

[store]
address = %s

[bounds]
drain = 2000ms
config = 2000ms
heartbeat = 1200ms
grace = 8s
repeatRatio = 0.2
repeatWindow = 10s
repeatSlack = 52

[machine]
cores = 0.4
memoryMb = 284
linkMbps = 1000
`, name, zone, in.front, in.control, in.readiness, strings.Join(seeds, ","), store)
	return in, os.WriteFile(in.settings, []byte(text), 0o600)
}

// launch starts a process of the instance.
func (in *instance) launch() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	output, err := os.OpenFile(in.logFile(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(in.d.program, "entry")
	cmd.Env = append(os.Environ(), "CHERVILPATH_NODE_FILE="+in.settings)
	cmd.Stdout, cmd.Stderr = output, output
	// The process must not outlive this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, output.Close())
	}
	in.cmd, in.output, in.exited = cmd, output, make(chan struct{})
	exited := in.exited
	go func() {
		_ = cmd.Wait()
		_ = output.Close()
		close(exited)
	}()
	in.d.log("instance %s started", in.name)
	return nil
}

func (in *instance) logFile() string { return filepath.Join(in.d.dir, in.name+".log") }

// signal sends a signal to the process of the instance.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(s)
		in.d.log("instance %s gets signal %v", in.name, s)
	}
}

// end kills the process of the instance and waits for its end.
func (in *instance) end() {
	in.mu.Lock()
	cmd, exited := in.cmd, in.exited
	in.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}
