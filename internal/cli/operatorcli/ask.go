package operatorcli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

type askCmd struct {
	callerFlags `embed:""`
	Service     string   `arg:"" help:"Name of the service."`
	Question    string   `arg:"" help:"The last level of the prompt."`
	Context     []string `placeholder:"FILE" type:"existingfile" help:"Files that come before the question, one level each."`
	Class       string   `help:"Class of work, such as interactive or deferrable."`
	Model       string   `help:"Model; default is the service's first."`
	MaxTokens   int      `help:"Bound on the answer's tokens."`
	JSON        bool     `name:"json" help:"Print the whole answer as JSON instead of streaming its text."`
}

// Run asks and prints the answer as it comes.
func (c *askCmd) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	q := &client.Question{Service: c.Service, Class: c.Class, Model: c.Model, MaxTokens: c.MaxTokens}
	for _, file := range c.Context {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read context")
		}
		q.Messages = append(q.Messages, upstream.Message{Role: "system", Content: string(text)})
	}
	q.Messages = append(q.Messages, upstream.Message{Role: "user", Content: c.Question})
	var piece func(string)
	if !c.JSON {
		piece = func(text string) { fmt.Print(text) }
	}
	a, err := c.client().Ask(ctx, q, piece)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(a)
	}
	fmt.Fprintf(os.Stderr, "\nengine %s, %d of %d prompt tokens cached, %d tokens generated\n", a.Engine, a.CachedTokens, a.PromptTokens, a.CompletionTokens)
	return nil
}
