// Package demo runs a small but complete system in one process over loopback TCP:
// stand-ins of the platform, of three engines and of a plain service, and three
// daemons. Its command demonstrates what the system does.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/daemon"
	port "github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/settings"
	"github.com/verbenabend/verbenabend/lab/engine"
	"github.com/verbenabend/verbenabend/lab/netport"
	"github.com/verbenabend/verbenabend/lab/platform"
	"github.com/verbenabend/verbenabend/lab/service"
)

const (
	ModelService = "lamp-bench"
	PlainService = "front-ledger"
	weights      = "opal@1"
	operatorKey  = "demo-operator-key"
	fleetKey     = "demo-fleet-key-of-the-system"
	callerKey    = "demo-caller-key"
	entryMaxAge  = "200ms"
)

var dataCentres = []string{"merrimack", "housatonic", "kennebec"}

// system holds the daemons and stand-ins of the demonstration.
type system struct {
	platformURL    string
	engines        []*engine.Server
	orderService   *service.Server
	daemons        []*settings.Settings
	group          *errgroup.Group
	stop           context.CancelFunc
	runningDaemons []runningDaemon
	mu             sync.Mutex // guards daemons while they are replaced
}

// runningDaemon stops one daemon gracefully; stopped is closed when it has ended.
type runningDaemon struct {
	stop    context.CancelFunc
	stopped <-chan struct{}
}

// start starts the system. Call close to stop it.
func start() (*system, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{group: &errgroup.Group{}, stop: cancel, orderService: service.New()}
	if err := s.startAll(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) startAll(ctx context.Context) error {
	p := platform.New(nil)
	address, err := s.serve(ctx, p)
	if err != nil {
		return err
	}
	s.platformURL = "http://" + address
	for _, dc := range dataCentres {
		e := engine.New(engine.Config{Weights: []string{weights}})
		if address, err = s.serve(ctx, e); err != nil {
			return err
		}
		s.engines = append(s.engines, e)
		p.SetInstance(port.Instance{Address: address, Service: ModelService, DataCentre: dc, State: port.InstanceLive})
	}
	if address, err = s.serve(ctx, s.orderService); err != nil {
		return err
	}
	p.SetInstance(port.Instance{Address: address, Service: PlainService, DataCentre: dataCentres[0], State: port.InstanceLive})
	return s.startDaemons(ctx, p)
}

func (s *system) startDaemons(ctx context.Context, p *platform.Server) error {
	for i, dc := range dataCentres {
		set, err := s.daemonSettings(i, dc)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, set)
		p.SetInstance(port.Instance{
			Address: set.CallerAddress, Service: port.EntryService, DataCentre: dc, State: port.InstanceLive, PeerAddress: set.PeerAddress,
		})
	}
	s.runningDaemons = make([]runningDaemon, len(s.daemons))
	for i, set := range s.daemons {
		d, err := daemon.New(set, daemon.NewLogger(set))
		if err != nil {
			return err
		}
		s.runDaemon(ctx, i, d)
	}
	return nil
}

// runDaemon runs a daemon until ctx ends or it is stopped.
func (s *system) runDaemon(ctx context.Context, i int, d *daemon.Daemon) {
	ctx, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	s.runningDaemons[i] = runningDaemon{stop: stop, stopped: stopped}
	s.group.Go(func() error {
		defer close(stopped)
		return d.Run(ctx, context.Background())
	})
}

// daemonSettings returns settings for a daemon on free ports, with the earlier
// daemons as seeds.
func (s *system) daemonSettings(i int, dc string) (*settings.Settings, error) {
	ports := [3]string{}
	for j := range ports {
		address, err := netport.FreeAddress()
		if err != nil {
			return nil, err
		}
		ports[j] = address
	}
	text := fmt.Sprintf(`{
		"name": "entry-%d", "data_centre": %q, "caller_listen": %q, "operator_listen": %q, "peer_listen": %q,
		"operator_key": %q, "fleet_key": %q, "platform": {"url": %q}, "log": {"level": "warn", "format": "text"}, "entry_max_age": %q}`,
		i+1, dc, ports[0], ports[1], ports[2], operatorKey, fleetKey, s.platformURL, entryMaxAge)
	set, err := settings.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	for _, p := range s.daemons {
		set.Seeds = append(set.Seeds, p.PeerAddress)
	}
	return set, nil
}

// serve runs a handler on a free loopback port until ctx ends.
func (s *system) serve(ctx context.Context, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { server.Close() })
	s.group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return l.Addr().String(), nil
}

// close stops the daemons gracefully and then the stand-ins. It returns the first
// error that a daemon or server ended with.
func (s *system) close() error {
	for _, d := range s.runningDaemons {
		if d.stop != nil {
			d.stop()
		}
	}
	for _, d := range s.runningDaemons {
		if d.stopped != nil {
			<-d.stopped
		}
	}
	s.stop()
	return s.group.Wait()
}
