// Package daemoncli implements the verbenabendd command, the daemon of an entry instance.
package daemoncli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/verbenabend/verbenabend/internal/daemon"
	"github.com/verbenabend/verbenabend/internal/settings"
	"github.com/verbenabend/verbenabend/platform"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Serve until SIGTERM or SIGINT, then drain. A second signal stops without draining."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and list every fault."`
	Gateway gatewayCommand `cmd:"" help:"Serve on the users' platform, with its settings file, until SIGTERM or SIGINT, then drain."`
}

type runCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings in JSON."`
}

type checkCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings in JSON, or in the platform's format with --gateway."`
	Gateway  bool   `help:"Check settings in the format of the users' platform."`
}

// Run serves until the first signal and drains; a second signal cancels the drain.
func (c *runCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, daemon.NewLogger(s))
	if err != nil {
		return err
	}
	processCtx, cancelProcess := context.WithCancel(context.Background())
	defer cancelProcess()
	serveCtx, startDrain := context.WithCancel(processCtx)
	defer startDrain()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		startDrain()
		<-signals
		cancelProcess()
	}()
	return d.Run(serveCtx, processCtx)
}

// Run checks a settings file.
func (c *checkCommand) Run() error {
	if c.Gateway {
		s, _, err := platform.LoadSettings(c.Settings)
		if err != nil {
			return err
		}
		fmt.Printf("yes: %s would run as %s in %s\n", c.Settings, s.Gateway.Name, s.Gateway.DataCentre)
		return nil
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("yes: %s would run as %s in %s\n", c.Settings, s.Name, s.DataCentre)
	return nil
}

// Main runs the command line and returns its exit code.
func Main(args []string) int {
	var c commands
	parser := kong.Must(&c, kong.Name("verbenabendd"), kong.Description("Daemon of a verbenabend entry instance."), kong.UsageOnError())
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenabendd:", err)
		return exitUsage
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "no:", err)
		return exitFailed
	}
	return 0
}
