package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/lab/service"
)

// Cmd is the command line of `lab demo`.
type Cmd struct {
	Once bool `help:"End after the demonstration instead of staying up until interrupted."`
}

const (
	stepTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	answerTokens = 12
)

// Run runs the demonstration and returns an error if a step fails or times out.
func (c *Cmd) Run() error {
	s, err := start()
	if err != nil {
		return err
	}
	if err := s.demonstrate(); err != nil {
		return errors.CombineErrors(err, s.close())
	}
	s.printAddresses()
	if !c.Once {
		fmt.Println("\nStaying up; interrupt to stop.")
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		<-ctx.Done()
		cancel()
	}
	return s.close()
}

func (s *system) demonstrate() error {
	ctx := context.Background()
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"The daemons start and find the platform and one another", s.awaitReady},
		{"An operator submits a document for each service", s.submitDocuments},
		{"A caller asks which entries to use", s.showEntries},
		{"A caller asks with a long shared prompt, twice, through different entries", s.askTwice},
		{"A caller places one order twice with one key", s.orderTwice},
	} {
		fmt.Printf("\n== %s\n", step.title)
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step.run(stepCtx)
		cancel()
		if err != nil {
			return errors.Wrap(err, step.title)
		}
	}
	return nil
}

func (s *system) operator(i int) *client.Operator {
	return &client.Operator{URL: "http://" + s.daemons[i].OperatorListen, Key: operatorKey}
}

func (s *system) caller(i int) *client.Caller {
	return &client.Caller{URL: "http://" + s.daemons[i].CallerAddress, Key: callerKey}
}

// await polls each daemon until ok holds there.
func (s *system) await(ctx context.Context, ok func(o *client.Operator) bool) error {
	for i := range s.daemons {
		for !ok(s.operator(i)) {
			select {
			case <-ctx.Done():
				return errors.Newf("daemon %s: condition not met in time", s.daemons[i].Name)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

func (s *system) awaitReady(ctx context.Context) error {
	err := s.await(ctx, func(o *client.Operator) bool {
		status, err := o.Status(ctx)
		return err == nil && status.Ready && len(status.Peers) == len(s.daemons)-1
	})
	if err == nil {
		fmt.Printf("%d daemons are ready and connected to one another\n", len(s.daemons))
	}
	return err
}

func (s *system) submitDocuments(ctx context.Context) error {
	sum := sha256.Sum256([]byte(callerKey))
	organisation := []servicedoc.Organisation{{Name: "granite-hollow", KeySHA256: []string{hex.EncodeToString(sum[:])}}}
	docs := []servicedoc.Document{
		{Service: ModelService, Kind: servicedoc.KindModel, Organisations: organisation, Models: []servicedoc.Model{{Name: "opal", Version: "1"}}},
		{Service: PlainService, Kind: servicedoc.KindPlain, Organisations: organisation},
	}
	for _, doc := range docs {
		body, err := json.MarshalIndent(doc, "", "  ")
		if err != nil {
			return err
		}
		a, err := s.operator(0).Submit(ctx, doc.Service, body, 0)
		if err != nil {
			return err
		}
		fmt.Printf("yes: %s is in force at revision %d\n", a.Service, a.Revision)
	}
	return s.await(ctx, s.seesAllServing)
}

// seesAllServing reports whether a daemon has both documents and sees every
// upstream in state "serving".
func (s *system) seesAllServing(o *client.Operator) bool {
	status, err := o.Status(context.Background())
	if err != nil || len(status.Documents) != 2 || len(status.Upstreams) != len(s.engines)+1 {
		return false
	}
	for _, u := range status.Upstreams {
		if u.State != "serving" {
			return false
		}
	}
	return true
}

func (s *system) showEntries(ctx context.Context) error {
	entries, err := s.caller(0).Entries(ctx, ModelService, "housatonic")
	if err != nil {
		return err
	}
	if len(entries.Entries) != len(s.daemons) {
		return errors.Newf("want %d entries, got %d", len(s.daemons), len(entries.Entries))
	}
	for _, e := range entries.Entries {
		fmt.Printf("%s in %s\n", e.Address, e.DataCentre)
	}
	return nil
}

func (s *system) askTwice(ctx context.Context) error {
	history := strings.Repeat("The left sleep eye sticks half closed; the wax was renewed in 1931. ", 600)
	for i, question := range []string{"Which glue was used?", "Will the eye move again?"} {
		fmt.Printf("entry %s: ", s.daemons[i].Name)
		a, err := s.caller(i).Chat(ctx, &client.ChatRequest{
			Service: ModelService, MaxTokens: answerTokens,
			Messages: []upstream.Message{{Role: "system", Content: history}, {Role: "user", Content: question}},
		}, func(piece string) { fmt.Print(piece) })
		if err != nil {
			return err
		}
		fmt.Printf("\n  engine %s, %d of %d prompt tokens from its cache\n", a.Engine, a.CachedTokens, a.PromptTokens)
		if !a.Complete || a.CompletionTokens != answerTokens {
			return errors.New("the answer is incomplete")
		}
		if i > 0 && a.CachedTokens == 0 {
			return errors.New("the second question got no cached tokens for the shared prompt")
		}
	}
	return nil
}

func (s *system) orderTwice(ctx context.Context) error {
	const key = "order-4711"
	for i := range 2 {
		reply, err := s.caller(i).Call(ctx, PlainService, http.MethodPost, "/orders", key, []byte(`{"part":"sleep eye, blue, 14 mm"}`))
		if err != nil {
			return err
		}
		var order service.Order
		if err := json.Unmarshal(reply.Body, &order); err != nil {
			return err
		}
		fmt.Printf("entry %s: order number %d\n", s.daemons[i].Name, order.Number)
	}
	runs := s.orderService.RunsByKey()[key]
	fmt.Printf("the service ran the order %d time(s)\n", runs)
	if runs != 1 {
		return errors.Newf("the order ran %d times", runs)
	}
	return nil
}

func (s *system) printAddresses() {
	fmt.Println("\n== Try it")
	for _, d := range s.daemons {
		fmt.Printf("%s: callers %s, operators %s\n", d.Name, d.CallerAddress, d.OperatorListen)
	}
	d := s.daemons[0]
	fmt.Printf("\ncurl http://%s/v1/entries\n", d.CallerAddress)
	fmt.Printf("curl -N http://%s/services/%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Which blue?\"}]}'\n",
		d.CallerAddress, ModelService, callerKey)
	fmt.Printf("go run ./cmd/verbenabend status --daemon http://%s --key %s\n", d.OperatorListen, operatorKey)
	_ = os.Stdout.Sync()
}
