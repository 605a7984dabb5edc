// Command lab runs stand-ins for the systems around verbenabend, and tools that
// load and measure it. It is not part of a release.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	port "github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/lab/capacity"
	"github.com/verbenabend/verbenabend/lab/demo"
	"github.com/verbenabend/verbenabend/lab/engine"
	"github.com/verbenabend/verbenabend/lab/load"
	"github.com/verbenabend/verbenabend/lab/measure"
	"github.com/verbenabend/verbenabend/lab/overload"
	"github.com/verbenabend/verbenabend/lab/platform"
	"github.com/verbenabend/verbenabend/lab/service"
)

type commands struct {
	Demo     demo.Cmd     `cmd:"" help:"Run a small system in this process and show what it does."`
	Platform platformCmd  `cmd:"" help:"Run a stand-in platform."`
	Engine   engineCmd    `cmd:"" help:"Run a stand-in model engine."`
	Service  serviceCmd   `cmd:"" help:"Run a stand-in plain service."`
	Load     load.Cmd     `cmd:"" help:"Put a running system under load and check every answer."`
	Get      getCmd       `cmd:"" help:"Print the response body of a GET request."`
	Capacity capacity.Cmd `cmd:"" help:"Measure what gossip and a daemon's state cost, for docs/CAPACITY.md."`
	Measure  measure.Cmd  `cmd:"" help:"Measure the decisions against engine models in virtual time."`
	Overload overload.Cmd `cmd:"" help:"Play loads beyond the capacity of engines with triage off and on, in virtual time."`
}

type platformCmd struct {
	Listen    string `default:"127.0.0.1:7100" help:"Address to listen on."`
	Instances string `placeholder:"FILE" help:"JSON list of instances."`
}

// Run serves until the process ends.
func (c *platformCmd) Run() error {
	var instances []port.Instance
	if c.Instances != "" {
		if err := readJSON(c.Instances, &instances); err != nil {
			return err
		}
	}
	return serve(c.Listen, platform.New(instances))
}

type engineCmd struct {
	Listen        string        `default:"127.0.0.1:7200" help:"Address to listen on."`
	Weights       []string      `default:"opal@1" help:"Weights that are loaded at the start."`
	Slots         int           `default:"8" help:"Concurrent generations."`
	CachePieces   int           `default:"4000" help:"Size of the prefix cache in blocks."`
	TokenInterval time.Duration `default:"2ms" help:"Time between two tokens."`
	LoadTime      time.Duration `default:"1s" help:"Time to load weights."`
	IgnoreFence   bool          `help:"Accept orders with any fencing token."`
	ExitOnCrash   bool          `help:"End the process where the engine crashes."`
}

// Run serves until the process ends.
func (c *engineCmd) Run() error {
	e := engine.New(engine.Config{
		Weights: c.Weights, Slots: c.Slots, CacheBlocks: c.CachePieces,
		TokenInterval: c.TokenInterval, LoadTime: c.LoadTime, IgnoreFence: c.IgnoreFence,
	})
	if c.ExitOnCrash {
		e.OnCrash = func() { os.Exit(exitFailed) }
	}
	return serve(c.Listen, e)
}

type serviceCmd struct {
	Listen string `default:"127.0.0.1:7300" help:"Address to listen on."`
}

// Run serves until the process ends.
func (c *serviceCmd) Run() error { return serve(c.Listen, service.New()) }

type getCmd struct {
	URL string `arg:"" help:"Address to ask."`
}

// Run prints the body of the response, whatever its status.
func (c *getCmd) Run() error {
	resp, err := http.Get(c.URL)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer resp.Body.Close()
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Println("listening on", l.Addr())
	return http.Serve(l, h)
}

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var c commands
	parser := kong.Must(&c, kong.Name("lab"), kong.Description("Stand-ins, load and measurements for verbenabend."), kong.UsageOnError())
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitUsage
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitFailed
	}
	return 0
}
