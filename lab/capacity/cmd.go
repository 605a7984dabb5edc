// Package capacity measures the slopes from which docs/CAPACITY.md is worked
// out: bytes, processor time and memory of gossip for a few daemons over
// loopback, and the memory of what a daemon keeps.
package capacity

import (
	"encoding/json"
	"io"
	"os"
	"time"
)

// Cmd runs all measurements and prints one JSON object a line.
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
	// Load tells whether load figures were published.
	Load bool `json:"load,omitempty"`
	// SentBytes is what one daemon sends a second, frames without TCP and IP headers.
	SentBytes float64 `json:"sent_bytes_per_second,omitempty"`
	// CPUMicros is the processor time of one daemon a second, in microseconds.
	CPUMicros   float64 `json:"cpu_us_per_second,omitempty"`
	Connections float64 `json:"connections,omitempty"`
	// Bytes is the heap that one item takes, or what one call sends and receives.
	Bytes float64 `json:"bytes_each,omitempty"`
	// CallMicros is the processor time of one call, both ends, in microseconds.
	CallMicros float64 `json:"cpu_us_each,omitempty"`
}

// Run prints the results to standard output.
func (c *Cmd) Run() error { return c.run(os.Stdout) }

func (c *Cmd) run(w io.Writer) error {
	out := json.NewEncoder(w)
	small, err := calls()
	if err != nil {
		return err
	}
	for _, r := range append(memory(), small...) {
		if err := out.Encode(r); err != nil {
			return err
		}
	}
	if c.Memory {
		return nil
	}
	for _, nodes := range c.Nodes {
		for _, t := range c.traffic() {
			r, err := measureGossip(nodes, t, c.Warmup, c.Time)
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

func (c *Cmd) traffic() []traffic {
	var out []traffic
	for _, e := range c.Engines {
		out = append(out, traffic{engines: e})
	}
	if c.Load {
		out = append(out, traffic{load: true})
	}
	return out
}
