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
	// maxTries bounds the tries of one request, resumptions included.
	maxTries = 12
	// defaultRetryAfter is the pause after a refusal that names none.
	defaultRetryAfter = 50 * time.Millisecond
)

// caller is one caller with the entries that it was told to use.
type caller struct {
	cmd     *Cmd
	http    *http.Client
	entries []string
	until   time.Time
	next    int
}

// entry returns the base URL to use now. The answer of the system is kept as
// long as the system said; further calls go round its entries.
func (c *caller) entry(ctx context.Context) string {
	if len(c.entries) == 0 || time.Now().After(c.until) {
		c.refresh(ctx)
	}
	c.next++
	if len(c.entries) == 0 {
		return c.cmd.Entry[c.next%len(c.cmd.Entry)]
	}
	return c.entries[c.next%len(c.entries)]
}

// drop leaves out an entry that did not answer until the next refresh.
func (c *caller) drop(url string) {
	c.entries = slices.DeleteFunc(c.entries, func(x string) bool { return x == url })
}

func (c *caller) refresh(ctx context.Context) {
	for _, url := range c.cmd.Entry {
		out, err := (&client.Caller{URL: url, Key: c.cmd.Key, HTTP: c.http}).Entries(ctx, c.cmd.Service, "")
		if err != nil || len(out.Entries) == 0 {
			continue
		}
		c.entries = entryURLs(out)
		c.until = time.Now().Add(time.Duration(out.MaxAgeMS) * time.Millisecond)
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

// ask sends a prompt and follows its answer to the end, over as many entries
// as it takes.
func (c *caller) ask(ctx context.Context, p prompt) result {
	q := &client.Question{
		Service: c.cmd.Service, MaxTokens: c.cmd.Tokens,
		Messages: []upstream.Message{{Role: "system", Content: p.prefix}, {Role: "user", Content: p.question}},
	}
	out := result{}
	begun := time.Now()
	text := ""
	note := func(piece string) {
		if text == "" {
			out.firstToken = time.Since(begun)
		}
		text += piece
	}
	for range maxTries {
		url := c.entry(ctx)
		answer, err := (&client.Caller{URL: url, Key: c.cmd.Key, HTTP: c.http}).Ask(ctx, q, note)
		if err == nil {
			out.answer, out.err = answer, nil
			out.state = c.judge(p, text)
			return out
		}
		out.err = err
		if e, ok := verdict.As(err); ok && (e.Code == verdict.CodeUpstreamFailed || errors.Is(err, client.ErrStreamCut)) {
			c.drop(url)
		}
		if !c.again(ctx, q, answer, err, &out) {
			break
		}
	}
	return out
}

// again prepares the next try after err and reports whether there is one.
func (c *caller) again(ctx context.Context, q *client.Question, answer *client.Answer, err error, out *result) bool {
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
		// The connection broke within the stream; it goes on elsewhere. A failure
		// that the system itself reported there is final.
		out.resumed++
		return errors.Is(err, client.ErrStreamCut)
	case out.state == refused, e.Code == verdict.CodeUpstreamFailed:
		out.retried++
		sleep(ctx, max(e.RetryAfter, defaultRetryAfter))
		return true
	}
	return false
}

// judge compares the text with the only right answer.
func (c *caller) judge(p prompt, text string) state {
	if text == engine.AnswerText(c.cmd.Organisation, []string{p.prefix, p.question}, c.cmd.Tokens) {
		return completed
	}
	return wrong
}
