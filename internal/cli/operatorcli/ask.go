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
	Question    string   `arg:"" help:"Text of the prompt's last message."`
	Context     []string `placeholder:"FILE" type:"existingfile" help:"Files sent before the question, one system message each."`
	Class       string   `help:"Priority class, such as interactive or deferrable."`
	Model       string   `help:"Model. Default: the service's first."`
	MaxTokens   int      `help:"Maximum number of output tokens."`
	JSON        bool     `name:"json" help:"Print the complete answer as JSON instead of streaming its text."`
}

// Run sends the question and prints the answer as it streams.
func (c *askCmd) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	q := &client.ChatRequest{Service: c.Service, Class: c.Class, Model: c.Model, MaxTokens: c.MaxTokens}
	for _, file := range c.Context {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read context file")
		}
		q.Messages = append(q.Messages, upstream.Message{Role: "system", Content: string(text)})
	}
	q.Messages = append(q.Messages, upstream.Message{Role: "user", Content: c.Question})
	var onText func(string)
	if !c.JSON {
		onText = func(text string) { fmt.Print(text) }
	}
	a, err := c.client().Chat(ctx, q, onText)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(a)
	}
	fmt.Fprintf(os.Stderr, "\nengine %s, %d of %d prompt tokens cached, %d tokens generated\n", a.Engine, a.CachedTokens, a.PromptTokens, a.CompletionTokens)
	return nil
}
