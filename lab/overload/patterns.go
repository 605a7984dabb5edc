package overload

import (
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Patterns returns the load patterns: three mixes of priority, deadline and work behind
// one daemon, and two fleets of many daemons whose own queues are nearly always empty.
func Patterns() []Pattern {
	const ms = time.Millisecond
	return []Pattern{
		// Long less urgent prompts beside short urgent ones.
		{Name: "priorities", Daemons: 1, Engines: 4, Slots: 8, MemoryTokens: 140_000, Kinds: []Kind{
			{Name: "short", Route: "ask", Priority: 0, Organisation: "a", OwnTokens: 400, OutputTokens: 40, PerSecond: 60, Goal: 400 * ms, Deadline: 4000 * ms},
			{Name: "long", Route: "review", Priority: 2, Organisation: "b", OwnTokens: 17_000, OutputTokens: 100, PerSecond: 25, Goal: 1200 * ms, Deadline: 6000 * ms},
		}},
		// Equal priorities and work with different goals and deadlines.
		{Name: "deadlines", Daemons: 1, Engines: 4, Slots: 5, MemoryTokens: 140_000, Kinds: []Kind{
			{Name: "soon", Route: "ask", Priority: 1, Organisation: "a", OwnTokens: 2_000, OutputTokens: 60, PerSecond: 48, Goal: 500 * ms, Deadline: 2000 * ms},
			{Name: "later", Route: "sort", Priority: 1, Organisation: "a", OwnTokens: 2_000, OutputTokens: 60, PerSecond: 48, Goal: 4000 * ms, Deadline: 12_000 * ms},
		}},
		// Equal deadlines with very different work, and an organisation that sends little.
		{Name: "work", Daemons: 1, Engines: 4, Slots: 5, MemoryTokens: 140_000, Kinds: []Kind{
			{Name: "little", Route: "ask", Priority: 1, Organisation: "a", OwnTokens: 500, OutputTokens: 20, PerSecond: 100, Goal: 800 * ms, Deadline: 5000 * ms},
			{Name: "much", Route: "ask", Priority: 1, Organisation: "a", OwnTokens: 16_000, OutputTokens: 300, PerSecond: 11, Goal: 800 * ms, Deadline: 5000 * ms},
			{Name: "rare", Route: "ask", Priority: 1, Organisation: "b", OwnTokens: 16_000, OutputTokens: 300, PerSecond: 0.5, Goal: 800 * ms, Deadline: 5000 * ms},
		}},
		// 78 daemons, with the load of deployment L.
		{Name: "fleet-l", Daemons: 78, Engines: 56, Slots: 12, MemoryTokens: 142_262, Kinds: []Kind{
			{Name: "short", Route: "ask", Priority: 0, Organisation: "a", SharedTokens: 92, OwnTokens: 291, SharedPrompts: 5, OutputTokens: 60, PerSecond: 686, Goal: 400 * ms, Deadline: 4000 * ms},
			{Name: "long", Route: "review", Priority: 2, Organisation: "b", SharedTokens: 13_300, OwnTokens: 3_720, SharedPrompts: 300, OutputTokens: 300, PerSecond: 90, Goal: 1200 * ms, Deadline: 6000 * ms},
		}},
		// 90 daemons, with the load of deployment M.
		{Name: "fleet-m", Daemons: 90, Engines: 60, Slots: 24, MemoryTokens: 165_732, Kinds: []Kind{
			{Name: "short", Route: "ask", Priority: 0, Organisation: "a", SharedTokens: 92, OwnTokens: 291, SharedPrompts: 5, OutputTokens: 60, PerSecond: 664, Goal: 400 * ms, Deadline: 4000 * ms},
			{Name: "long", Route: "review", Priority: 1, Organisation: "b", SharedTokens: 13_300, OwnTokens: 3_720, SharedPrompts: 550, OutputTokens: 300, PerSecond: 98, Goal: 600 * ms, Deadline: 8000 * ms},
		}},
		// Deployment M after a power loss of all daemons: callers of the last seconds return.
		{Name: "restart-m", Daemons: 90, Engines: 60, Slots: 24, MemoryTokens: 165_732, Backlog: 4 * time.Second, Kinds: []Kind{
			{Name: "short", Route: "ask", Priority: 0, Organisation: "a", SharedTokens: 92, OwnTokens: 291, SharedPrompts: 5, OutputTokens: 60, PerSecond: 664, Goal: 400 * ms, Deadline: 4000 * ms},
			{Name: "long", Route: "review", Priority: 1, Organisation: "b", SharedTokens: 13_300, OwnTokens: 3_720, SharedPrompts: 550, OutputTokens: 300, PerSecond: 98, Goal: 600 * ms, Deadline: 8000 * ms},
		}},
	}
}

// Cmd is the command line of `lab overload`.
type Cmd struct {
	Pattern  []string      `help:"Load patterns to play; default all." placeholder:"NAME"`
	Seed     uint64        `default:"1" help:"Seed."`
	Load     float64       `default:"1" help:"Factor on the rates of the patterns."`
	Duration time.Duration `default:"30s" help:"Virtual time of the load."`
}

// Run prints the outcomes with triage off and on.
func (c *Cmd) Run() error { return c.run(os.Stdout) }

func (c *Cmd) run(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "pattern\ttriage\tkind\tsent\ton time\tlate\tmissed\trefused\trefusals\tpreemptions\tvalue\t")
	for _, p := range Patterns() {
		if len(c.Pattern) > 0 && !slices.Contains(c.Pattern, p.Name) {
			continue
		}
		p.Seed, p.Duration = c.Seed, c.Duration
		for i := range p.Kinds {
			p.Kinds[i].PerSecond *= c.Load
		}
		for _, triaged := range []bool{false, true} {
			outcomes, reasons := p.Run(triaged)
			for i := range p.Kinds {
				o := outcomes[p.Kinds[i].Name]
				fmt.Fprintf(table, "%s\t%t\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n", p.Name, triaged, p.Kinds[i].Name, o.Sent, o.OnTime, o.Late, o.Missed, o.Refused, o.Refusals, o.Preemptions, o.Value())
			}
			if triaged {
				fmt.Fprintf(table, "%s\t\t%v\t\n", p.Name, reasons)
			}
		}
	}
	return errors.Wrap(table.Flush(), "write the table")
}
