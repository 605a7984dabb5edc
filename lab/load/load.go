// Package load generates load on a running system as its callers would. Each caller
// fetches and caches the list of entries, sends nested prompts, resumes interrupted
// streams at other entries, and checks that each response is complete and belongs to
// its own prompt. It requires the stand-in engines, whose responses are predictable.
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

// Report holds the figures of one run.
type Report struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Refused requests ended with the verdict not-run after all attempts.
	Refused int `json:"refused"`
	// Lost requests ended with another verdict or without one.
	Lost int `json:"lost"`
	// Wrong responses were incomplete or belonged to another request; any is a fault
	// of the system.
	Wrong int `json:"wrong"`
	// Resumed counts attempts that broke off within the stream.
	Resumed int `json:"resumed"`
	// Retried counts retries after a refusal or an upstream's failure.
	Retried       int     `json:"retried"`
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	TTFTp50       float64 `json:"ttft_p50_ms"`
	TTFTp99       float64 `json:"ttft_p99_ms"`
	Seconds       float64 `json:"seconds"`
	Error         string  `json:"first_error,omitempty"`
}

// Run generates the load and prints a Report as JSON. With Strict, it returns an
// error unless all requests completed.
func (c *Cmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.MaxDuration)
	defer cancel()
	startedAt := time.Now()
	results := c.sendAll(ctx)
	report := summarise(results, time.Since(startedAt))
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return err
	}
	if c.Strict && report.Completed != report.Requests {
		return errors.Newf("only %d of %d requests completed; see the counts and first_error in the report", report.Completed, report.Requests)
	}
	return nil
}

// sendAll sends all requests and returns their results.
func (c *Cmd) sendAll(ctx context.Context) []result {
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
	c.dispatchPrompts(ctx, work, prompts)
	_ = group.Wait()
	return results
}

// dispatchPrompts sends the prompts to work at the configured rate and closes it.
func (c *Cmd) dispatchPrompts(ctx context.Context, work chan<- prompt, prompts []prompt) {
	defer close(work)
	startedAt := time.Now()
	for i, p := range prompts {
		if c.Rate > 0 {
			due := startedAt.Add(time.Duration(float64(i) / c.Rate * float64(time.Second)))
			sleep(ctx, time.Until(due))
		}
		select {
		case work <- p:
		case <-ctx.Done():
			return
		}
	}
}

// prompt is a prompt of two levels: a shared prefix and a unique question.
type prompt struct{ prefix, question string }

// zipfExponent is the exponent of the Zipf distribution over shared prefixes.
const zipfExponent = 1.3

// prompts draws the prompts of a run from the seed.
func (c *Cmd) prompts() []prompt {
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	zipf := rand.NewZipf(rng, zipfExponent, 1, uint64(max(1, c.Prefixes)-1))
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

func summarise(results []result, elapsed time.Duration) Report {
	r := Report{Requests: len(results), Seconds: elapsed.Seconds()}
	var timesToFirstToken []time.Duration
	promptTokens, cachedTokens := 0, 0
	for _, x := range results {
		r.count(x)
		if x.state == completed {
			timesToFirstToken = append(timesToFirstToken, x.timeToFirstToken)
			promptTokens += x.answer.PromptTokens
			cachedTokens += x.answer.CachedTokens
		}
		if x.err != nil && r.Error == "" {
			r.Error = x.err.Error()
		}
	}
	if promptTokens > 0 {
		r.PrefixHitRate = float64(cachedTokens) / float64(promptTokens)
	}
	slices.Sort(timesToFirstToken)
	r.TTFTp50 = percentile(timesToFirstToken, 50)
	r.TTFTp99 = percentile(timesToFirstToken, 99)
	return r
}

func (r *Report) count(x result) {
	r.Resumed += x.resumeCount
	r.Retried += x.retryCount
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

// percentile returns the p-th percentile of sorted durations in milliseconds, p being
// between 0 and 100.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(len(sorted)-1, len(sorted)*p/100)
	return float64(sorted[index]) / float64(time.Millisecond)
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
	state            state
	answer           *client.ChatResponse
	timeToFirstToken time.Duration
	resumeCount      int
	retryCount       int
	err              error
}
