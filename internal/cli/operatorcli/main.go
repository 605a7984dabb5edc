// Package operatorcli implements the verbenabend command, the operators' tool.
// Exit codes: 0 success ("yes"), 1 rejection or failure ("no"), 2 wrong usage,
// 3 unknown outcome.
package operatorcli

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/strictjson"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Exit codes.
const (
	exitNo      = 1
	exitUsage   = 2
	exitUnknown = 3
)

type commands struct {
	Check    checkCmd    `cmd:"" help:"Check a service document without submitting it.\n\nExample: verbenabend check lamp-bench.json"`
	Submit   submitCmd   `cmd:"" help:"Submit a service document.\n\nExample: verbenabend submit lamp-bench.json --based-on 4"`
	Show     showCmd     `cmd:"" help:"Show the document in force of a service.\n\nExample: verbenabend show lamp-bench > lamp-bench.json"`
	Status   statusCmd   `cmd:"" help:"Show a daemon's view of the system.\n\nExample: verbenabend status --json"`
	Entries  entriesCmd  `cmd:"" help:"Show which addresses callers are told to use.\n\nExample: verbenabend entries lamp-bench --data-centre kennebec"`
	Ask      askCmd      `cmd:"" help:"Ask a model service a question and stream the answer.\n\nExample: verbenabend ask lamp-bench 'Which blue?' --context case.txt"`
	Explain  explainCmd  `cmd:"" help:"Say where a request would go now, and why, without sending it.\n\nExample: verbenabend explain api.example /review/1 -H NAME=VALUE --json"`
	Timeline timelineCmd `cmd:"" help:"Show the events of all daemons in causal order.\n\nExample: verbenabend timeline --service lamp-bench --since 10m"`
}

// operatorFlags select the daemons to call as an operator.
type operatorFlags struct {
	Daemon []string `env:"VERBENABEND_DAEMON" default:"http://127.0.0.1:7012" placeholder:"URL" help:"URL of a daemon's operator listener; further ones are tried when it is unreachable. Also VERBENABEND_DAEMON."`
	Key    string   `env:"VERBENABEND_KEY" placeholder:"KEY" help:"Operator key. Also VERBENABEND_KEY."`
}

func (f *operatorFlags) clients() []*client.Operator {
	out := make([]*client.Operator, len(f.Daemon))
	for i, u := range f.Daemon {
		out[i] = &client.Operator{URL: u, Key: f.Key}
	}
	return out
}

// firstReachable calls fn with each daemon in turn until one is reachable.
func firstReachable[T any](f *operatorFlags, fn func(*client.Operator) (T, error)) (T, error) {
	var out T
	var err error
	for _, c := range f.clients() {
		out, err = fn(c)
		e, ok := verdict.As(err)
		if err == nil || !ok || e.Verdict != verdict.NotRun || e.Code != verdict.CodeUpstreamFailed {
			return out, err
		}
	}
	return out, err
}

// unknownError reports a request with an unknown outcome.
type unknownError struct {
	cause error
	// nextStep tells the operator how to find out.
	nextStep string
}

// Error implements error.
func (e *unknownError) Error() string { return e.cause.Error() + "\n" + e.nextStep }

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// reportError prints err to standard error and returns the exit code.
func reportError(err error) int {
	var unknown *unknownError
	var faults strictjson.Faults
	var rejected *client.RejectedError
	switch {
	case errors.As(err, &unknown):
		fmt.Fprintln(os.Stderr, "unknown:", unknown)
		return exitUnknown
	case errors.As(err, &faults):
		printFaults(faults)
	case errors.As(err, &rejected):
		fmt.Fprintln(os.Stderr, "no:", rejected)
		printFaults(rejected.Faults)
		if rejected.InForce != nil {
			fmt.Fprintf(os.Stderr, "revision %d is in force\n", *rejected.InForce)
		}
	default:
		fmt.Fprintln(os.Stderr, "no:", err)
	}
	return exitNo
}

func printFaults(faults []strictjson.Fault) {
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "no: %s: %s\n", f.Path, f.Message)
	}
}

// Main runs the command and returns its exit code.
func Main(args []string) int {
	var c commands
	parser := kong.Must(&c, kong.Name("verbenabend"), kong.UsageOnError(),
		kong.Description("Submit service documents to verbenabend and inspect its state. Exit codes: 0 yes, 1 no, 2 wrong usage, 3 unknown."))
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenabend:", err)
		return exitUsage
	}
	if err := k.Run(); err != nil {
		return reportError(err)
	}
	return 0
}
