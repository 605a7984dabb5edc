package load

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
	"github.com/verbenabend/verbenabend/lab/engine"
)

const (
	// maxAttempts limits the attempts of one request, including resumptions.
	maxAttempts = 12
	// minRetryDelay is the shortest delay before a retry.
	minRetryDelay = 50 * time.Millisecond
)

// caller is one caller with the entries that it uses.
type caller struct {
	cmd       *Cmd
	http      *http.Client
	entries   []string
	expiresAt time.Time
	nextEntry int
}

// entry returns the base URL to use next. It caches the entries response for its
// maximum age and uses the entries in turn.
func (c *caller) entry(ctx context.Context) string {
	if len(c.entries) == 0 || time.Now().After(c.expiresAt) {
		c.refresh(ctx)
	}
	c.nextEntry++
	if len(c.entries) == 0 {
		return c.cmd.Entry[c.nextEntry%len(c.cmd.Entry)]
	}
	return c.entries[c.nextEntry%len(c.entries)]
}

// dropEntry removes a failed entry until the next refresh.
func (c *caller) dropEntry(url string) {
	c.entries = slices.DeleteFunc(c.entries, func(x string) bool { return x == url })
}

func (c *caller) refresh(ctx context.Context) {
	for _, url := range c.cmd.Entry {
		out, err := (&client.Caller{URL: url, Key: c.cmd.Key, HTTP: c.http}).Entries(ctx, c.cmd.Service, "")
		if err != nil || len(out.Entries) == 0 {
			continue
		}
		c.entries = entryURLs(out)
		c.expiresAt = time.Now().Add(time.Duration(out.MaxAgeMS) * time.Millisecond)
		return
	}
}

func entryURLs(out *entry.Entries) []string {
	var urls []string
	for _, e := range out.Entries {
		urls = append(urls, "http://"+e.Address)
	}
	return urls
}

// ask sends a prompt and reads the response to its end. It retries refused requests
// and resumes interrupted streams at other entries, up to maxAttempts in all.
func (c *caller) ask(ctx context.Context, p prompt) result {
	q := &client.ChatRequest{
		Service: c.cmd.Service, MaxTokens: c.cmd.Tokens,
		Messages: []upstream.Message{{Role: "system", Content: p.prefix}, {Role: "user", Content: p.question}},
	}
	out := result{}
	startedAt := time.Now()
	text := ""
	onText := func(piece string) {
		if text == "" {
			out.timeToFirstToken = time.Since(startedAt)
		}
		text += piece
	}
	for range maxAttempts {
		url := c.entry(ctx)
		answer, err := (&client.Caller{URL: url, Key: c.cmd.Key, HTTP: c.http}).Chat(ctx, q, onText)
		if err == nil {
			out.answer, out.err = answer, nil
			out.state = c.checkAnswer(p, text)
			return out
		}
		out.err = err
		if e, ok := verdict.As(err); ok && (e.Code == verdict.CodeUpstreamFailed || errors.Is(err, client.ErrStreamInterrupted)) {
			c.dropEntry(url)
		}
		if !c.prepareRetry(ctx, q, answer, err, &out) {
			break
		}
	}
	return out
}

// prepareRetry records the attempt's failure in out, waits before a retry of a refused
// or failed request, and reports whether to try again.
func (c *caller) prepareRetry(ctx context.Context, q *client.ChatRequest, answer *client.ChatResponse, err error, out *result) bool {
	if answer != nil && answer.LastEventID != "" {
		q.LastEventID = answer.LastEventID
	}
	e, _ := verdict.As(err)
	out.state = lost
	if verdict.Of(err) == verdict.NotRun {
		out.state = refused
	}
	switch {
	case ctx.Err() != nil, e == nil && answer == nil:
		return false
	case answer != nil:
		// A stream whose connection broke is resumed at another entry. A failure
		// that the system reported within the stream is final.
		out.resumeCount++
		return errors.Is(err, client.ErrStreamInterrupted)
	case out.state == refused, e.Code == verdict.CodeUpstreamFailed:
		out.retryCount++
		sleep(ctx, max(e.RetryAfter, minRetryDelay))
		return true
	}
	return false
}

// checkAnswer compares the text with the stand-in engine's answer to the prompt.
func (c *caller) checkAnswer(p prompt, text string) state {
	if text == engine.AnswerText(c.cmd.Organisation, []string{p.prefix, p.question}, c.cmd.Tokens) {
		return completed
	}
	return wrong
}
