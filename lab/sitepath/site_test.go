// Package sitepath tests complete daemons, with the adapter for the users'
// platform, against stand-ins of its store and upstreams in virtual time. Tests run beside each
// other, unless they measure or limit the memory of the process.
package sitepath

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gateway"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
	"github.com/verbenabend/verbenabend/platform"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	daemons           = 3
	engines           = 3
	ledgers           = 3
	heartbeatInterval = 1200 * time.Millisecond
	stopGrace         = 8 * time.Second
	model             = "opal"
	modelHost         = "model.example"
	plainHost         = "plain.example"
	fleetKey          = "one key for all daemons of the test"
	callerKey         = "key-of-trust"
	otherCallerKey    = "key-of-other"
	startTimeout      = 10 * time.Second
	// lastLoadTime is how long engines may load weights after the daemons stopped.
	lastLoadTime = 10 * time.Second
)

// process is one running daemon.
type process struct {
	name string
	host string
	stop context.CancelFunc
	done chan error
	log  logBuffer
	// gateway is the daemon itself.
	gateway *gateway.Daemon
	// descriptors are the process's file descriptors, without a limit at first.
	descriptors *fabric.Descriptors
}

// logBuffer collects the log lines of a daemon.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// entries returns all logged events.
func (b *logBuffer) entries(t *testing.T) []eventlog.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries, skipped, err := eventlog.ReadLines(bytes.NewReader(b.text.Bytes()))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	return entries
}

// entriesOfRequest returns the logged events with a request ID.
func (b *logBuffer) entriesOfRequest(t *testing.T, request string) []eventlog.Entry {
	return slices.DeleteFunc(b.entries(t), func(e eventlog.Entry) bool { return e.RequestID != request })
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.host, port) }

// deployment is a set of daemons with the stand-ins of platform and upstreams.
type deployment struct {
	t              *testing.T
	net            *fabric.Fabric
	store          *site.Store
	engines        []*site.Upstream
	ledgers        []*site.Upstream
	cacheStore     *site.CacheStore
	processes      []*process
	mu             sync.Mutex
	servers        map[string]*http.Server // by address
	stopHeartbeats chan struct{}
	daemonCount    int
	// maxDescriptors is limits.maxFds of daemons that are started later; 0 for no limit.
	maxDescriptors int
	// memoryMB is limits.memoryMb of daemons that are started later; 0 for no limit.
	memoryMB int
	// settings are further settings of daemons that are started later.
	settings []string
	// contracts is that of daemons that are started later.
	contracts string
	// seeds are the instances that daemons started later have as seeds; nil for the first two
	// that startAll starts.
	seeds []string
	// firstDaemon is the index of the first daemon that startAll starts.
	firstDaemon  int
	revision     uint64
	desiredState map[string]any
	requestCount atomic.Int64
	// bootedAt is the zero of the daemons' time since boot, suspended the time for which
	// they were suspended, in nanoseconds.
	bootedAt time.Time
	// connectTime is how long opening a connection to an engine takes, in nanoseconds.
	connectTime atomic.Int64
	suspended   atomic.Int64
	// wrapStore replaces the store's handlers of daemons that are started later, by index.
	wrapStore map[int]http.Handler
}

// runOnDeployment runs a test on a deployment that is ready.
func runOnDeployment(t *testing.T, test func(d *deployment)) {
	runOnDeploymentOf(t, daemons, engines, test)
}

// runOnDeploymentOf runs a test on a deployment of the given size.
func runOnDeploymentOf(t *testing.T, daemonCount, engineCount int, test func(d *deployment)) {
	runDeployment(t, engineCount, func(d *deployment) { d.daemonCount = daemonCount }, test)
}

// runOnDeploymentWith runs a test on a deployment that prepare has changed before it starts.
func runOnDeploymentWith(t *testing.T, prepare, test func(d *deployment)) {
	runDeployment(t, engines, func(d *deployment) {
		d.daemonCount = daemons
		prepare(d)
	}, test)
}

func runDeployment(t *testing.T, engineCount int, prepare, test func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, engineCount)
		prepare(d)
		defer d.close()
		d.startAll()
		test(d)
	})
}

// startAll starts the daemons and waits until each lists all in its directory.
func (d *deployment) startAll() {
	for i := range d.daemonCount {
		d.start(d.firstDaemon + i)
	}
	d.eventually("every daemon lists all daemons in its directory", startTimeout, func() bool {
		for _, p := range d.processes[len(d.processes)-d.daemonCount:] {
			if len(d.resolve(p)) != d.daemonCount {
				return false
			}
		}
		return true
	})
}

// losePower cuts off all daemons without a word. Daemons started later are others.
func (d *deployment) losePower() {
	unpowered := slices.Clone(d.processes)
	d.net.SetBlackhole(func(from, address string) bool {
		return slices.ContainsFunc(unpowered, func(p *process) bool { return from == p.name || strings.HasPrefix(address, p.host+":") })
	})
	d.firstDaemon = len(d.processes)
}

func newDeployment(t *testing.T, engineCount int) *deployment {
	d := &deployment{t: t, net: fabric.New(), store: site.NewStore(), cacheStore: &site.CacheStore{Address: "10.8.2.1:80"}, stopHeartbeats: make(chan struct{}), revision: 1, servers: map[string]*http.Server{}, wrapStore: map[int]http.Handler{}, bootedAt: time.Now()}
	for i := range engineCount {
		d.engines = append(d.engines, &site.Upstream{
			ID: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.8.0.%d:80", i+1), Service: "bench", Zone: "a", Model: model,
			StreamEvents: 10, EventInterval: 20 * time.Millisecond, SwitchDuration: 900 * time.Millisecond, CacheStore: d.cacheStore,
		})
	}
	for i := range ledgers {
		d.ledgers = append(d.ledgers, &site.Upstream{ID: fmt.Sprintf("ledger-%d", i), Address: fmt.Sprintf("10.8.1.%d:80", i+1), Service: "ledger", Zone: "a"})
	}
	for _, u := range d.upstreams() {
		u.SetVersion(1)
		d.serve(u.Address, u)
		u.Register(d.store)
	}
	d.serve(d.cacheStore.Address, d.cacheStore)
	d.desiredState = map[string]any{
		"routes": []map[string]any{
			{"name": "chat", "host": modelHost, "prefix": "/chat/", "kind": "stream", "timeoutMs": 4000, "goalMs": 600, "service": "bench", "maxAttempts": 2, "sticky": true, "resumable": true},
			{"name": "once", "host": modelHost, "prefix": "/once/", "kind": "stream", "timeoutMs": 4000, "goalMs": 600, "service": "bench", "maxAttempts": 1, "sticky": true},
			{"name": "order", "host": plainHost, "prefix": "/order/", "kind": "unsafe", "timeoutMs": 1500, "goalMs": 300, "service": "ledger", "maxAttempts": 1},
			{"name": "read", "host": plainHost, "prefix": "/read/", "kind": "safe", "timeoutMs": 1500, "goalMs": 300, "service": "ledger", "maxAttempts": 2},
		},
		"services": []map[string]any{
			{"name": "bench", "healthPath": "/healthz", "maxConns": 100, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "tokenKvBytes": 18432, "linkMbps": 740000.0, "maxInflight": 12, "models": []map[string]any{{"name": model}}}},
			{"name": "ledger", "healthPath": "/healthz", "maxConns": 100},
			{"name": "memory", "kvStoreAddr": d.cacheStore.Address, "zone": "a", "kvCapacity": 1000000, "linkMbps": 24000.0, "maxInflight": 12},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "trust", "apiKeys": []string{callerKey}},
			{"name": "other", "apiKeys": []string{otherCallerKey}, "isolated": true},
		},
	}
	d.publish()
	go d.sendHeartbeats()
	return d
}

func (d *deployment) upstreams() []*site.Upstream {
	return append(append([]*site.Upstream(nil), d.engines...), d.ledgers...)
}

// publish writes the desired state as its next revision.
func (d *deployment) publish() {
	d.revision += 3
	d.desiredState["version"] = d.revision
	d.store.Put("op", "config", d.desiredState)
}

func (d *deployment) setGoalVersion(version int) {
	d.store.Put("op", "version/"+model, map[string]any{"model": model, "version": version})
}

func (d *deployment) sendHeartbeats() {
	for {
		select {
		case <-d.stopHeartbeats:
			return
		case <-time.After(heartbeatInterval):
		}
		for _, u := range d.upstreams() {
			if d.store.Value("servers", u.ID) != nil {
				u.Register(d.store)
			}
		}
	}
}

func (d *deployment) serve(address string, h http.Handler) {
	listener, err := d.net.Listen(address)
	assert.NilError(d.t, err)
	server := &http.Server{Handler: h}
	d.mu.Lock()
	if old := d.servers[address]; old != nil {
		old.Close()
	}
	d.servers[address] = server
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// crash closes an upstream's connections and restarts it as a new incarnation
// after restartDelay.
func (d *deployment) crash(u *site.Upstream, restartDelay time.Duration) {
	d.mu.Lock()
	server := d.servers[u.Address]
	d.mu.Unlock()
	server.Close()
	time.AfterFunc(restartDelay, func() {
		u.Restart(d.store)
		d.serve(u.Address, u)
	})
}

// Ports of every daemon.
const (
	callerPort = 1000 + iota
	readyPort
	directoryPort
	peerPort
	metricsPort
	gossipPort
)

func hostOf(daemon int) string { return fmt.Sprintf("10.0.0.%d", daemon+1) }

// seedHosts returns the instances that daemons started now have as seeds.
func (d *deployment) seedHosts() []string {
	if d.seeds != nil {
		return d.seeds
	}
	return []string{hostOf(d.firstDaemon), hostOf(d.firstDaemon + 1)}
}

// seedAddresses returns the addresses of seeds, as the settings hold them.
func seedAddresses(hosts []string) []string {
	var out []string
	for _, host := range hosts {
		out = append(out, fmt.Sprintf("%s:%d", host, peerPort))
	}
	return out
}

// start starts the daemon with the given index. The store knows it as a client by
// the daemon's name.
func (d *deployment) start(i int) *process {
	p := &process{name: fmt.Sprintf("daemon-%d", i), host: hostOf(i), done: make(chan error, 1), descriptors: fabric.NewDescriptors()}
	storeAddress := fmt.Sprintf("10.9.0.%d:80", i+1)
	handler := d.store.HandlerFor(p.name)
	if h := d.wrapStore[i]; h != nil {
		handler = h
	}
	d.serve(storeAddress, handler)
	settings, err := platform.ParseSettings([]byte(strings.Join(append([]string{
		"node=" + p.name, "zone=a", "zones.a=r", "ip=" + p.host,
		"listen.front=" + p.address(callerPort), "listen.ready=" + p.address(readyPort),
		"listen.directory=" + p.address(directoryPort), "listen.control=" + p.address(peerPort),
		fmt.Sprintf("portRange=%d,%d", gossipPort, gossipPort+9),
		"seeds=" + strings.Join(seedAddresses(d.seedHosts()), ","),
		fmt.Sprintf("limits.maxFds=%d", d.maxDescriptors), fmt.Sprintf("limits.memoryMb=%d", d.memoryMB), "contracts=" + d.contracts, "platform.addr=" + storeAddress, "bounds.fenced=true", "bounds.leaseMs=3000", "bounds.versionMs=10000", "bounds.graceS=8", "bounds.retrySlack=50", "bounds.retryRatio=0.2",
	}, d.settings...), "\n")))
	assert.NilError(d.t, err)
	settings.Gateway.MetricsListen = p.address(metricsPort)
	settings.Gateway.FleetKey = fleetKey
	settings.Gateway.SinceBoot = func() time.Duration { return time.Since(d.bootedAt) + time.Duration(d.suspended.Load()) }
	dial := d.net.Dialer(p.name)
	listen := func(address string) (net.Listener, error) {
		l, err := d.net.Listen(address)
		return p.descriptors.Listener(l), err
	}
	network := gateway.Network{Listen: listen, Dial: p.descriptors.Dialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if slices.ContainsFunc(d.engines, func(e *site.Upstream) bool { return e.Address == address }) {
			time.Sleep(time.Duration(d.connectTime.Load()))
		}
		return dial(ctx, network, address)
	})}.Limited(settings.Gateway.NewDescriptorBudget())
	store := platform.NewStore(storeAddress, network.Dial)
	pool := httpconn.NewPool(network.Dial)
	g, err := gateway.New(settings.Gateway, platform.NewGatewayPlatform(store, pool), pool, network, hclog.New(&hclog.LoggerOptions{Name: p.name, Output: &p.log, JSONFormat: true}))
	assert.NilError(d.t, err)
	ctx, stop := context.WithCancel(context.Background())
	p.stop, p.gateway = stop, g
	go func() {
		err := g.Run(ctx)
		store.Close()
		p.done <- err
	}()
	d.processes = append(d.processes, p)
	return p
}

func (d *deployment) close() {
	for _, p := range d.processes {
		p.stop()
	}
	for _, p := range d.processes {
		assert.NilError(d.t, <-p.done)
	}
	if d.memoryMB > 0 { // the daemons set the limit of the process, which other tests share
		debug.SetMemoryLimit(math.MaxInt64)
	}
	time.Sleep(lastLoadTime)
	close(d.stopHeartbeats)
	d.mu.Lock() // upstreams that crashed may have been restarted meanwhile
	for _, s := range d.servers {
		s.Close()
	}
	d.mu.Unlock()
	synctest.Wait()
}

// eventually polls a condition and fails the test if it does not hold in time.
func (d *deployment) eventually(what string, bound time.Duration, condition func() bool) {
	d.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(d.t, time.Since(start) < bound, "not within %s: %s", bound, what)
	}
}

// client returns a caller's client without keep-alive.
func (d *deployment) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("caller"), DisableKeepAlives: true}}
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // there was no response, or its body was cut off
}

// ask sends a request to a daemon, after modify, if not nil, has adjusted it.
func (d *deployment) ask(p *process, method, host, path string, modify func(*http.Request)) answer {
	req := d.request(p, method, host, path, fmt.Sprintf("request-%d", d.requestCount.Add(1)))
	if modify != nil {
		modify(req)
	}
	return d.send(req)
}

// request returns a caller's request to a daemon.
func (d *deployment) request(p *process, method, host, path, id string) *http.Request {
	req, err := http.NewRequest(method, "http://"+p.address(callerPort)+path, nil)
	assert.NilError(d.t, err)
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Key", callerKey)
	req.Header.Set("X-Deadline-Ms", "3000")
	if host == modelHost {
		req.Header.Set("X-Model", model)
		req.Header.Set("X-Token-Usage", "300,40")
		req.Header.Set("X-Prompt-Prefix", "aa:200,bb:100")
	}
	return req
}

// send sends a request and reads the whole response.
func (d *deployment) send(req *http.Request) answer {
	resp, err := d.client().Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err}
}

// resolve returns the callers' addresses from a daemon's directory, or nil if the
// query fails.
func (d *deployment) resolve(p *process) []string {
	resp, err := d.client().Get("http://" + p.address(directoryPort) + "/resolve?name=x&zone=a")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	list, _, _ := strings.Cut(strings.TrimPrefix(string(body), `{"addrs":[`), "]")
	return strings.Split(list, ",")
}

// runs returns the runs of a request at all upstreams.
func (d *deployment) runs(id string) []site.Run {
	var out []site.Run
	for _, u := range d.upstreams() {
		for _, r := range u.Runs() {
			if r.ID == id {
				out = append(out, r)
			}
		}
	}
	return out
}

// setFirstRequestBehaviour applies a behaviour to the first request, whichever
// upstream receives it. All others are served.
func (d *deployment) setFirstRequestBehaviour(b site.Behaviour) {
	unused := make(chan struct{}, 1)
	unused <- struct{}{}
	for _, u := range d.upstreams() {
		u.ChooseBehaviour = func(*http.Request) site.Behaviour {
			select {
			case <-unused:
				return b
			default:
				return site.Serve
			}
		}
	}
}
