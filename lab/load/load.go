// Package load puts a running system under load as its callers would: each
// caller asks which entries to use, keeps the answer for a while, sends nested
// prompts, resumes streams at another entry, and checks that each answer is
// whole and its own. It expects the stand-in engines, whose answers it knows.
package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/client"
)

// Cmd is the command line of `lab load`.
type Cmd struct {
	Entry        []string      `default:"http://127.0.0.1:7011" placeholder:"URL" help:"Entries to ask for the list of entries."`
	Service      string        `default:"lamp-bench" help:"Model service to call."`
	Key          string        `default:"a-caller-key" help:"The organisation's key."`
	Organisation string        `default:"granite-hollow" help:"The organisation's name, to know its answers."`
	Callers      int           `default:"8" help:"Concurrent callers."`
	Requests     int           `default:"200" help:"Requests in all."`
	MaxDuration  time.Duration `default:"1m" help:"Bound on the whole run."`
	Rate         float64       `default:"0" help:"Requests a second over all callers; 0 sends the next when the last has ended."`
	Prefixes     int           `default:"12" help:"Long shared prefixes, of which few are hot."`
	PrefixBytes  int           `default:"24000" help:"Length of a shared prefix."`
	Tokens       int           `default:"24" help:"Tokens of an answer."`
	Seed         uint64        `default:"1" help:"Seed of the choice of prompts."`
	Strict       bool          `help:"Fail if any request was refused, lost or answered wrongly."`
}

// Report is what a run printed.
type Report struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Refused requests were not run, after all tries.
	Refused int `json:"refused"`
	// Lost requests ended with another verdict.
	Lost int `json:"lost"`
	// Wrong answers were not whole or not the caller's own; there must be none.
	Wrong int `json:"wrong"`
	// Resumed counts streams that went on at another entry.
	Resumed int `json:"resumed"`
	// Retried counts tries after a refusal.
	Retried       int     `json:"retried"`
	HitRate       float64 `json:"prefix_hit_rate"`
	FirstTokenP50 float64 `json:"ttft_p50_ms"`
	FirstTokenP99 float64 `json:"ttft_p99_ms"`
	Seconds       float64 `json:"seconds"`
	Error         string  `json:"first_error,omitempty"`
}

// Run drives the load and prints a Report as JSON.
func (c *Cmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.MaxDuration)
	defer cancel()
	begun := time.Now()
	results := c.drive(ctx)
	report := summarise(results, time.Since(begun))
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return err
	}
	if c.Strict && report.Completed != report.Requests {
		return errors.Newf("%d of %d requests completed", report.Completed, report.Requests)
	}
	return nil
}

// drive sends all requests and returns their results.
func (c *Cmd) drive(ctx context.Context) []result {
	prompts := c.prompts()
	work := make(chan prompt)
	var mu sync.Mutex
	var results []result
	var group errgroup.Group
	for range max(1, c.Callers) {
		caller := &caller{cmd: c, http: &http.Client{Transport: &http.Transport{}}}
		group.Go(func() error {
			defer caller.http.CloseIdleConnections()
			for p := range work {
				r := caller.ask(ctx, p)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
			return nil
		})
	}
	c.feed(ctx, work, prompts)
	_ = group.Wait()
	return results
}

// feed hands out the prompts at the rate.
func (c *Cmd) feed(ctx context.Context, work chan<- prompt, prompts []prompt) {
	defer close(work)
	begun := time.Now()
	for i, p := range prompts {
		if c.Rate > 0 {
			due := begun.Add(time.Duration(float64(i) / c.Rate * float64(time.Second)))
			sleep(ctx, time.Until(due))
		}
		select {
		case work <- p:
		case <-ctx.Done():
			return
		}
	}
}

// prompt is a prompt of two levels.
type prompt struct{ prefix, question string }

// hotness is the exponent of the distribution over shared prefixes.
const hotness = 1.3

// prompts draws the prompts of a run from the seed.
func (c *Cmd) prompts() []prompt {
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	zipf := rand.NewZipf(rng, hotness, 1, uint64(max(1, c.Prefixes)-1))
	out := make([]prompt, c.Requests)
	for i := range out {
		n := zipf.Uint64()
		line := "Entry " + string(rune('a'+n%26)) + " of the case history; the lid was cleaned. "
		out[i] = prompt{
			prefix:   strings.Repeat(line, c.PrefixBytes/len(line)+1),
			question: "Question " + time.Duration(i).String() + "?",
		}
	}
	return out
}

func summarise(results []result, took time.Duration) Report {
	r := Report{Requests: len(results), Seconds: took.Seconds()}
	var first []time.Duration
	prompted, cached := 0, 0
	for _, x := range results {
		r.count(x)
		if x.state == completed {
			first = append(first, x.firstToken)
			prompted += x.answer.PromptTokens
			cached += x.answer.CachedTokens
		}
		if x.err != nil && r.Error == "" {
			r.Error = x.err.Error()
		}
	}
	if prompted > 0 {
		r.HitRate = float64(cached) / float64(prompted)
	}
	slices.Sort(first)
	r.FirstTokenP50 = percentile(first, 50)
	r.FirstTokenP99 = percentile(first, 99)
	return r
}

func (r *Report) count(x result) {
	r.Resumed += x.resumed
	r.Retried += x.retried
	switch x.state {
	case completed:
		r.Completed++
	case refused:
		r.Refused++
	case wrong:
		r.Wrong++
	default:
		r.Lost++
	}
}

// percentile returns the p-th percentile in milliseconds of sorted durations.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(len(sorted)-1, len(sorted)*p/100)
	return float64(sorted[at]) / float64(time.Millisecond)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

type state int8

const (
	lost state = iota
	completed
	refused
	wrong
)

// result is how one request ended.
type result struct {
	state      state
	answer     *client.Answer
	firstToken time.Duration
	resumed    int
	retried    int
	err        error
}
