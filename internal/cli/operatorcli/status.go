package operatorcli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/entry"
)

type statusCmd struct {
	operatorFlags `embed:""`
	JSON          bool `name:"json" help:"Print the status as JSON."`
}

// Run prints a daemon's status. A daemon that is not ready is not an error.
func (c *statusCmd) Run() error {
	s, err := firstReachable(&c.operatorFlags, func(o *client.Operator) (*entry.Status, error) { return o.Status(context.Background()) })
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	printStatus(s)
	return nil
}

func printStatus(s *entry.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	state := "ready"
	if !s.Ready {
		state = "not ready: " + strings.Join(s.NotReady, "; ")
	}
	fmt.Fprintf(w, "daemon\t%s\t%s\t%s\n", s.Daemon, s.DataCentre, state)
	fmt.Fprintf(w, "platform\t%s\n", choose(s.PlatformUp, "reachable", "unreachable"))
	fmt.Fprintf(w, "in flight\t%d\n", s.InFlight)
	for _, p := range s.Peers {
		fmt.Fprintf(w, "peer\t%s\t%s\t%s\t%s\n", p.Name, p.DataCentre, p.CallerAddress, choose(p.Draining, "draining", "serving"))
	}
	for _, d := range s.Documents {
		fmt.Fprintf(w, "document\t%s\trevision %d\n", d.Service, d.Revision)
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "upstream\t%s\t%s\t%s\t%s\t%s\trunning %d, queued %d\n",
			u.Address, u.Service, u.DataCentre, u.State, strings.Join(u.Weights, ","), u.Running, u.Queued)
	}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// callerFlags select the entry instance to call as a caller.
type callerFlags struct {
	Entry string `env:"VERBENABEND_ENTRY" default:"http://127.0.0.1:7011" placeholder:"URL" help:"URL of a daemon's caller listener. Also VERBENABEND_ENTRY."`
	Key   string `env:"VERBENABEND_CALLER_KEY" placeholder:"KEY" help:"Organisation's key. Also VERBENABEND_CALLER_KEY."`
}

func (f *callerFlags) client() *client.Caller { return &client.Caller{URL: f.Entry, Key: f.Key} }

type entriesCmd struct {
	callerFlags `embed:""`
	Service     string `arg:"" help:"Name of the service."`
	DataCentre  string `placeholder:"NAME" help:"Data centre of the caller."`
	JSON        bool   `name:"json" help:"Print the entries as JSON."`
}

// Run prints the addresses of the entries that callers are told to use.
func (c *entriesCmd) Run() error {
	out, err := c.client().Entries(context.Background(), c.Service, c.DataCentre)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out)
	}
	for _, e := range out.Entries {
		fmt.Printf("%s %s\n", e.Address, e.DataCentre)
	}
	return nil
}
