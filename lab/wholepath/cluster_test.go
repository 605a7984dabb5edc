package wholepath

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/daemon"
	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	port "github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/settings"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/lab/engine"
	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/platform"
	"github.com/verbenabend/verbenabend/lab/service"
)

const (
	clusterDaemons      = 3
	operatorKey         = "whole-path-operator-key"
	modelService        = "lamp-bench"
	plainService        = "front-ledger"
	platformAddress     = "10.9.0.1:80"
	ledgerAddress       = "10.0.0.9:80"
	clusterReadyTimeout = 15 * time.Second
	pollInterval        = 100 * time.Millisecond
)

// process is one running daemon.
type process struct {
	daemon *daemon.Daemon
	kill   context.CancelFunc
	ended  chan error
}

// cluster is a complete system: platform, engines, a plain service and daemons.
type cluster struct {
	t           *testing.T
	net         *fabric.Fabric
	platform    *platform.Server
	engines     []*engine.Server
	ledger      *service.Server
	processes   [clusterDaemons]*process
	servers     []*http.Server
	http        *http.Client
	orders      int
	peerVersion uint8 // peer protocol version that daemons are started with; 0 is the newest
}

// runCluster runs a test on a cluster that is ready and has both documents.
func runCluster(t *testing.T, test func(*testing.T, *cluster)) { runClusterWithVersion(t, 0, test) }

// runClusterWithVersion is runCluster with the given peer protocol version.
func runClusterWithVersion(t *testing.T, version uint8, proof func(*testing.T, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.peerVersion = version
		c.startAll()
		proof(t, c)
		c.checkPeers()
	})
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, net: fabric.New(), platform: platform.New(nil), ledger: service.New()}
	c.http = &http.Client{Transport: &http.Transport{DialContext: c.net.Dialer("caller"), DisableKeepAlives: true}}
	c.serve(platformAddress, c.platform)
	for _, address := range engineAddresses {
		e := engine.New(engine.Config{Weights: []string{weights}})
		c.engines = append(c.engines, e)
		c.serve(address, e)
		c.platform.SetInstance(port.Instance{Address: address, Service: modelService, DataCentre: "merrimack", State: port.InstanceLive})
	}
	c.serve(ledgerAddress, c.ledger)
	c.platform.SetInstance(port.Instance{Address: ledgerAddress, Service: plainService, DataCentre: "merrimack", State: port.InstanceLive})
	for i := range clusterDaemons {
		c.platform.SetInstance(port.Instance{Address: callerAddress(i), Service: port.EntryService, DataCentre: "merrimack", State: port.InstanceLive, PeerAddress: peerAddress(i)})
	}
	return c
}

func (c *cluster) startAll() {
	for i := range clusterDaemons {
		c.start(i)
	}
	c.await(clusterReadyTimeout, "documents are accepted", func() bool {
		_, one := c.operator(0).Submit(c.t.Context(), modelService, clusterDocument(modelService, 100), 0)
		_, two := c.operator(0).Submit(c.t.Context(), plainService, clusterDocument(plainService, 0), 0)
		return one == nil && two == nil
	})
	c.await(clusterReadyTimeout, "all are ready", func() bool {
		return c.all(func(s *entry.Status) bool {
			return s.Ready && len(s.Documents) == 2 && serving(s) && len(s.Peers) == clusterDaemons-1
		})
	})
}

func callerAddress(i int) string   { return fmt.Sprintf("10.1.0.%d:80", i+1) }
func operatorAddress(i int) string { return fmt.Sprintf("10.1.0.%d:81", i+1) }
func peerAddress(i int) string     { return fmt.Sprintf("10.1.0.%d:82", i+1) }
func daemonName(i int) string      { return fmt.Sprintf("entry-%d", i+1) }

// clusterDocument returns a document; retryPercent tells revisions of it apart.
func clusterDocument(service string, retryPercent int) []byte {
	sum := sha256.Sum256([]byte(callerKey))
	organisations := `"organisations":[{"name":"trust","key_sha256":["` + hex.EncodeToString(sum[:]) + `"]}]`
	if service == plainService {
		return []byte(`{"service":"front-ledger","kind":"plain",` + organisations + `,"calls":[{"method":"POST","path_prefix":"/orders","repeatable":false,"timeout":"10s"}]}`)
	}
	return fmt.Appendf(nil, `{"service":"lamp-bench","kind":"model","models":[{"name":"opal","version":"1"}],%s,"budgets":{"retry_percent":%d}}`, organisations, retryPercent)
}

func (c *cluster) serve(address string, h http.Handler) {
	l, _ := c.net.Listen(address)
	server := &http.Server{Handler: h}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }()
}

func (c *cluster) start(i int) {
	set, err := settings.Parse(fmt.Appendf(nil, `{"name":%q,"data_centre":"merrimack","caller_listen":%q,"operator_listen":%q,"peer_listen":%q,
		"operator_key":%q,"fleet_key":"whole-path-fleet-key","platform":{"url":"http://%s"},"log":{"ring_events":512}}`,
		daemonName(i), callerAddress(i), operatorAddress(i), peerAddress(i), operatorKey, platformAddress))
	assert.NilError(c.t, err)
	network := daemon.Network{Listen: c.net.Listen, Dial: c.net.Dialer(daemonName(i)), MaxPeerVersion: c.peerVersion}
	d, err := daemon.NewWithNetwork(network, set, hclog.NewNullLogger())
	assert.NilError(c.t, err)
	ctx, kill := context.WithCancel(context.Background())
	p := &process{daemon: d, kill: kill, ended: make(chan error, 1)}
	c.processes[i] = p
	go func() { p.ended <- d.Run(context.Background(), ctx) }()
}

// stop kills a daemon without a graceful shutdown.
func (c *cluster) stop(i int) {
	p := c.processes[i]
	c.processes[i] = nil
	p.kill()
	assert.NilError(c.t, <-p.ended)
}

func (c *cluster) close() {
	c.platform.SetFaults(platform.Faults{})
	for _, p := range c.processes {
		if p != nil {
			p.kill()
			<-p.ended
		}
	}
	c.http.CloseIdleConnections()
	for _, e := range c.engines {
		e.Crash()
	}
	for _, s := range c.servers {
		s.Close()
	}
	time.Sleep(settleTime)
	synctest.Wait()
}

func (c *cluster) operator(i int) *client.Operator {
	return &client.Operator{URL: "http://" + operatorAddress(i), Key: operatorKey, HTTP: c.http}
}

func (c *cluster) caller(i int) *client.Caller {
	return &client.Caller{URL: "http://" + callerAddress(i), Key: callerKey, HTTP: c.http}
}

func (c *cluster) status(i int) *entry.Status {
	s := c.processes[i].daemon.Status()
	return &s
}

// all reports whether ok holds at every daemon.
func (c *cluster) all(ok func(*entry.Status) bool) bool {
	for i := range c.processes {
		if !ok(c.status(i)) {
			return false
		}
	}
	return true
}

// serving reports whether a daemon sees every upstream in state "serving".
func serving(s *entry.Status) bool {
	for _, u := range s.Upstreams {
		if u.State != "serving" {
			return false
		}
	}
	return len(s.Upstreams) == len(engineAddresses)+1
}

// revision returns the revision of the model service's document at a daemon.
func (c *cluster) revision(i int) servicedoc.Revision {
	for _, d := range c.status(i).Documents {
		if d.Service == modelService {
			return d.Revision
		}
	}
	return 0
}

// await polls until ok holds and returns how long that took. It fails the test
// after bound.
func (c *cluster) await(bound time.Duration, what string, ok func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) >= bound {
			c.t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}

// ask sends a prompt through a daemon and checks that the text of the answer
// belongs to this prompt.
func (c *cluster) ask(i int, prompt string) (*client.ChatResponse, error) {
	a, err := c.caller(i).Chat(c.t.Context(), &client.ChatRequest{
		Service: modelService, MaxTokens: 4, Messages: []upstream.Message{{Role: "user", Content: prompt}},
	}, nil)
	if err != nil {
		return a, err
	}
	return a, checkAnswer(a.Text, answerPrefix(prompt))
}

// order places one order under a new idempotency key.
func (c *cluster) order(i int) (key string, err error) {
	c.orders++
	key = fmt.Sprintf("order-%d", c.orders)
	_, err = c.caller(i).Call(c.t.Context(), plainService, http.MethodPost, "/orders", key, []byte("{}"))
	return key, err
}

// checkPeers checks that no daemon rejected frames of a peer.
func (c *cluster) checkPeers() {
	for i := range c.processes {
		assert.Equal(c.t, c.countEvents(i, eventlog.PeerRejected, ""), 0, "%s rejected a peer", daemonName(i))
	}
}

// countEvents counts the events of one kind in a daemon's timeline whose detail
// contains the given text.
func (c *cluster) countEvents(i int, id eventlog.ID, detail string) int {
	line, err := c.operator(i).Timeline(c.t.Context(), time.Time{})
	assert.NilError(c.t, err)
	count := 0
	for _, e := range line.Events {
		if e.ID == id && strings.Contains(e.Detail, detail) {
			count++
		}
	}
	return count
}
