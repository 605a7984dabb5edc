package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/settings"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/lab/engine"
	"github.com/verbenabend/verbenabend/lab/netport"
)

// Commands of the scenarios, in addition to those of testscript:
//
//	system                  start the processes of the examples on free ports and
//	                        wait until the daemons are ready: platform, engine-1
//	                        to 3, ledger, entry-1 to 3; `system entry-1` starts
//	                        only that daemon
//	start NAME              start a process
//	drain NAME              SIGTERM, wait for it to end, require exit code 0
//	crash NAME              SIGKILL
//	freeze NAME, thaw NAME  SIGSTOP, SIGCONT
//	[!] ready NAME          wait until /readyz returns 200; with !, fail if it does
//	control NAME JSON       set the faults of a stand-in
//	await REGEXP PROGRAM .. run a program until its output matches
//	exits CODE PROGRAM ..   run a program; it must end with this exit code
//	call NAME SERVICE METHOD PATH KEY
//	                        call a plain service through a daemon and print status
//	                        and body; with !, require an error and print it
//	asks NAME N             send N questions in sequence; each must get the complete
//	                        answer that belongs to it

const (
	conditionTimeout = 40 * time.Second
	conditionPoll    = 30 * time.Millisecond
	callTimeout      = 20 * time.Second
	scenarioTokens   = 8
)

// cluster holds the processes of one scenario.
type cluster struct {
	dir       string
	mu        sync.Mutex
	running   map[string]*exec.Cmd
	commands  map[string][]string
	daemons   map[string]*settings.Settings
	addresses map[string]string
}

type clusterKey struct{}

func setupCluster(env *testscript.Env) error {
	c := &cluster{dir: env.WorkDir, running: map[string]*exec.Cmd{}, commands: map[string][]string{}, daemons: map[string]*settings.Settings{}, addresses: map[string]string{}}
	env.Values[clusterKey{}] = c
	env.Defer(c.killAll)
	if err := c.configure(); err != nil {
		return err
	}
	for name, s := range c.daemons {
		prefix := strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		env.Setenv(prefix+"_CALLERS", "http://"+s.CallerAddress)
		env.Setenv(prefix+"_OPERATORS", "http://"+s.OperatorListen)
	}
	for name, address := range c.addresses {
		env.Setenv(strings.ToUpper(strings.ReplaceAll(name, "-", "_")), address)
	}
	first := c.daemons["entry-1"]
	env.Setenv("VERBENABEND_ENTRY", "http://"+first.CallerAddress)
	env.Setenv("VERBENABEND_DAEMON", "http://"+first.OperatorListen)
	env.Setenv("VERBENABEND_KEY", first.OperatorKey)
	env.Setenv("VERBENABEND_CALLER_KEY", exampleCallerKey)
	return nil
}

// exampleCallerKey gives access to the services of the example documents.
const exampleCallerKey = "a-caller-key"

var portPattern = regexp.MustCompile(`127\.0\.0\.1:7\d\d\d`)

// configure copies the example files to the work directory with free ports and a
// short entry_max_age, and registers the commands of all processes.
func (c *cluster) configure() error {
	ports := map[string]string{}
	free := func(old string) string {
		if _, ok := ports[old]; !ok {
			address, err := netport.FreeAddress()
			if err != nil {
				panic(err)
			}
			ports[old] = address
		}
		return ports[old]
	}
	files, err := filepath.Glob("../examples/*/*.json")
	if err != nil {
		return err
	}
	for _, file := range append(files, "../examples/instances.json") {
		raw, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		text := portPattern.ReplaceAllStringFunc(string(raw), free)
		text = strings.Replace(text, `"entry_max_age": "10s"`, `"entry_max_age": "300ms"`, 1)
		name := filepath.Base(file)
		if err := os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o600); err != nil {
			return err
		}
		if s, err := settings.Parse([]byte(text)); err == nil {
			c.daemons[s.Name] = s
			c.commands[s.Name] = []string{"verbenabendd", "run", "--settings", name}
		}
	}
	c.standIn("platform", free("127.0.0.1:7100"), "platform", "--instances", "instances.json")
	for i := 1; i <= 3; i++ {
		c.standIn("engine-"+strconv.Itoa(i), free("127.0.0.1:720"+strconv.Itoa(i)), "engine", "--exit-on-crash")
	}
	c.standIn("ledger", free("127.0.0.1:7301"), "service")
	return nil
}

func (c *cluster) standIn(name, address string, args ...string) {
	c.addresses[name] = address
	c.commands[name] = append(append([]string{"lab"}, args...), "--listen", address)
}

func clusterFor(ts *testscript.TestScript) *cluster { return ts.Value(clusterKey{}).(*cluster) }

func (c *cluster) start(name string) error {
	args, ok := c.commands[name]
	if !ok {
		return fmt.Errorf("unknown process %q", name)
	}
	out, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.dir, out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[name] = cmd
	return nil
}

func (c *cluster) process(name string) *exec.Cmd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[name]
}

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range c.running {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func failOnError(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

func cmdSystem(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterFor(ts)
	daemons := args
	if len(daemons) == 0 {
		daemons = []string{"entry-1", "entry-2", "entry-3"}
	}
	for _, name := range append([]string{"platform", "engine-1", "engine-2", "engine-3", "ledger"}, daemons...) {
		failOnError(ts, c.start(name))
	}
	for _, name := range daemons {
		c.awaitReady(ts, name)
	}
}

func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	failOnError(ts, clusterFor(ts).start(args[0]))
}

func cmdDrain(ts *testscript.TestScript, _ bool, args []string) {
	cmd := clusterFor(ts).process(args[0])
	failOnError(ts, cmd.Process.Signal(syscall.SIGTERM))
	failOnError(ts, cmd.Wait())
}

func cmdCrash(ts *testscript.TestScript, _ bool, args []string) {
	cmd := clusterFor(ts).process(args[0])
	failOnError(ts, cmd.Process.Kill())
	_ = cmd.Wait()
}

func cmdFreeze(ts *testscript.TestScript, _ bool, args []string) {
	failOnError(ts, clusterFor(ts).process(args[0]).Process.Signal(syscall.SIGSTOP))
}

func cmdThaw(ts *testscript.TestScript, _ bool, args []string) {
	failOnError(ts, clusterFor(ts).process(args[0]).Process.Signal(syscall.SIGCONT))
}

func cmdReady(ts *testscript.TestScript, neg bool, args []string) {
	c := clusterFor(ts)
	if !neg {
		c.awaitReady(ts, args[0])
		return
	}
	if c.isReady(args[0]) {
		ts.Fatalf("%s is ready", args[0])
	}
}

func (c *cluster) isReady(name string) bool {
	resp, err := http.Get("http://" + c.daemons[name].OperatorListen + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) awaitReady(ts *testscript.TestScript, name string) {
	deadline := time.Now().Add(conditionTimeout)
	for !c.isReady(name) {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out: %s is not ready; its output:\n%s", name, c.log(name))
		}
		time.Sleep(conditionPoll)
	}
}

// log returns the output of a process.
func (c *cluster) log(name string) string {
	raw, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

func await(ts *testscript.TestScript, what string, ok func() bool) {
	for deadline := time.Now().Add(conditionTimeout); !ok(); time.Sleep(conditionPoll) {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out: %s", what)
		}
	}
}

func cmdControl(ts *testscript.TestScript, _ bool, args []string) {
	url := "http://" + clusterFor(ts).addresses[args[0]] + "/control"
	await(ts, args[0]+" accepts its faults", func() bool {
		resp, err := http.Post(url, "application/json", strings.NewReader(args[1]))
		if err != nil {
			// A crashing engine may exit before it responds.
			return strings.Contains(args[1], "crash") && !strings.Contains(err.Error(), "refused")
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusNoContent
	})
}

func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	failOnError(ts, err)
	var out []byte
	await(ts, "output of "+strings.Join(args[1:], " "), func() bool {
		out, _ = newCommand(ts, args[1:]).CombinedOutput()
		return pattern.Match(out)
	})
	_, _ = ts.Stdout().Write(out)
}

// newCommand returns a command with the scenario's directory and environment.
func newCommand(ts *testscript.TestScript, args []string) *exec.Cmd {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = clusterFor(ts).dir
	cmd.Env = append(os.Environ(), scriptEnv(ts)...)
	return cmd
}

func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	failOnError(ts, err)
	cmd := newCommand(ts, args[1:])
	out, _ := cmd.CombinedOutput()
	_, _ = ts.Stdout().Write(out)
	if got := cmd.ProcessState.ExitCode(); got != want {
		ts.Fatalf("exit code %d, want %d:\n%s", got, want, out)
	}
}

func scriptEnv(ts *testscript.TestScript) []string {
	var out []string
	for _, name := range []string{"VERBENABEND_ENTRY", "VERBENABEND_DAEMON", "VERBENABEND_KEY", "VERBENABEND_CALLER_KEY"} {
		out = append(out, name+"="+ts.Getenv(name))
	}
	return out
}

func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	c := clusterFor(ts)
	caller := &client.Caller{URL: "http://" + c.daemons[args[0]].CallerAddress, Key: exampleCallerKey}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := caller.Call(ctx, args[1], args[2], args[3], args[4], []byte("{}"))
	if (err != nil) != neg {
		ts.Fatalf("call: %v", err)
	}
	if err != nil {
		raw, _ := json.Marshal(client.NewFailure(err))
		fmt.Fprintf(ts.Stdout(), "%s\n", raw)
		return
	}
	fmt.Fprintf(ts.Stdout(), "%d %s\n", reply.Status, bytes.TrimSpace(reply.Body))
}

func cmdAsks(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterFor(ts)
	n, err := strconv.Atoi(args[1])
	failOnError(ts, err)
	caller := &client.Caller{URL: "http://" + c.daemons[args[0]].CallerAddress, Key: exampleCallerKey}
	for i := range n {
		question := fmt.Sprintf("question %d at %s", i, args[0])
		failOnError(ts, askOnce(caller, question))
	}
}

// askOnce sends a question and checks that the answer is the one that the stand-in
// engine gives to this question.
func askOnce(caller *client.Caller, question string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	history := strings.Repeat("The case history of a doll. ", 400)
	a, err := caller.Chat(ctx, &client.ChatRequest{
		Service: "lamp-bench", MaxTokens: scenarioTokens,
		Messages: []upstream.Message{{Role: "system", Content: history}, {Role: "user", Content: question}},
	}, nil)
	if err != nil {
		return err
	}
	want := engine.AnswerText("granite-hollow", []string{history, question}, scenarioTokens)
	if a.Text != want {
		return fmt.Errorf("%s: got %q, want %q", question, a.Text, want)
	}
	return nil
}
