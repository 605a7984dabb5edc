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
	From          []string      `type:"existingfile" help:"Read events from these log files instead of from daemons."`
	Service       string        `help:"Only events of this service."`
	Request       string        `help:"Only events of the request with this ID."`
	Event         []int         `help:"Only events with these numbers."`
	Since         time.Duration `default:"1h" help:"Maximum age of the events that daemons return."`
	JSON          bool          `name:"json" help:"Print one JSON object per line."`
}

// Run merges the events of all daemons given with --daemon, or of all files
// given with --from, in causal order.
func (c *timelineCmd) Run() error {
	lists, err := c.read()
	if err != nil {
		return err
	}
	for _, e := range eventlog.Merge(lists...) {
		if c.matches(e) {
			c.print(e)
		}
	}
	return nil
}

func (c *timelineCmd) read() ([][]eventlog.Entry, error) {
	if len(c.From) > 0 {
		return readFiles(c.From)
	}
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
		return nil, errors.New("no daemon returned its events; check --daemon and --key")
	}
	return lists, nil
}

// readFiles returns the events in log files. A file without events is an error.
func readFiles(names []string) ([][]eventlog.Entry, error) {
	var lists [][]eventlog.Entry
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log file")
		}
		events, skipped, err := eventlog.ReadLines(file)
		file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read log file %s", name)
		}
		if len(events) == 0 {
			return nil, errors.Newf("file %s holds no event; want log lines that a daemon wrote in JSON format", name)
		}
		if skipped > 0 {
			fmt.Fprintf(os.Stderr, "skipped: %s: %d lines without an event\n", name, skipped)
		}
		lists = append(lists, events)
	}
	return lists, nil
}

func (c *timelineCmd) matches(e eventlog.Entry) bool {
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
	for _, s := range []string{e.Service, e.Route, e.Organisation, e.RequestID, e.Upstream, e.Detail} {
		if s != "" {
			details = append(details, s)
		}
	}
	if e.Revision > 0 {
		details = append(details, fmt.Sprintf("(revision %d)", e.Revision))
	}
	fmt.Printf("%s %s %d %s: %s\n", e.At, e.Daemon, e.ID, e.Text, strings.Join(details, " "))
}
