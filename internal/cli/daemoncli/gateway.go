package daemoncli

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/verbenabend/verbenabend/internal/gateway"
	"github.com/verbenabend/verbenabend/internal/logsink"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/platform"
)

type gatewayCommand struct {
	Settings    string `placeholder:"FILE" help:"Settings in the platform's format. Default: the file that the environment names."`
	MetricsPort int    `placeholder:"PORT" help:"Port to serve metrics on."`
	LogLevel    string `default:"info" enum:"debug,info,warn,error" help:"Minimum level that is logged."`
}

const (
	// storeDialTimeout bounds one connection attempt to the platform's store.
	storeDialTimeout = 500 * time.Millisecond
	// storeUnackedTimeout bounds how long data sent to the store may stay unacknowledged.
	storeUnackedTimeout = time.Second
)

// Run serves until a signal, then drains.
func (c *gatewayCommand) Run() error {
	// Without a handler the signal, which only tells of changed settings, ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	file := c.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsEnvVar)
	}
	s, content, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	if c.MetricsPort > 0 {
		host, _, err := net.SplitHostPort(s.Gateway.CallerListen)
		if err != nil {
			return err
		}
		s.Gateway.MetricsListen = net.JoinHostPort(host, strconv.Itoa(c.MetricsPort))
	}
	sink := logsink.New(os.Stdout, logsink.DefaultQueueLines)
	defer flushLog(sink)
	logger := hclog.New(&hclog.LoggerOptions{Name: s.Gateway.Name, Level: hclog.LevelFromString(c.LogLevel), JSONFormat: true, Output: sink})
	descriptors := s.Gateway.NewDescriptorBudget()
	store := platform.NewStore(s.Store.Address, descriptors.Dialer(httpconn.Dialer{Timeout: storeDialTimeout, UserTimeout: storeUnackedTimeout}.DialContext))
	defer store.Close()
	network := gateway.Network{}.Limited(descriptors)
	pool := httpconn.NewPool(network.Dial)
	d, err := gateway.New(s.Gateway, platform.NewGatewayPlatform(store, pool), pool, network, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runWithReloads(ctx, d, newReloader(file, content, s, d), hangups)
}

// flushLog writes the queued log lines and gives up after logFlushTimeout.
func flushLog(sink *logsink.Sink) {
	ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	sink.Close(ctx.Done())
}

// logFlushTimeout keeps a blocked output from delaying the exit.
const logFlushTimeout = 200 * time.Millisecond
