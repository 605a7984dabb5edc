// Package capacity measures the unit costs from which docs/CAPACITY.md is computed:
// bytes, processor time and connections of gossip between a few daemons over
// loopback, the memory of a daemon's state, and the cost of single calls.
package capacity

import (
	"encoding/json"
	"io"
	"os"
	"time"
)

// Cmd is the command line of `lab capacity`.
type Cmd struct {
	Nodes   []int         `default:"3,6,12,24" help:"Numbers of gossip nodes."`
	Engines []int         `default:"0,120" help:"Numbers of engines whose state the nodes tell."`
	Load    bool          `default:"true" negatable:"" help:"Measure with load figures too."`
	Warmup  time.Duration `default:"10s" help:"Time before each measurement."`
	Time    time.Duration `default:"20s" help:"Time of each measurement."`
	Memory  bool          `help:"Measure memory and single calls only."`
}

// result is one line of output.
type result struct {
	What    string `json:"what"`
	Daemons int    `json:"daemons,omitempty"`
	Engines int    `json:"engines,omitempty"`
	// WithLoad says whether the daemons published load figures.
	WithLoad bool `json:"load,omitempty"`
	// SentBytesPerSecond is what one daemon sends, without TCP and IP headers.
	SentBytesPerSecond float64 `json:"sent_bytes_per_second,omitempty"`
	// CPUMicrosPerSecond is the processor time of one daemon in microseconds per second.
	CPUMicrosPerSecond float64 `json:"cpu_us_per_second,omitempty"`
	Connections        float64 `json:"connections,omitempty"`
	// BytesEach is the heap or encoded size of one item, or the bytes that one call
	// sends and receives.
	BytesEach float64 `json:"bytes_each,omitempty"`
	// CPUMicrosEach is the processor time of one call at both ends, in microseconds.
	CPUMicrosEach float64 `json:"cpu_us_each,omitempty"`
}

// Run runs the measurements and prints one JSON object per line to standard output.
func (c *Cmd) Run() error { return c.run(os.Stdout) }

func (c *Cmd) run(w io.Writer) error {
	out := json.NewEncoder(w)
	callResults, err := measureCalls()
	if err != nil {
		return err
	}
	for _, r := range append(measureMemory(), callResults...) {
		if err := out.Encode(r); err != nil {
			return err
		}
	}
	if c.Memory {
		return nil
	}
	for _, nodes := range c.Nodes {
		for _, facts := range c.factSets() {
			r, err := measureGossip(nodes, facts, c.Warmup, c.Time)
			if err != nil {
				return err
			}
			if err := out.Encode(r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cmd) factSets() []publishedFacts {
	var out []publishedFacts
	for _, e := range c.Engines {
		out = append(out, publishedFacts{engines: e})
	}
	if c.Load {
		out = append(out, publishedFacts{loadFigures: true})
	}
	return out
}
