package operatorcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/gateway"
)

const (
	explainTimeout       = 5 * time.Second
	maxExplanationsBytes = 1 << 20
)

type explainCmd struct {
	Metrics string            `env:"VERBENABEND_METRICS" default:"http://127.0.0.1:9464" placeholder:"URL" help:"URL of a gateway daemon's metrics listener. Also VERBENABEND_METRICS."`
	Host    string            `arg:"" help:"Host of the request."`
	Path    string            `arg:"" help:"Path of the request."`
	Header  map[string]string `short:"H" mapsep:"none" placeholder:"NAME=VALUE" help:"A header of the request, as the caller sends it; repeatable."`
	JSON    bool              `name:"json" help:"Print the explanation as JSON."`
}

// Run prints where the request would go now. It is an error if it would be refused.
func (c *explainCmd) Run() error {
	x, err := c.ask()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(x)
	}
	printExplanation(os.Stdout, x)
	if x.Refusal != nil {
		return errors.Newf("the request would be refused: %s", x.Refusal.Code)
	}
	return nil
}

func (c *explainCmd) ask() (*gateway.ExplainResponse, error) {
	body, err := json.Marshal(gateway.ExplainRequest{Host: c.Host, Path: c.Path, Header: c.Header})
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(c.Metrics, "/")+gateway.ExplainPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "ask the daemon")
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationsBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the explanation")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("the daemon answered with status %d: %s", resp.StatusCode, strings.TrimSpace(string(content)))
	}
	x := &gateway.ExplainResponse{}
	return x, errors.Wrap(json.Unmarshal(content, x), "decode the explanation")
}

func printExplanation(out io.Writer, x *gateway.ExplainResponse) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "daemon\t%s\n", x.Daemon)
	if x.Route != "" {
		fmt.Fprintf(w, "route\t%s\tservice %s, desired state %d, at most %.0f ms, priority %d\n", x.Route, x.Service, x.Revision, x.TimeLimitMs, x.Priority)
	}
	if x.Organisation != "" {
		fmt.Fprintf(w, "organisation\t%s\n", x.Organisation)
	}
	if q := x.Quota; q != nil {
		fmt.Fprintf(w, "quota\t%.0f %s a second, burst %.0f\tthis request %.0f, held by this daemon %.0f, counted by %s\n", q.PerSecond, q.Unit, q.Burst, q.Cost, q.HeldHere, q.CountedBy)
	}
	for _, c := range x.Candidates {
		switch {
		case c.Excluded != "":
			fmt.Fprintf(w, "candidate\t%s\t%s\tnot now: %s\n", c.Upstream, c.DataCentre, c.Excluded)
		default:
			fmt.Fprintf(w, "candidate\t%s\t%s\t%s: %s\n", c.Upstream, c.DataCentre, choose(c.Room, "has room", "has no room"), c.Reasons)
		}
	}
	if x.State != "" {
		fmt.Fprintf(w, "daemon's state\t%s\n", x.State)
	}
	switch {
	case x.Refusal != nil:
		fmt.Fprintf(w, "decision\trefused: %s\t%s, retry after %.0f ms\n", x.Refusal.Code, x.Refusal.Message, x.Refusal.RetryAfterMs)
	case x.Upstream == "":
		fmt.Fprintf(w, "decision\twaits in the daemon until an upstream has room\n")
	case x.WaitsFor:
		fmt.Fprintf(w, "decision\twaits for a better upstream than %s\n", x.Upstream)
	case x.FetchFrom != "":
		fmt.Fprintf(w, "decision\t%s\tfetches cached parts from %s\n", x.Upstream, x.FetchFrom)
	default:
		fmt.Fprintf(w, "decision\t%s\n", x.Upstream)
	}
}
