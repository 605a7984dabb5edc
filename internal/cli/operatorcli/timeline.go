package operatorcli

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

type timelineCmd struct {
	operatorFlags `embed:""`
	Service       string        `help:"Only events of this service."`
	Request       string        `help:"Only events of this request id."`
	Event         []int         `help:"Only events with these numbers."`
	Since         time.Duration `default:"1h" help:"How far back to look."`
	JSON          bool          `name:"json" help:"Print one JSON object a line."`
}

// Run merges the events of all daemons given with --daemon.
func (c *timelineCmd) Run() error {
	ctx := context.Background()
	since := time.Now().Add(-c.Since)
	var lists [][]eventlog.Entry
	for _, o := range c.clients() {
		t, err := o.Timeline(ctx, since)
		if err != nil {
			fmt.Fprintf(os.Stderr, "missing: %s: %v\n", o.URL, err)
			continue
		}
		lists = append(lists, t.Events)
	}
	if len(lists) == 0 {
		return errors.New("no daemon can be reached")
	}
	for _, e := range eventlog.Merge(lists...) {
		if c.wants(e) {
			c.print(e)
		}
	}
	return nil
}

func (c *timelineCmd) wants(e eventlog.Entry) bool {
	return (c.Service == "" || e.Service == c.Service) &&
		(c.Request == "" || e.RequestID == c.Request) &&
		(len(c.Event) == 0 || slices.Contains(c.Event, int(e.ID)))
}

func (c *timelineCmd) print(e eventlog.Entry) {
	if c.JSON {
		_ = eventlog.WriteJSON(os.Stdout, e)
		return
	}
	details := []string{}
	for _, s := range []string{e.Service, e.RequestID, e.Upstream, e.Detail} {
		if s != "" {
			details = append(details, s)
		}
	}
	fmt.Printf("%s %s %d %s: %s\n", e.At, e.Daemon, e.ID, e.Text, strings.Join(details, " "))
}
