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
	Settings    string `placeholder:"FILE" help:"Settings in the platform's format; the environment names them otherwise."`
	MetricsPort int    `placeholder:"PORT" help:"Serve metrics on this port."`
	LogLevel    string `default:"info" enum:"debug,info,warn,error" help:"Least level that is logged."`
}

const (
	// storeDialTimeout bounds one try to connect to the platform's store.
	storeDialTimeout = 500 * time.Millisecond
	// storeSilence is how long bytes sent to the store may stay without acknowledgement.
	storeSilence = time.Second
)

// Run serves.
func (c *gatewayCommand) Run() error {
	file := c.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsEnvVar)
	}
	s, err := platform.LoadSettings(file)
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
	defer closeLog(sink)
	logger := hclog.New(&hclog.LoggerOptions{Name: s.Gateway.Name, Level: hclog.LevelFromString(c.LogLevel), JSONFormat: true, Output: sink})
	store := platform.NewStore(s.Store.Address, httpconn.Dialer{Timeout: storeDialTimeout, Silence: storeSilence}.DialContext)
	defer store.Close()
	network := gateway.Network{}.WithDefaults()
	pool := httpconn.NewPool(network.Dial)
	d, err := gateway.New(s.Gateway, platform.Provision(store, pool), pool, network, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The platform announces changed settings by SIGHUP; none of those that
	// are used here changes without a restart.
	signal.Ignore(syscall.SIGHUP)
	return d.Run(ctx)
}

// closeLog writes the last lines, unless the output takes none for logTimeout.
func closeLog(sink *logsink.Sink) {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	sink.Close(ctx.Done())
}

// logTimeout bounds the writing of the last log lines.
const logTimeout = 200 * time.Millisecond
